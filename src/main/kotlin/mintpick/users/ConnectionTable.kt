package mintpick.users

import mintpick.core.Micros
import org.http4k.core.RequestSource

/** Sender of a request, and so the kind of client that a connection belongs to. */
internal enum class ClientKind { USER, AGENT, HEALTH_CHECK }

/**
 * Connections of clients by kind, as far as their requests show them: a connection that its client closes stays in the table until it has
 * been idle for [idleUs]. Thread-safe.
 *
 * @param idleUs time after which the server closes an idle connection, in microseconds
 * @param monotonicUs the monotonic clock, in microseconds
 */
internal class ConnectionTable(
    private val idleUs: Micros,
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

    /** Records a request of a client of [kind] on the connection [id]. */
    @Synchronized
    fun onRequest(
        id: RequestSource,
        kind: ClientKind,
    ) {
        forgetIdle()
        remove(id)
        connections[id] = Connection(kind, monotonicUs())
        count(open, most, kind, 1)
        count(waiting, mostWaiting, kind, 1)
    }

    /** Records the answer to the request on the connection [id], and whether it [closes] the connection. */
    @Synchronized
    fun onAnswer(
        id: RequestSource,
        closes: Boolean,
    ) {
        val connection = remove(id) ?: return
        if (closes) return
        connection.isWaiting = false
        connection.lastUsedUs = monotonicUs()
        connections[id] = connection
        count(open, most, connection.kind, 1)
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
        val before = monotonicUs() - idleUs
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
