package mintpick.engine.scheduling

import mintpick.core.MILLI
import mintpick.core.Micros
import mintpick.engine.runtime.EngineContext

/** Decides when the next scheduling pass is due, and when jobs may be placed partially. */
internal class PassRateLimiter(
    private val context: EngineContext,
) {
    private var nextPassUs: Micros = 0
    private var nextPartialPlacementUs: Micros = 0

    /** Write budget, beyond the writes kept for submissions, from which on partial placements are not rate-limited. */
    private val unthrottledWriteBudget = context.settings.limits.writeRps / (context.settings.peers.size + 1) * UNTHROTTLED_WRITE_FRACTION

    /** Whether the interval after the last pass has elapsed. */
    val isDue: Boolean get() = context.now >= nextPassUs

    /** Records the start of a pass over [queuedJobCount] waiting jobs and [ownMachineCount] machines to be examined. */
    fun onPassStarted(
        queuedJobCount: Int,
        ownMachineCount: Int,
    ) {
        nextPassUs = context.now + passInterval(queuedJobCount, ownMachineCount)
    }

    /**
     * The time from one pass to the next. It grows with the number of waiting jobs, because writes are the bottleneck then: more
     * frequent passes would place few more tasks, and the processor time is needed to answer requests.
     */
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
        // A pass examines each of this controller's machines; with hundreds of machines, this dominates its cost.
        return interval + interval * ownMachineCount / MACHINES_PER_EXTRA_INTERVAL
    }

    /** Whether the queue is so long that passes save work, for example by examining only a sample of the machines. */
    fun isOverloaded(queuedJobCount: Int): Boolean = queuedJobCount > OVERLOAD_THRESHOLD_JOBS

    /** Whether a pass with a budget of [writeBudget] writes may place jobs partially. */
    fun mayPlacePartially(writeBudget: Int): Boolean = context.now >= nextPartialPlacementUs || writeBudget >= unthrottledWriteBudget

    /** Records that a pass has placed jobs partially; the next partial placements wait for [PARTIAL_PLACEMENT_INTERVAL]. */
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
