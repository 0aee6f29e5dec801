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
 * The thread that owns the engine: it drains the event queue in batches, steps the engine and carries out its effects.
 *
 * @param startCall starts a call; its outcome comes back through [put]
 * @param monotonicUs the steady clock, in microseconds
 * @param wallClockUs the time of day, in microseconds since 1970
 */
class EventLoop(
    private val engine: Engine,
    private val startCall: (id: Long, call: Call) -> Unit,
    private val monotonicUs: () -> Micros,
    private val wallClockUs: () -> Micros,
) {
    private val queue = ArrayBlockingQueue<Event>(QUEUE_CAPACITY)

    /** Outcomes of calls that were not made; the event loop must not wait for room in its own queue. */
    private val notSentOutcomes = ArrayList<Event>()

    @Volatile private var isEngineUp = false

    @Volatile private var lastStepUs: Micros = 0

    /** Queues a request; false if the queue is full, and the caller refuses instead of waiting. Any thread. */
    fun offer(event: Event): Boolean = queue.offer(event)

    /** Queues what must not be lost, outcomes of our own calls, and waits for room if it has to. Any thread but the event loop's. */
    fun put(event: Event) = queue.put(event)

    /** Whether requests should come here; an event loop that is paused or falls far behind takes none. Any thread. */
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
            // Interrupted while it waited for an event: the flag tells whoever runs this thread.
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

    /** One bad step must not end the service: what was lost is read again or asked again. */
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
     * The process was paused since the step began: what was decided then may be overtaken, by a lease that has expired or by
     * what other controllers have said since. Nothing of it leaves; whoever waits is to ask again.
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
         * A step acts only if the state store has served us within 2.5 s: with this the lease of 5 s still holds. Far above
         * what a step takes when the processor is short.
         */
        const val MAX_STEP_AGE: Micros = 2_000 * MILLI
    }
}
