package mintpick.engine.scheduling

import mintpick.core.MILLI
import mintpick.core.Micros
import mintpick.engine.runtime.EngineContext

/** When the next scheduling pass is due, and when jobs may be placed in part. */
internal class PassRateLimiter(
    private val context: EngineContext,
) {
    private var nextPassUs: Micros = 0
    private var nextPartialPlacementUs: Micros = 0

    /** So many writes free, beyond those kept for submissions, that placements of parts of jobs need not wait for each other. */
    private val unthrottledWriteBudget = context.settings.limits.writeRps / (context.settings.peers.size + 1) * UNTHROTTLED_WRITE_FRACTION

    /** Whether the interval since the last pass is over. */
    val isDue: Boolean get() = context.now >= nextPassUs

    /** A pass begins with [queuedJobCount] stored as waiting and [ownMachineCount] to be examined. */
    fun onPassStarted(
        queuedJobCount: Int,
        ownMachineCount: Int,
    ) {
        nextPassUs = context.now + passInterval(queuedJobCount, ownMachineCount)
    }

    /** The more jobs wait, the less another pass would find: writes are what is short then, and processor time is for answers. */
    private fun passInterval(
        queuedJobCount: Int,
        ownMachineCount: Int,
    ): Micros {
        val interval =
            when {
                isOverloaded(queuedJobCount) -> PASS_INTERVAL * 2
                queuedJobCount > SHORT_QUEUE_MAX_JOBS -> PASS_INTERVAL
                else -> PASS_INTERVAL / 3
            }
        // A pass examines each of this controller's machines: with hundreds of them it is their number that costs.
        return interval + interval * ownMachineCount / MACHINES_PER_EXTRA_INTERVAL
    }

    /** Whether so many jobs wait that a pass saves work where it can. */
    fun isOverloaded(queuedJobCount: Int): Boolean = queuedJobCount > OVERLOAD_THRESHOLD_JOBS

    /** Whether a pass with [writeBudget] writes may place parts of jobs. */
    fun mayPlacePartially(writeBudget: Int): Boolean = context.now >= nextPartialPlacementUs || writeBudget >= unthrottledWriteBudget

    /** A pass has placed parts of jobs: the next ones wait for an interval. */
    fun onPartialPlacement() {
        nextPartialPlacementUs = context.now + PARTIAL_PLACEMENT_INTERVAL
    }

    private companion object {
        const val OVERLOAD_THRESHOLD_JOBS = 150
        const val SHORT_QUEUE_MAX_JOBS = 25
        const val MACHINES_PER_EXTRA_INTERVAL = 300
        const val UNTHROTTLED_WRITE_FRACTION = 0.6
        const val PASS_INTERVAL: Micros = 120 * MILLI
        const val PARTIAL_PLACEMENT_INTERVAL: Micros = 800 * MILLI
    }
}
