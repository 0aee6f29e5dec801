package mintpick.net

import java.util.concurrent.TimeUnit

/**
 * Idle connections, kept for a few seconds for reuse, at most [maxKept] of them. The most recently used connection to an address is
 * reused first; the least recently used one of all is closed first. Thread-safe.
 *
 * @param nowNs the monotonic clock, in nanoseconds
 */
internal class IdleConnections(
    private val maxKept: Int,
    private val nowNs: () -> Long = System::nanoTime,
) : AutoCloseable {
    private val byAddress = HashMap<String, ArrayDeque<PooledConnection>>()

    /** The address of each connection, in the order of their release. */
    private val addresses = LinkedHashMap<PooledConnection, String>()
    private var isClosed = false

    /** Number of idle connections. */
    val size: Int @Synchronized get() = addresses.size

    /** Returns an idle connection to [address] for exclusive use by the caller, or null if there is none. */
    @Synchronized
    fun acquire(address: String): PooledConnection? {
        closeExpired()
        val connection = byAddress[address]?.last() ?: return null
        remove(connection)
        return connection
    }

    /** Keeps [connection] for the next call to [address]. The caller must no longer use it. */
    @Synchronized
    fun release(
        address: String,
        connection: PooledConnection,
    ) {
        connection.idleSinceNs = nowNs()
        byAddress.getOrPut(address) { ArrayDeque() }.addLast(connection)
        addresses[connection] = address
        closeExpired()
        while (addresses.size > (if (isClosed) 0 else maxKept)) closeEldest()
    }

    /** Closes all idle connections, and from now on every connection that is released. */
    @Synchronized
    override fun close() {
        isClosed = true
        while (addresses.isNotEmpty()) closeEldest()
    }

    private fun closeExpired() {
        while (true) {
            val eldest = addresses.keys.firstOrNull() ?: return
            if (nowNs() - eldest.idleSinceNs < MAX_IDLE_NS) return
            closeEldest()
        }
    }

    private fun closeEldest() {
        val eldest = addresses.keys.first()
        remove(eldest)
        eldest.close()
    }

    private fun remove(connection: PooledConnection) {
        val address = addresses.remove(connection) ?: return
        val connections = byAddress.getValue(address)
        connections.remove(connection)
        if (connections.isEmpty()) byAddress.remove(address)
    }

    private companion object {
        val MAX_IDLE_NS: Long = TimeUnit.SECONDS.toNanos(5)
    }
}
