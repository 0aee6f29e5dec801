package mintpick.engine.runtime

import mintpick.core.Micros
import mintpick.core.SECOND
import mintpick.net.Call
import mintpick.net.Outcome
import org.slf4j.LoggerFactory

/**
 * Calls whose outcomes have not arrived yet. The parts of the engine send the next request of a kind only after the outcome of the last
 * one, so an outcome that never arrives, for example because a thread of the caller has failed, would stop that part for ever.
 * Event-loop thread only.
 */
internal class PendingCalls {
    private class PendingCall(
        val overdueUs: Micros,
        val then: (Outcome) -> Unit,
    )

    private val callsById = HashMap<Long, PendingCall>()
    private var nextCheckUs: Micros = 0

    /** Adds call [id], which is overdue at [overdueUs]. */
    fun add(
        id: Long,
        overdueUs: Micros,
        then: (Outcome) -> Unit,
    ) {
        callsById[id] = PendingCall(overdueUs, then)
    }

    /** Removes call [id] and returns its callback; null if the call has ended already. */
    fun remove(id: Long): ((Outcome) -> Unit)? = callsById.remove(id)?.then

    /** Removes the calls that are overdue at [now], and returns their callbacks in the order of the calls. */
    fun takeOverdue(now: Micros): List<(Outcome) -> Unit> {
        if (now < nextCheckUs) return emptyList()
        nextCheckUs = now + CHECK_INTERVAL
        val overdue = callsById.filterValues { now >= it.overdueUs }.toSortedMap()
        if (overdue.isEmpty()) return emptyList()
        LOG.error("outcomes lost calls={}", overdue.size)
        callsById -= overdue.keys
        return overdue.values.map { it.then }
    }

    companion object {
        private val LOG = LoggerFactory.getLogger(PendingCalls::class.java)
        private const val CHECK_INTERVAL: Micros = SECOND

        /** A call may wait for a thread, connect, and receive its answer in several reads, each within its time-out. */
        private const val TIMEOUTS = 3
        private const val QUEUE_TIME: Micros = 10 * SECOND

        /** How long the outcome of [call] may take to arrive. */
        fun patienceFor(call: Call): Micros = call.timeoutUs * TIMEOUTS + QUEUE_TIME
    }
}
