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

/** The thread that owns the engine: it drains the command queue in batches and carries out what comes of them. */
class EventLoop(
    private val engine: Engine,
    private val start: (id: Long, call: Call) -> Unit,
    private val steadyUs: () -> Micros,
    private val wallUs: () -> Micros,
) {
    private val queue = ArrayBlockingQueue<Event>(QUEUE)

    /** False if the queue is full: the caller refuses instead of waiting. */
    fun offer(event: Event): Boolean = queue.offer(event)

    /** Whether requests should come here; a thread that stands still or falls far behind takes none. */
    fun isUp(): Boolean = up && steadyUs() - steppedUs < STUCK

    /** Outcomes of calls that were not made; the owner must not wait for room in its own queue. */
    private val unsent = ArrayList<Event>()

    @Volatile private var up = false

    @Volatile private var steppedUs: Micros = 0

    /** For what must not be lost: outcomes of our own calls. */
    fun put(event: Event) = queue.put(event)

    fun run() {
        val batch = ArrayList<Event>()
        while (!Thread.currentThread().isInterrupted) {
            batch.clear()
            queue.poll(IDLE, TimeUnit.MICROSECONDS)?.let(batch::add)
            queue.drainTo(batch, BATCH)
            batch += unsent
            unsent.clear()
            try {
                val now = steadyUs()
                engine.step(now, wallUs(), batch).forEach { if (steadyUs() - now > STALE) refuse(it) else perform(it) }
                up = engine.isUp
                steppedUs = now
            } catch (e: RuntimeException) {
                // One bad step must not end the service; what was lost is read again or asked again.
                LOG.error("step failed", e)
            }
        }
    }

    /**
     * The process stood still since the step began: what was decided then may be overtaken, by a lease that has ended or by
     * what other controllers have said since. Nothing of it leaves; whoever waits is to ask again.
     */
    private fun refuse(effect: Effect) {
        when (effect) {
            is Effect.Send -> effect.reply.answer(errorAnswer(UNAVAILABLE, "stood still", RETRY_S))
            is Effect.Start -> unsent += Event.CallDone(effect.id, Outcome.NotSent)
        }
    }

    private fun perform(effect: Effect) {
        when (effect) {
            is Effect.Send -> effect.reply.answer(effect.answer)
            is Effect.Start -> start(effect.id, effect.call)
        }
    }

    companion object {
        private val LOG = LoggerFactory.getLogger(EventLoop::class.java)
        private const val QUEUE = 4096
        private const val BATCH = 256
        private const val STUCK: Micros = 2_000 * MILLI
        private const val IDLE: Micros = 50 * MILLI
        private const val UNAVAILABLE = 503
        private const val RETRY_S = 1

        /**
         * A step acts only if the state service has served us within 2.5 s: with this the lease of 5 s still holds. Far above
         * what a step takes when the processor is short.
         */
        private const val STALE: Micros = 2_000 * MILLI
    }
}
