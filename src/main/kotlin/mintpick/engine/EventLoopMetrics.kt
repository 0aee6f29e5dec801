package mintpick.engine

import mintpick.core.MILLI
import mintpick.core.Micros
import mintpick.core.SECOND
import mintpick.engine.runtime.EventKind
import mintpick.engine.runtime.label
import org.slf4j.LoggerFactory
import java.util.EnumMap

/** Durations of steps, and length and age of the queue, since the last report. Times are in microseconds. Event-loop thread only. */
internal class EventLoopMetrics {
    private class Waits {
        var count = 0L
        var longestUs: Micros = 0
    }

    private val waits = EnumMap<EventKind, Waits>(EventKind::class.java)
    private var steps = 0L
    private var longestStepUs: Micros = 0
    private var longestQueue = 0
    private var discardedEffects = 0L
    private var expiredRequests = 0L

    /** Effects discarded since the start, because their step exceeded its time limit. */
    var totalDiscardedEffects = 0L
        private set
    private var nextSlowStepLogUs: Micros = 0

    /** Records that an event was taken from the queue after [waitedUs]. */
    fun recordWait(
        kind: EventKind,
        waitedUs: Micros,
    ) {
        val waits = waits.getOrPut(kind) { Waits() }
        waits.count++
        waits.longestUs = maxOf(waits.longestUs, waitedUs)
    }

    /** Records the number of events that waited at the start of a step. */
    fun recordQueue(length: Int) {
        longestQueue = maxOf(longestQueue, length)
    }

    /** Records requests that were refused because their senders no longer wait. */
    fun recordExpired(requests: Int) {
        expiredRequests += requests
    }

    /** Records a step that ended at [now]. Logs slow ones, at most one each second. */
    fun recordStep(
        now: Micros,
        durationUs: Micros,
        events: Int,
        discarded: Int,
    ) {
        steps++
        longestStepUs = maxOf(longestStepUs, durationUs)
        discardedEffects += discarded
        totalDiscardedEffects += discarded
        if (durationUs < SLOW_STEP || now < nextSlowStepLogUs) return
        nextSlowStepLogUs = now + SECOND
        LOG.warn("step slow duration_ms={} events={} discarded_effects={}", durationUs / MILLI, events, discarded)
    }

    /** Returns a line for the log with the values since the last call, and resets them. */
    fun takeReport(): String {
        val kinds = waits.map { (kind, it) -> "${kind.label()}=${it.count} longest_wait_ms=${it.longestUs / MILLI}" }
        val report =
            "steps=$steps longest_step_ms=${longestStepUs / MILLI} discarded_effects=$discardedEffects " +
                "longest_queue=$longestQueue expired=$expiredRequests events ${kinds.joinToString(" ")}"
        waits.clear()
        steps = 0
        longestStepUs = 0
        longestQueue = 0
        discardedEffects = 0
        expiredRequests = 0
        return report
    }

    private companion object {
        val LOG = LoggerFactory.getLogger(EventLoop::class.java)
        const val SLOW_STEP: Micros = 500 * MILLI
    }
}
