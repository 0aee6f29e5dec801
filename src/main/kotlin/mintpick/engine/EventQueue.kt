package mintpick.engine

import mintpick.core.Micros
import mintpick.engine.runtime.Event
import mintpick.engine.runtime.kind
import java.util.concurrent.ArrayBlockingQueue
import java.util.concurrent.TimeUnit

/**
 * The event loop's queue. Thread-safe; [take] is for the event-loop thread only.
 *
 * @param monotonicUs reads the monotonic clock, in microseconds
 */
internal class EventQueue(
    private val monotonicUs: () -> Micros,
) {
    private class QueuedEvent(
        val event: Event,
        val queuedUs: Micros,
    )

    private val queue = ArrayBlockingQueue<QueuedEvent>(CAPACITY)
    private val taken = ArrayList<QueuedEvent>()

    /** Adds [event]; returns false if the queue is full. */
    fun offer(event: Event): Boolean = queue.offer(QueuedEvent(event, monotonicUs()))

    /** Adds [event]; blocks while the queue is full. */
    fun put(event: Event) = queue.put(QueuedEvent(event, monotonicUs()))

    /** Moves waiting events into [batch]. If there are none, waits for up to [maxWaitUs] for one. Reports to [metrics]. */
    fun take(
        batch: MutableList<Event>,
        maxWaitUs: Micros,
        metrics: EventLoopMetrics,
    ) {
        taken.clear()
        metrics.recordQueue(queue.size)
        queue.poll(maxWaitUs, TimeUnit.MICROSECONDS)?.let(taken::add)
        queue.drainTo(taken, MAX_BATCH)
        val now = monotonicUs()
        for (queued in taken) {
            metrics.recordWait(queued.event.kind, now - queued.queuedUs)
            batch += queued.event
        }
    }

    private companion object {
        const val CAPACITY = 4096
        const val MAX_BATCH = 256
    }
}
