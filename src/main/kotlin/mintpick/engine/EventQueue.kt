package mintpick.engine

import mintpick.core.Micros
import mintpick.core.SECOND
import mintpick.engine.runtime.Event
import mintpick.engine.runtime.EventKind
import mintpick.engine.runtime.ReplyTo
import mintpick.engine.runtime.kind
import java.util.concurrent.ArrayBlockingQueue
import java.util.concurrent.Semaphore
import java.util.concurrent.TimeUnit

/** A request whose sender no longer waits for an answer. It needs no more work than a refusal. */
internal class ExpiredRequest(
    val kind: EventKind,
    val reply: ReplyTo,
)

/**
 * The event loop's queue, with a lane for each kind of event. What users and leases depend on is taken first: outcomes of calls, then
 * hints and requests of users, then heartbeats, however many of those wait. Requests whose senders have stopped waiting are separated,
 * so that a backlog can't consist of work that is useless by the time it is done. Thread-safe; [take] is for the event-loop thread only.
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

    /** The events of one or several kinds, in the order of their arrival. */
    private inner class Lane(
        capacity: Int,
    ) {
        private val events = ArrayBlockingQueue<QueuedEvent>(capacity)
        val size: Int get() = events.size

        fun offer(event: Event): Boolean {
            val isAdded = events.offer(QueuedEvent(event, monotonicUs()))
            if (isAdded) arrivals.release()
            return isAdded
        }

        fun put(event: Event) {
            events.put(QueuedEvent(event, monotonicUs()))
            arrivals.release()
        }

        /** Moves up to [limit] events into [batch] and those that nobody waits for into [expired], which do not count. */
        fun take(
            limit: Int,
            now: Micros,
            batch: MutableList<Event>,
            expired: MutableList<ExpiredRequest>,
            metrics: EventLoopMetrics,
        ) {
            var taken = 0
            while (taken < limit) {
                val queued = events.poll() ?: return
                val kind = queued.event.kind
                val waitedUs = now - queued.queuedUs
                metrics.recordWait(kind, waitedUs)
                val reply = replyIfExpired(queued.event, waitedUs)
                if (reply == null) {
                    batch += queued.event
                    taken++
                } else {
                    expired += ExpiredRequest(kind, reply)
                }
            }
        }
    }

    /** One permit for each event since the last [take], so that the event loop can wait for all lanes at once. */
    private val arrivals = Semaphore(0)
    private val outcomes = Lane(OUTCOME_CAPACITY)
    private val hints = Lane(HINT_CAPACITY)
    private val userRequests = Lane(USER_REQUEST_CAPACITY)
    private val heartbeats = Lane(HEARTBEAT_CAPACITY)

    /** Adds [event]; returns false if its lane is full. */
    fun offer(event: Event): Boolean = laneOf(event).offer(event)

    /** Adds [event]; blocks while its lane is full. */
    fun put(event: Event) = laneOf(event).put(event)

    private fun laneOf(event: Event): Lane =
        when (event.kind) {
            EventKind.CALL_OUTCOME -> outcomes
            EventKind.PEER_HINT, EventKind.STATUS_REQUEST -> hints
            EventKind.USER_REQUEST -> userRequests
            EventKind.HEARTBEAT -> heartbeats
        }

    /**
     * Moves waiting events into [batch], at most [maxHeartbeats] heartbeats among them, and those that nobody waits for any more into
     * [expired]. If there are none, waits for up to [maxWaitUs] for one. Reports to [metrics].
     */
    fun take(
        batch: MutableList<Event>,
        expired: MutableList<ExpiredRequest>,
        maxHeartbeats: Int,
        maxWaitUs: Micros,
        metrics: EventLoopMetrics,
    ) {
        metrics.recordQueue(outcomes.size + hints.size + userRequests.size + heartbeats.size)
        if (heartbeats.size == 0) arrivals.tryAcquire(maxWaitUs, TimeUnit.MICROSECONDS)
        arrivals.drainPermits()
        val now = monotonicUs()
        outcomes.take(MAX_OUTCOMES, now, batch, expired, metrics)
        hints.take(MAX_HINTS, now, batch, expired, metrics)
        userRequests.take(MAX_USER_REQUESTS, now, batch, expired, metrics)
        heartbeats.take(maxHeartbeats, now, batch, expired, metrics)
    }

    /** The reply of a request whose sender has given up after [waitedUs]; null for all other events. */
    private fun replyIfExpired(
        event: Event,
        waitedUs: Micros,
    ): ReplyTo? =
        when {
            event is Event.Report && waitedUs > HEARTBEAT_PATIENCE -> event.reply
            event is Event.Poll && waitedUs > POLL_PATIENCE -> event.reply
            else -> null
        }

    companion object {
        private const val OUTCOME_CAPACITY = 1024
        private const val HINT_CAPACITY = 128
        private const val USER_REQUEST_CAPACITY = 1024
        private const val HEARTBEAT_CAPACITY = 4096
        private const val MAX_OUTCOMES = 256
        private const val MAX_HINTS = 16
        private const val MAX_USER_REQUESTS = 128

        /** Largest number of heartbeats in one batch. */
        const val MAX_HEARTBEATS = 256

        /** An agent turns to the next controller when it has waited this long for an answer. */
        private const val HEARTBEAT_PATIENCE: Micros = 4 * SECOND

        /** A user gives a poll up after 2 s. */
        private const val POLL_PATIENCE: Micros = 2 * SECOND
    }
}
