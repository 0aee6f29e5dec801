package mintpick.users

import mintpick.core.Micros
import org.http4k.core.RequestSource

/** Sender of a request, and so the kind of client that a connection belongs to. */
internal enum class ClientKind { USER, AGENT, HEALTH_CHECK }

/**
 * Largest numbers of connections by kind of client.
 *
 * @param agents connections of agents, including those that wait for an answer
 * @param keptAgents connections of agents that stay open after an answer
 * @param keptUsers connections of users that stay open after an answer
 * @param idleUs time after which the server closes an idle connection, in microseconds
 */
data class ConnectionLimits(
    val agents: Int,
    val keptAgents: Int,
    val keptUsers: Int,
    val idleUs: Micros,
)

/**
 * Connections of clients by kind, and which of them may be used or stay open, so that agents leave sockets to users and health checks. The
 * table knows connections by their requests only: one that its client closes stays in it until it has been idle for the time after which
 * the server closes it. Thread-safe.
 *
 * @param monotonicUs the monotonic clock, in microseconds
 */
internal class ConnectionTable(
    private val limits: ConnectionLimits,
    private val monotonicUs: () -> Micros,
) {
    private class Connection(
        val kind: ClientKind,
        var lastUsedUs: Micros,
    ) {
        var isWaiting = true
    }

    /** In the order of their last use. */
    private val connections = LinkedHashMap<RequestSource, Connection>()
    private val open = IntArray(ClientKind.entries.size)
    private val most = IntArray(ClientKind.entries.size)
    private val waiting = IntArray(ClientKind.entries.size)
    private val mostWaiting = IntArray(ClientKind.entries.size)

    /**
     * Records a request of a client of [kind] on the connection [id]. Returns false if there are too many connections of its kind: the
     * request must be refused, and the connection closed.
     */
    @Synchronized
    fun tryAdmit(
        id: RequestSource,
        kind: ClientKind,
    ): Boolean {
        forgetIdle()
        val isKnown = remove(id) != null
        if (kind == ClientKind.AGENT && !isKnown && open[kind.ordinal] >= limits.agents) return false
        connections[id] = Connection(kind, monotonicUs())
        count(open, most, kind, 1)
        count(waiting, mostWaiting, kind, 1)
        return true
    }

    /** Records the answer to the request on the connection [id]. Returns whether it stays open, which requires that it [mayStay]. */
    @Synchronized
    fun onAnswer(
        id: RequestSource,
        mayStay: Boolean,
    ): Boolean {
        val connection = remove(id) ?: return false
        val kind = connection.kind
        val idle = open[kind.ordinal] - waiting[kind.ordinal]
        if (!mayStay || idle >= maxIdle(kind)) return false
        connection.isWaiting = false
        connection.lastUsedUs = monotonicUs()
        connections[id] = connection
        count(open, most, kind, 1)
        return true
    }

    private fun maxIdle(kind: ClientKind): Int =
        when (kind) {
            ClientKind.AGENT -> limits.keptAgents
            ClientKind.USER -> limits.keptUsers
            ClientKind.HEALTH_CHECK -> Int.MAX_VALUE
        }

    /** Returns a text for the log: connections by kind now and at most since the last call, and those that wait for an answer. */
    @Synchronized
    fun takeReport(): String {
        forgetIdle()
        val kinds =
            ClientKind.entries.joinToString(" ") { kind ->
                val i = kind.ordinal
                "${kind.name.lowercase()}=${open[i]} most=${most[i]} waiting=${waiting[i]} most_waiting=${mostWaiting[i]}"
            }
        open.copyInto(most)
        waiting.copyInto(mostWaiting)
        return kinds
    }

    private fun remove(id: RequestSource): Connection? {
        val connection = connections.remove(id) ?: return null
        open[connection.kind.ordinal]--
        if (connection.isWaiting) waiting[connection.kind.ordinal]--
        return connection
    }

    private fun forgetIdle() {
        val before = monotonicUs() - limits.idleUs
        while (true) {
            val (id, eldest) = connections.entries.firstOrNull() ?: return
            if (eldest.lastUsedUs >= before) return
            remove(id)
        }
    }

    private fun count(
        counts: IntArray,
        largest: IntArray,
        kind: ClientKind,
        change: Int,
    ) {
        counts[kind.ordinal] += change
        largest[kind.ordinal] = maxOf(largest[kind.ordinal], counts[kind.ordinal])
    }
}
