package mintpick.engine.jobs

import mintpick.core.JobId
import mintpick.core.MILLI
import mintpick.core.Micros
import mintpick.core.SECOND
import mintpick.engine.runtime.EngineContext
import mintpick.engine.transactions.TransactionPart
import org.slf4j.LoggerFactory

/**
 * Saves up writes for a part that needs more of them than are allowed now. Smaller parts of other jobs are sent meanwhile and could take
 * every write that becomes available, so half of these are saved until the part fits. Of several parts that wait, the first one is served
 * first. Event-loop thread only.
 */
internal class WriteSavings(
    private val context: EngineContext,
    private val writesPerSecond: Double,
) {
    /** The part of [job] that waits for [writes] writes since [sinceUs]. It is planned again in each cycle and may change. */
    private class Waiting(
        val job: JobId,
        val sinceUs: Micros,
    ) {
        var writes = 0
        var lastPlannedUs: Micros = 0
    }

    private var waiting: Waiting? = null
    private var nextLogUs: Micros = 0

    /**
     * Number of allowed writes that a part of [job] must leave unused for the part that waits. For a part with [precedence], which users
     * wait for, writes are saved only once the other one has waited for [PRECEDENCE_PERIOD].
     */
    fun savedBeside(
        job: JobId,
        precedence: Boolean = false,
    ): Int {
        val first = current() ?: return 0
        if (first.job == job) return 0
        val savingUs = context.now - first.sinceUs - if (precedence) PRECEDENCE_PERIOD else 0
        val added = maxOf(0, savingUs) * writesPerSecond / SECOND
        return minOf(first.writes, (added * SAVED_SHARE).toInt())
    }

    /** Records that [part] has to wait until [needed] writes are allowed. */
    fun onDelayed(
        part: TransactionPart,
        needed: Int,
    ) {
        val first = current() ?: Waiting(part.job, context.now).also { waiting = it }
        if (first.job != part.job) return
        first.writes = needed
        first.lastPlannedUs = context.now
        log(first)
    }

    /** Records that a part of [job] was sent. */
    fun onSent(job: JobId) {
        if (waiting?.job == job) waiting = null
    }

    /** The part that waits; null if there is none, or if it has not been planned again for some time. */
    private fun current(): Waiting? {
        val first = waiting ?: return null
        if (context.now - first.lastPlannedUs > PLANNING_INTERVAL) waiting = null
        return waiting
    }

    private fun log(first: Waiting) {
        val waitedUs = context.now - first.sinceUs
        if (waitedUs < LOGGED_WAIT || context.now < nextLogUs) return
        nextLogUs = context.now + LOGGED_WAIT
        LOG.info("job update waits for writes job={} writes={} waited_ms={}", first.job.text, first.writes, waitedUs / MILLI)
    }

    private companion object {
        val LOG = LoggerFactory.getLogger(WriteSavings::class.java)

        /** Share of the writes that become available which is saved. */
        const val SAVED_SHARE = 0.5

        const val PRECEDENCE_PERIOD: Micros = 5 * SECOND

        /** Longest time from one plan of a part to the next. */
        const val PLANNING_INTERVAL: Micros = 3 * SECOND

        /** Shortest wait that is logged, and shortest time between two log lines. */
        const val LOGGED_WAIT: Micros = 5 * SECOND
    }
}
