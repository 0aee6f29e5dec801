package mintpick.net

import com.sun.net.httpserver.HttpExchange
import com.sun.net.httpserver.HttpServer
import mintpick.config.Address
import mintpick.wire.ErrorAnswer
import mintpick.wire.MAX_BODY_BYTES
import mintpick.wire.WireJson
import org.http4k.core.Body
import org.http4k.core.MemoryBody
import org.http4k.core.Method
import org.http4k.core.Request
import org.http4k.core.Response
import org.http4k.core.Status
import org.http4k.core.Uri
import org.slf4j.LoggerFactory
import java.io.IOException
import java.net.InetSocketAddress
import java.nio.ByteBuffer
import java.util.concurrent.Executor
import java.util.concurrent.LinkedBlockingQueue
import java.util.concurrent.ThreadPoolExecutor
import java.util.concurrent.TimeUnit

/** Takes the response to one request, from whatever thread and whenever it is there. */
typealias Respond = (Response) -> Unit

/** Handles a request without holding a thread until its answer is there. */
typealias LaterHandler = (Request, Respond) -> Unit

/**
 * http4k's messages on the JDK's server, bound to one address. A request that waits for its answer holds its connection
 * and no thread: hundreds of workers that turn to one controller at once and wait for a write that adopts them
 * would otherwise take every thread from users and health checks.
 */
class JdkServer(
    private val address: Address,
    threads: Int,
) {
    private val readers = pool("http", threads)
    private val writers = pool("reply", maxOf(1, threads / WRITER_PART))

    fun start(handler: LaterHandler) {
        val server = HttpServer.create(InetSocketAddress(address.host, address.port), BACKLOG)
        server.executor = readers
        server.createContext("/") { exchange -> handle(exchange, handler) }
        server.start()
    }

    private fun handle(
        exchange: HttpExchange,
        handler: LaterHandler,
    ) {
        val method = Method.entries.firstOrNull { it.name == exchange.requestMethod }
        if (method == null) {
            respond(exchange, Response(Status.NOT_IMPLEMENTED))
            return
        }
        val body = exchange.requestBody.readNBytes(MAX_REQUEST_BYTES)
        val request = Request(method, Uri.of(exchange.requestURI.toString())).body(MemoryBody(ByteBuffer.wrap(body)) as Body)
        handler(request) { response -> writers.execute { respond(exchange, response) } }
    }

    private fun respond(
        exchange: HttpExchange,
        response: Response,
    ) {
        try {
            response.headers.forEach { (name, value) -> exchange.responseHeaders.add(name, value) }
            val payload = response.body.payload
            exchange.sendResponseHeaders(response.status.code, if (payload.hasRemaining()) payload.remaining().toLong() else NO_BODY)
            if (payload.hasRemaining()) exchange.responseBody.use { it.write(payload.array(), payload.arrayOffset(), payload.remaining()) }
        } catch (e: IOException) {
            LOG.debug("answer not sent reason={}", e.toString())
        } finally {
            exchange.close()
        }
    }

    companion object {
        private val LOG = LoggerFactory.getLogger(JdkServer::class.java)
        private const val BACKLOG = 512
        private const val IDLE_S = 30L
        private const val STACK_BYTES = 256L * 1024
        private const val WRITER_PART = 4
        private const val NO_BODY = -1L

        /** Above what any interface takes, other controllers' hints included; what is longer is cut off and so malformed. */
        private const val MAX_REQUEST_BYTES = 512 * 1024

        private fun pool(
            name: String,
            threads: Int,
        ): Executor =
            ThreadPoolExecutor(threads, threads, IDLE_S, TimeUnit.SECONDS, LinkedBlockingQueue()) { task ->
                Thread(null, task, name, STACK_BYTES).apply { isDaemon = true }
            }.apply { allowCoreThreadTimeOut(true) }

        /** To be called before the first server starts: the JDK reads these once. */
        fun prepare(maxConnections: Int) {
            System.setProperty("sun.net.httpserver.nodelay", "true")
            System.setProperty("sun.net.httpserver.maxIdleConnections", maxConnections.toString())
            System.setProperty("sun.net.httpserver.idleInterval", "120")
            // Half a request must not hold a reader for as long as a cut lasts.
            System.setProperty("sun.net.httpserver.maxReqTime", "5")
        }
    }
}

/** The body of a request, or null if it is larger than any of the platform's interfaces accepts. */
fun Request.boundedBody(): ByteArray? {
    val bytes = body.payload
    return if (bytes.remaining() > MAX_BODY_BYTES) null else bytes.array().copyOfRange(bytes.position(), bytes.limit())
}

fun Answer.toResponse(): Response {
    val response = Response(Status(status, "")).header("Content-Type", contentType).body(MemoryBody(ByteBuffer.wrap(body)) as Body)
    val told = if (retryAfterS == null) response else response.header("Retry-After", retryAfterS.toString())
    return if (closes) told.header("Connection", "close") else told
}

fun errorAnswer(
    status: Int,
    message: String,
    retryAfterS: Int? = null,
): Answer = Answer.json(status, WireJson.encodeToString(ErrorAnswer.serializer(), ErrorAnswer(message)), retryAfterS)
