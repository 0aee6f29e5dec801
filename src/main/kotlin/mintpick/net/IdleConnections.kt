package mintpick.net

import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.ConcurrentLinkedDeque
import java.util.concurrent.TimeUnit
import java.util.concurrent.atomic.AtomicInteger

/**
 * Connections that wait for their next call: the latest used first, each for a few seconds. For any thread.
 *
 * @param nowNs a steady clock in nanoseconds
 */
internal class IdleConnections(
    private val nowNs: () -> Long = System::nanoTime,
) : AutoCloseable {
    private val byAddress = ConcurrentHashMap<String, ConcurrentLinkedDeque<PooledConnection>>()
    private val releaseCount = AtomicInteger()

    @Volatile private var isClosed = false

    /** An idle connection to [address], which is the caller's from now on; null if there is none. */
    fun acquire(address: String): PooledConnection? {
        val connections = byAddress[address] ?: return null
        while (true) {
            val connection = connections.pollFirst() ?: return null
            if (nowNs() - connection.idleSinceNs < MAX_IDLE_NS) return connection
            connection.close()
        }
    }

    /** Keeps [connection], which nobody may use any more, for the next call to [address]. */
    fun release(
        address: String,
        connection: PooledConnection,
    ) {
        connection.idleSinceNs = nowNs()
        // In one step with the removal of what is empty: a connection put into a removed queue would never be closed.
        byAddress.compute(address) { _, connections ->
            (connections ?: ConcurrentLinkedDeque()).apply { addFirst(connection) }
        }
        if (releaseCount.incrementAndGet() % RELEASES_PER_CLEANUP == 0) closeExpired()
        if (isClosed) closeAll()
    }

    /** Closes all, and whatever is released later. */
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

    /** Closes what nobody has asked for: a fleet's worth of idle connections would use up the sockets. */
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
