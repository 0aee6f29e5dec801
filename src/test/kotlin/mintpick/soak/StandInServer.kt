package mintpick.soak

import com.sun.net.httpserver.HttpExchange
import com.sun.net.httpserver.HttpServer
import java.io.IOException
import java.net.InetAddress
import java.net.InetSocketAddress
import java.util.concurrent.ExecutorService

/** A request that a stand-in has received. */
internal class StandInRequest(
    val method: String,
    val path: String,
    val body: String,
    private val exchange: HttpExchange,
) {
    /** Sends the answer. May be called from any thread; later calls are ignored by a client that has given up. */
    fun reply(
        status: Int,
        body: String,
    ) {
        try {
            val bytes = body.encodeToByteArray()
            exchange.sendResponseHeaders(status, bytes.size.toLong())
            exchange.responseBody.use { it.write(bytes) }
        } catch (_: IOException) {
            // The client has closed the connection, which faults are meant to cause.
            exchange.close()
        }
    }

    /** Closes the connection without an answer. */
    fun drop() = exchange.close()
}

/** An HTTP server on an ephemeral port of the loopback address. */
internal class StandInServer(
    executor: ExecutorService,
    handle: (StandInRequest) -> Unit,
) : AutoCloseable {
    private val server = HttpServer.create(InetSocketAddress(InetAddress.getLoopbackAddress(), 0), BACKLOG)

    /** Host and port. */
    val address = "127.0.0.1:${server.address.port}"

    init {
        server.executor = executor
        server.createContext("/") { exchange ->
            val body = exchange.requestBody.readAllBytes().decodeToString()
            handle(StandInRequest(exchange.requestMethod, exchange.requestURI.toString(), body, exchange))
        }
        server.start()
    }

    override fun close() = server.stop(0)

    private companion object {
        const val BACKLOG = 256
    }
}
