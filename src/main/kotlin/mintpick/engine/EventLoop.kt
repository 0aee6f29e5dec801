package mintpick.engine

import mintpick.core.MILLI
import mintpick.core.Micros
import mintpick.engine.runtime.Effect
import mintpick.engine.runtime.Event
import mintpick.net.Call
import mintpick.net.Outcome
import mintpick.net.errorAnswer
import org.slf4j.LoggerFactory
import java.util.concurrent.ArrayBlockingQueue
import java.util.concurrent.TimeUnit

/**
 * Runs the engine: takes events from a queue in batches, steps the engine and performs its effects. The thread that calls [run]
 * is the event-loop thread.
 *
 * @param startCall starts a call; its outcome must be passed to [put]
 * @param monotonicUs reads the monotonic clock, in microseconds
 * @param wallClockUs reads the wall clock, in microseconds since 1970
 */
class EventLoop(
    private val engine: Engine,
    private val startCall: (id: Long, call: Call) -> Unit,
    private val monotonicUs: () -> Micros,
    private val wallClockUs: () -> Micros,
) {
    private val queue = ArrayBlockingQueue<Event>(QUEUE_CAPACITY)

    /** Outcomes of calls that were not sent. They bypass the queue, because the event loop must not wait for space in it. */
    private val notSentOutcomes = ArrayList<Event>()

    @Volatile private var isEngineUp = false

    @Volatile private var lastStepUs: Micros = 0

    /** Queues a request; returns false if the queue is full, and the caller must then refuse the request. Any thread. */
    fun offer(event: Event): Boolean = queue.offer(event)

    /** Queues an event that must not be lost, such as the outcome of a call; blocks while the queue is full. Any other thread. */
    fun put(event: Event) = queue.put(event)

    /** Whether this controller accepts requests; false also while the event loop is paused or far behind. Any thread. */
    fun isUp(): Boolean = isEngineUp && monotonicUs() - lastStepUs < MAX_STEP_GAP

    /** Runs until the thread is interrupted. */
    fun run() {
        val batch = ArrayList<Event>()
        try {
            while (!Thread.currentThread().isInterrupted) {
                fill(batch)
                stepSafely(batch)
            }
        } catch (_: InterruptedException) {
            // Interrupted while waiting for an event: restores the interrupt flag for the code that called [run].
            Thread.currentThread().interrupt()
        }
    }

    private fun fill(batch: MutableList<Event>) {
        batch.clear()
        queue.poll(MAX_POLL_WAIT, TimeUnit.MICROSECONDS)?.let(batch::add)
        queue.drainTo(batch, MAX_BATCH)
        batch += notSentOutcomes
        notSentOutcomes.clear()
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
        val now = monotonicUs()
        for (effect in engine.step(now, wallClockUs(), batch)) {
            if (monotonicUs() - now > MAX_STEP_AGE) refuse(effect) else perform(effect)
        }
        isEngineUp = engine.isUp
        lastStepUs = now
    }

    /**
     * Discards an effect of a step during which the process was paused. Its decision may be outdated, because a lease may have
     * expired or other controllers may have acted meanwhile. Requests are answered with 503 and a retry delay; calls are
     * reported to the engine as not sent.
     */
    private fun refuse(effect: Effect) {
        when (effect) {
            is Effect.Send -> effect.reply.answer(errorAnswer(UNAVAILABLE, "stood still", RETRY_AFTER_S))
            is Effect.Start -> notSentOutcomes += Event.CallDone(effect.id, Outcome.NotSent)
        }
    }

    private fun perform(effect: Effect) {
        when (effect) {
            is Effect.Send -> effect.reply.answer(effect.answer)
            is Effect.Start -> startCall(effect.id, effect.call)
        }
    }

    private companion object {
        val LOG = LoggerFactory.getLogger(EventLoop::class.java)
        const val QUEUE_CAPACITY = 4096
        const val MAX_BATCH = 256
        const val MAX_STEP_GAP: Micros = 2_000 * MILLI
        const val MAX_POLL_WAIT: Micros = 50 * MILLI
        const val UNAVAILABLE = 503
        const val RETRY_AFTER_S = 1

        /**
         * Longest time from the start of a step to its effects. A step acts only if the state store has served this controller
         * within the last 2.5 s, so the lease of 5 s is still valid at this age. Steps are far shorter even under CPU contention.
         */
        const val MAX_STEP_AGE: Micros = 2_000 * MILLI
    }
}
