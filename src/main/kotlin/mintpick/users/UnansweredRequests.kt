package mintpick.users

import mintpick.core.Micros
import mintpick.core.SECOND
import mintpick.engine.runtime.Event
import mintpick.engine.runtime.ReplyTo
import mintpick.net.Answer
import mintpick.net.Respond
import mintpick.net.errorAnswer
import mintpick.net.toResponse
import java.util.concurrent.ConcurrentLinkedQueue
import java.util.concurrent.atomic.AtomicInteger
import java.util.concurrent.atomic.AtomicReference

/**
 * Requests that wait for the event loop's answer. For any thread.
 *
 * @param offer puts an event into the event loop's queue; false if it is full
 * @param maxUserRequests how many users' requests may wait at once
 * @param monotonicUs the steady clock, in microseconds
 */
internal class UnansweredRequests(
    private val offer: (Event) -> Boolean,
    private val maxUserRequests: Int,
    private val monotonicUs: () -> Micros,
) {
    private val userRequests = AtomicInteger()
    private val requests = ConcurrentLinkedQueue<UnansweredRequest>()

    /** One request. Whoever answers first, event loop or [expireOverdue], answers alone. */
    private inner class UnansweredRequest(
        val receivedUs: Micros,
        private val isUserRequest: Boolean,
        respond: Respond,
    ) : ReplyTo {
        // Cleared with the answer: what is answered must not be held in memory until it would be overdue.
        private val openResponse = AtomicReference<Respond?>(respond)

        override fun answer(answer: Answer) {
            val respond = openResponse.getAndSet(null) ?: return
            if (isUserRequest) userRequests.decrementAndGet()
            respond(answer.toResponse())
        }
    }

    /** Queues a user's request; these are refused early, so that workers and health checks always find room in the queue. */
    fun enqueueUserRequest(
        respond: Respond,
        event: (ReplyTo) -> Event,
    ) {
        if (userRequests.incrementAndGet() <= maxUserRequests) return enqueue(respond, isUserRequest = true, event)
        userRequests.decrementAndGet()
        respond(TOO_MANY.toResponse())
    }

    /** Queues [event], whose reply goes to [respond]; refused at once if the queue is full. */
    fun enqueue(
        respond: Respond,
        isUserRequest: Boolean = false,
        event: (ReplyTo) -> Event,
    ) {
        val request = UnansweredRequest(monotonicUs(), isUserRequest, respond)
        requests += request
        if (!offer(event(request))) request.answer(TOO_MANY)
    }

    /** Answers requests that have waited too long. */
    fun expireOverdue() {
        while (true) {
            val oldest = requests.peek() ?: return
            if (monotonicUs() - oldest.receivedUs < MAX_WAIT) return
            requests.poll()
            oldest.answer(errorAnswer(UNAVAILABLE, "no answer in time", RETRY_AFTER_S))
        }
    }

    private companion object {
        const val UNAVAILABLE = 503
        const val RETRY_AFTER_S = 1

        /** As long as a worker waits. */
        const val MAX_WAIT: Micros = 4 * SECOND
        val TOO_MANY = errorAnswer(UNAVAILABLE, "too many requests", RETRY_AFTER_S)
    }
}
