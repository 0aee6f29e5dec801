package mintpick.engine

import mintpick.core.MILLI
import mintpick.core.Micros
import mintpick.core.SECOND
import mintpick.engine.runtime.Effect
import mintpick.engine.runtime.Event
import mintpick.engine.runtime.EventKind
import mintpick.engine.runtime.kind
import mintpick.net.Call
import mintpick.net.Outcome
import mintpick.net.errorAnswer
import org.slf4j.LoggerFactory

/**
 * Runs the engine: takes events from a queue in batches, steps the engine and performs its effects. The thread that calls [run]
 * is the event-loop thread.
 *
 * @param startCall starts a call, whose outcome must be passed to [put]; returns false if the call is not sent, without an outcome
 * @param monotonicUs reads the monotonic clock, in microseconds
 * @param wallClockUs reads the wall clock, in microseconds since 1970
 */
class EventLoop(
    private val engine: StateMachine,
    private val startCall: (id: Long, call: Call) -> Boolean,
    private val monotonicUs: () -> Micros,
    private val wallClockUs: () -> Micros,
) {
    private val queue = EventQueue(monotonicUs)
    private val metrics = EventLoopMetrics()
    private val batch = ArrayList<Event>()
    private val expired = ArrayList<ExpiredRequest>()
    private val heartbeatLimit = HeartbeatLimit()

    /** Outcomes of calls that were not sent. They bypass the queue, because the event loop must not wait for space in it. */
    private val notSentOutcomes = ArrayList<Event>()
    private var nextReportUs: Micros = 0

    /** Effects discarded since the start, because their step exceeded its time limit. Event-loop thread only. */
    internal val discardedEffects: Long get() = metrics.totalDiscardedEffects

    @Volatile private var engineReasonForDown: String? = "starting"

    @Volatile private var lastStepUs: Micros = 0

    /** Queues a request; returns false if the queue is full, and the caller must then refuse the request. Any thread. */
    fun offer(event: Event): Boolean = queue.offer(event)

    /** Queues an event that must not be lost, such as the outcome of a call; blocks while the queue is full. Any other thread. */
    fun put(event: Event) = queue.put(event)

    /** Whether this controller accepts requests; false also while the event loop is paused or far behind. Any thread. */
    fun isUp(): Boolean = reasonForDown() == null

    /** Why [isUp] is false, as a word for the log; null if it is true. Any thread. */
    fun reasonForDown(): String? = engineReasonForDown ?: "no-recent-step".takeIf { monotonicUs() - lastStepUs >= MAX_STEP_GAP }

    /** Runs until the thread is interrupted. */
    fun run() {
        try {
            while (!Thread.currentThread().isInterrupted) {
                runOnce(MAX_POLL_WAIT)
            }
        } catch (_: InterruptedException) {
            // Interrupted while waiting for an event: restores the interrupt flag for the code that called [run].
            Thread.currentThread().interrupt()
        }
    }

    /** Runs one step with the events that wait now. If there are none, waits for up to [maxWaitUs] for one. Event-loop thread only. */
    internal fun runOnce(maxWaitUs: Micros) {
        batch.clear()
        expired.clear()
        queue.take(batch, expired, heartbeatLimit.current, maxWaitUs, metrics)
        expired.forEach { it.reply.answer(TOO_LATE) }
        metrics.recordExpired(expired.size)
        batch += notSentOutcomes
        notSentOutcomes.clear()
        stepSafely(batch)
        reportIfDue()
    }

    /** Steps the engine and logs exceptions: one failed step must not end the service. Lost data is read or requested again. */
    private fun stepSafely(batch: List<Event>) {
        try {
            step(batch)
        } catch (e: RuntimeException) {
            LOG.error("step failed", e)
        }
    }

    private fun step(batch: List<Event>) {
        val startedUs = monotonicUs()
        var discarded = 0
        for (effect in engine.step(startedUs, wallClockUs(), batch)) {
            if (monotonicUs() - startedUs > MAX_STEP_AGE) {
                refuse(effect)
                discarded++
            } else {
                perform(effect)
            }
        }
        engineReasonForDown = engine.reasonForDown
        lastStepUs = startedUs
        val endedUs = monotonicUs()
        heartbeatLimit.onStep(endedUs - startedUs, batch.count { it.kind == EventKind.HEARTBEAT })
        metrics.recordStep(endedUs, endedUs - startedUs, batch.size, discarded)
    }

    /**
     * Discards an effect of a step during which the process was paused. Its decision may be outdated, because a lease may have
     * expired or other controllers may have acted meanwhile. Requests are answered with 503 and a retry delay; calls are
     * reported to the engine as not sent.
     */
    private fun refuse(effect: Effect) {
        when (effect) {
            is Effect.Send -> effect.reply.answer(errorAnswer(UNAVAILABLE, "stood still", RETRY_AFTER_S))
            is Effect.Start -> reportNotSent(effect)
        }
    }

    private fun reportNotSent(start: Effect.Start) {
        notSentOutcomes += Event.CallDone(start.id, Outcome.NotSent)
    }

    private fun perform(effect: Effect) {
        when (effect) {
            is Effect.Send -> effect.reply.answer(effect.answer)
            is Effect.Start -> if (!startCall(effect.id, effect.call)) reportNotSent(effect)
        }
    }

    private fun reportIfDue() {
        val now = monotonicUs()
        if (now < nextReportUs) return
        nextReportUs = now + REPORT_INTERVAL
        LOG.info("event loop {}", metrics.takeReport())
        LOG.info("engine {}", engine.takeReport())
    }

    private companion object {
        val LOG = LoggerFactory.getLogger(EventLoop::class.java)
        const val MAX_STEP_GAP: Micros = 2_000 * MILLI
        const val MAX_POLL_WAIT: Micros = 50 * MILLI
        const val REPORT_INTERVAL: Micros = 10 * SECOND
        const val UNAVAILABLE = 503
        const val RETRY_AFTER_S = 1
        val TOO_LATE = errorAnswer(UNAVAILABLE, "no answer in time", RETRY_AFTER_S)

        /**
         * Longest time from the start of a step to its effects. A step acts only if the state store has served this controller
         * within the last 2.5 s, so the lease of 5 s is still valid at this age. Steps are far shorter even under CPU contention.
         */
        const val MAX_STEP_AGE: Micros = 2_000 * MILLI
    }
}
