package mintpick.soak

import mintpick.core.Micros
import mintpick.core.SECOND
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.TimeUnit

/**
 * The HTTP client of one agent or user. Its connections stay open until the other side closes them: an agent that turns to another
 * controller comes back on the connection it had.
 */
internal class SoakClient(
    private val sockets: SocketClient,
) : AutoCloseable {
    private val connections = ConcurrentHashMap<String, SocketConnection>()

    /** Sends a POST; [then] receives the answer, or null if there is none within [timeoutUs]. */
    fun post(
        address: String,
        path: String,
        body: String,
        timeoutUs: Micros,
        then: (SoakAnswer?) -> Unit,
    ) {
        val kept = connections.remove(address)
        val startNs = System.nanoTime()
        val use = { connection: SocketConnection ->
            val elapsedUs = TimeUnit.NANOSECONDS.toMicros(System.nanoTime() - startNs)
            connection.send("POST", path, body, timeoutUs - elapsedUs) { answer ->
                if (connection.isOpen) connections.put(address, connection)?.close()
                then(answer)
            }
        }
        if (kept != null && kept.isOpen) return use(kept)
        sockets.connect(address, minOf(timeoutUs, MAX_CONNECT_TIME)) { connection ->
            if (connection == null) then(null) else use(connection)
        }
    }

    /** Closes the connection to [address], if there is one. */
    fun disconnect(address: String) {
        connections.remove(address)?.close()
    }

    override fun close() = connections.keys.toList().forEach(::disconnect)

    private companion object {
        const val MAX_CONNECT_TIME: Micros = SECOND
    }
}
