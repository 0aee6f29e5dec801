package mintpick.users

import mintpick.core.Micros
import mintpick.core.SECOND
import mintpick.engine.runtime.Event
import mintpick.engine.runtime.ReplyTo
import mintpick.net.Answer
import mintpick.net.Respond
import mintpick.net.errorAnswer
import mintpick.net.refusal
import mintpick.net.toResponse
import java.util.concurrent.ConcurrentLinkedQueue
import java.util.concurrent.atomic.AtomicInteger
import java.util.concurrent.atomic.AtomicReference

/**
 * HTTP requests that are waiting for an answer of the event loop. Thread-safe.
 *
 * @param offer adds an event to the event loop's queue; returns false if the queue is full
 * @param maxUserRequests maximum number of user requests that may be waiting at the same time
 * @param monotonicUs the monotonic clock, in microseconds
 */
internal class UnansweredRequests(
    private val offer: (Event) -> Boolean,
    private val maxUserRequests: Int,
    private val monotonicUs: () -> Micros,
) {
    /** Requests refused since the last report. */
    val refusals = RefusalCounts()

    private val userRequests = AtomicInteger()
    private val requests = ConcurrentLinkedQueue<UnansweredRequest>()

    /** A single request. Only the first answer is sent, whether it comes from the event loop or from [expireOverdue]. */
    private inner class UnansweredRequest(
        val receivedUs: Micros,
        private val isUserRequest: Boolean,
        respond: Respond,
    ) : ReplyTo {
        // Cleared by the answer, because an answered request stays in the queue, and thus in memory, until its timeout.
        private val openResponse = AtomicReference<Respond?>(respond)

        override fun answer(answer: Answer) {
            val respond = openResponse.getAndSet(null) ?: return
            if (isUserRequest) userRequests.decrementAndGet()
            recordRefusal(answer, if (isUserRequest) RequestOrigin.USER else RequestOrigin.AGENT_OR_PEER)
            respond(answer.toResponse())
        }
    }

    /**
     * Enqueues a user request. User requests above [maxUserRequests] are refused, so that the event loop's queue always has
     * capacity for heartbeats and peer hints.
     */
    fun enqueueUserRequest(
        respond: Respond,
        event: (ReplyTo) -> Event,
    ) {
        if (userRequests.incrementAndGet() <= maxUserRequests) return enqueue(respond, isUserRequest = true, event)
        userRequests.decrementAndGet()
        recordRefusal(TOO_MANY_USERS, RequestOrigin.USER)
        respond(TOO_MANY_USERS.toResponse())
    }

    /** Enqueues [event], whose answer is sent to [respond]. Refuses the request immediately if the event loop's queue is full. */
    fun enqueue(
        respond: Respond,
        isUserRequest: Boolean = false,
        event: (ReplyTo) -> Event,
    ) {
        val request = UnansweredRequest(monotonicUs(), isUserRequest, respond)
        requests += request
        if (!offer(event(request))) request.answer(TOO_MANY)
    }

    /** Counts [answer] to a sender of [origin] if it is a refusal. */
    fun recordRefusal(
        answer: Answer,
        origin: RequestOrigin,
    ) {
        if (answer.status == TOO_MANY_REQUESTS ||
            answer.status == UNAVAILABLE
        ) {
            refusals.record(origin, answer.status, answer.reason.orEmpty())
        }
    }

    /** Refuses requests that have been waiting for longer than [MAX_WAIT]. */
    fun expireOverdue() {
        while (true) {
            val oldest = requests.peek() ?: return
            if (monotonicUs() - oldest.receivedUs < MAX_WAIT) return
            requests.poll()
            oldest.answer(errorAnswer(UNAVAILABLE, "no answer in time", RETRY_AFTER_S))
        }
    }

    private companion object {
        const val TOO_MANY_REQUESTS = 429
        const val UNAVAILABLE = 503
        const val RETRY_AFTER_S = 1

        /** Equal to the timeout of an agent's heartbeat. */
        const val MAX_WAIT: Micros = 4 * SECOND
        val TOO_MANY = errorAnswer(UNAVAILABLE, "too many requests", RETRY_AFTER_S)
        val TOO_MANY_USERS = refusal(UNAVAILABLE, "too many requests", RETRY_AFTER_S, reason = "too many user requests")
    }
}
