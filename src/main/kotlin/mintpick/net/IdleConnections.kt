package mintpick.net

import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.ConcurrentLinkedDeque
import java.util.concurrent.TimeUnit
import java.util.concurrent.atomic.AtomicInteger

/**
 * Idle connections, kept for a few seconds for reuse. The most recently used connection to an address is reused first. Thread-safe.
 *
 * @param nowNs the monotonic clock, in nanoseconds
 */
internal class IdleConnections(
    private val nowNs: () -> Long = System::nanoTime,
) : AutoCloseable {
    private val byAddress = ConcurrentHashMap<String, ConcurrentLinkedDeque<PooledConnection>>()
    private val releaseCount = AtomicInteger()

    @Volatile private var isClosed = false

    /** Number of idle connections; approximate while others use this object. */
    val size: Int get() = byAddress.values.sumOf { it.size }

    /** Returns an idle connection to [address] for exclusive use by the caller, or null if there is none. */
    fun acquire(address: String): PooledConnection? {
        val connections = byAddress[address] ?: return null
        while (true) {
            val connection = connections.pollFirst() ?: return null
            if (nowNs() - connection.idleSinceNs < MAX_IDLE_NS) return connection
            connection.close()
        }
    }

    /** Keeps [connection] for the next call to [address]. The caller must no longer use it. */
    fun release(
        address: String,
        connection: PooledConnection,
    ) {
        connection.idleSinceNs = nowNs()
        // Atomic with respect to removeIfEmpty: a connection added to a queue that was removed from the map would never be closed.
        byAddress.compute(address) { _, connections ->
            (connections ?: ConcurrentLinkedDeque()).apply { addFirst(connection) }
        }
        if (releaseCount.incrementAndGet() % RELEASES_PER_CLEANUP == 0) closeExpired()
        if (isClosed) closeAll()
    }

    /** Closes all idle connections, and from now on every connection that is released. */
    override fun close() {
        isClosed = true
        closeAll()
    }

    private fun closeAll() {
        for (connections in byAddress.values) {
            while (true) {
                val connection = connections.pollFirst() ?: break
                connection.close()
            }
        }
    }

    /** Closes connections that have been idle for too long. Idle connections to a whole fleet would use up the sockets. */
    private fun closeExpired() {
        val now = nowNs()
        for ((address, connections) in byAddress) {
            while (true) {
                val oldest = connections.peekLast() ?: break
                if (now - oldest.idleSinceNs < MAX_IDLE_NS || !connections.remove(oldest)) break
                oldest.close()
            }
            if (connections.isEmpty()) removeIfEmpty(address)
        }
    }

    private fun removeIfEmpty(address: String) {
        byAddress.computeIfPresent(address) { _, left -> left.takeIf { it.isNotEmpty() } }
    }

    private companion object {
        val MAX_IDLE_NS: Long = TimeUnit.SECONDS.toNanos(5)
        const val RELEASES_PER_CLEANUP = 64
    }
}
