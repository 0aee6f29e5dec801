package mintpick.net

import com.sun.net.httpserver.HttpExchange
import com.sun.net.httpserver.HttpServer
import mintpick.config.Address
import org.http4k.core.Body
import org.http4k.core.MemoryBody
import org.http4k.core.Method
import org.http4k.core.Request
import org.http4k.core.RequestSource
import org.http4k.core.Response
import org.http4k.core.Status
import org.http4k.core.Uri
import org.slf4j.LoggerFactory
import java.io.IOException
import java.io.InputStream
import java.net.InetSocketAddress
import java.nio.ByteBuffer
import java.util.concurrent.Executor
import java.util.concurrent.ExecutorService
import java.util.concurrent.LinkedBlockingQueue
import java.util.concurrent.RejectedExecutionException
import java.util.concurrent.ThreadPoolExecutor
import java.util.concurrent.TimeUnit
import java.util.concurrent.atomic.AtomicLong

/**
 * HTTP server on one address: the JDK's server with http4k's messages. A request that waits for its response occupies a connection
 * but no thread. Otherwise hundreds of agents that switch to one controller at the same time, each waiting for the write that takes
 * over its machine, would occupy all threads and block users and health checks.
 *
 * Must be started and stopped by the same thread. The server's threads are daemons.
 *
 * @param threads number of requests that are read at the same time
 * @param maxBodyBytes longest body of a request that is kept; of a longer one, one byte more is passed on, so that it can be refused
 */
class JdkServer(
    private val address: Address,
    threads: Int,
    private val maxBodyBytes: Int,
) {
    private val readers = pool("http", threads)
    private val writers = pool("reply", maxOf(1, threads / READERS_PER_WRITER))
    private var server: HttpServer? = null

    private val failureCount = AtomicLong()

    /** Number of requests whose handling has thrown an exception since the start. */
    val failures: Long get() = failureCount.get()

    /** How long requests waited for a reader thread, and answers for a writer thread. */
    val waits = ServerWaits()

    /**
     * Binds the address and serves requests with [handler]. Must be called only once.
     *
     * @throws IOException if the address cannot be bound
     */
    fun start(handler: LaterHandler) {
        val bound = HttpServer.create(InetSocketAddress(address.host, address.port), BACKLOG)
        server = bound
        bound.executor = Executor { task -> queueRequest(task) }
        bound.createContext("/") { exchange -> handleSafely(exchange, handler) }
        bound.start()
    }

    /** Closes the listener and all connections immediately, including those of unanswered requests. */
    internal fun stop() {
        server?.stop(0)
        readers.shutdownNow()
        writers.shutdownNow()
    }

    /** Queues [task], which reads a request and handles it. */
    private fun queueRequest(task: Runnable) {
        val queuedNs = System.nanoTime()
        readers.execute {
            waits.recordRead(System.nanoTime() - queuedNs)
            task.run()
        }
    }

    /** Answers with 500 and closes the connection if handling the request fails, whatever is thrown. */
    private fun handleSafely(
        exchange: HttpExchange,
        handler: LaterHandler,
    ) {
        try {
            handle(exchange, handler)
        } catch (e: IOException) {
            logFailure(exchange, e)
            exchange.close()
        } catch (e: RuntimeException) {
            answerFailure(exchange, e)
        } catch (e: StackOverflowError) {
            answerFailure(exchange, e)
        }
    }

    private fun answerFailure(
        exchange: HttpExchange,
        cause: Throwable,
    ) {
        LOG.error("request failed path={} failures={}", exchange.requestURI, failureCount.incrementAndGet(), cause)
        respond(exchange, Response(Status.INTERNAL_SERVER_ERROR).header("Connection", "close"))
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
        val body = readBody(exchange.requestBody)
        val client = RequestSource(exchange.remoteAddress.address.hostAddress, exchange.remoteAddress.port)
        val request = Request(method, Uri.of(exchange.requestURI.toString())).source(client).body(MemoryBody(ByteBuffer.wrap(body)) as Body)
        handler(request) { response -> queueResponse(exchange, response) }
    }

    /** Reads the body in [input]. The rest of one that is too long is skipped, because a client sends all of it before it reads the answer. */
    private fun readBody(input: InputStream): ByteArray {
        val body = input.readNBytes(maxBodyBytes + 1)
        if (body.size > maxBodyBytes) input.skip(MAX_SKIPPED_BYTES)
        return body
    }

    private fun queueResponse(
        exchange: HttpExchange,
        response: Response,
    ) {
        val queuedNs = System.nanoTime()
        try {
            writers.execute {
                waits.recordWrite(System.nanoTime() - queuedNs)
                respond(exchange, response)
            }
        } catch (e: RejectedExecutionException) {
            // Happens only after the server was stopped, because the queue is unbounded.
            LOG.debug("answer not sent path={}", exchange.requestURI, e)
            exchange.close()
        }
    }

    private fun respond(
        exchange: HttpExchange,
        response: Response,
    ) {
        try {
            response.headers.forEach { (name, value) -> exchange.responseHeaders.add(name, value) }
            val payload = response.body.payload
            val length = payload.remaining()
            exchange.sendResponseHeaders(response.status.code, if (length > 0) length.toLong() else NO_BODY)
            if (length > 0) exchange.responseBody.use { it.write(payload.array(), payload.arrayOffset(), length) }
        } catch (e: IOException) {
            logFailure(exchange, e)
        } finally {
            exchange.close()
        }
    }

    /** At debug level only: clients often close the connection before the answer when the service is slow. */
    private fun logFailure(
        exchange: HttpExchange,
        cause: IOException,
    ) = LOG.debug("answer not sent path={} reason={}", exchange.requestURI, cause.toString())

    companion object {
        private val LOG = LoggerFactory.getLogger(JdkServer::class.java)
        private const val BACKLOG = 512
        private const val IDLE_THREAD_S = 30L
        private const val STACK_BYTES = 256L * 1024
        private const val READERS_PER_WRITER = 4

        /** Length that the JDK's server expects for a response without body. */
        private const val NO_BODY = -1L

        /** Larger than any hint of a peer. */
        const val MAX_PEER_REQUEST_BYTES = 512 * 1024
        private const val MAX_SKIPPED_BYTES = 512L * 1024

        /** How often idle connections are looked for, in milliseconds. */
        const val IDLE_CHECK_MS = 2_000L

        /** An incomplete request must not occupy a reader thread for the duration of a network partition. */
        private const val MAX_REQUEST_S = 5

        private fun pool(
            name: String,
            threads: Int,
        ): ExecutorService {
            val pool =
                ThreadPoolExecutor(threads, threads, IDLE_THREAD_S, TimeUnit.SECONDS, LinkedBlockingQueue()) { task ->
                    Thread(null, task, name, STACK_BYTES).apply { isDaemon = true }
                }
            pool.allowCoreThreadTimeOut(true)
            return pool
        }

        /**
         * Sets the system properties of the JDK's server for all servers of the process. Must be called before the first server starts,
         * because the JDK reads them only once.
         *
         * @param maxConnections largest number of connections that a server accepts; further ones are closed at once
         * @param maxIdle largest number of connections of a server that stay open between two requests
         * @param idleS time after which a connection without a request is closed, in seconds
         */
        fun prepare(
            maxConnections: Int,
            maxIdle: Int,
            idleS: Long,
        ) {
            System.setProperty("sun.net.httpserver.nodelay", "true")
            System.setProperty("jdk.httpserver.maxConnections", maxConnections.toString())
            System.setProperty("sun.net.httpserver.maxIdleConnections", maxIdle.toString())
            System.setProperty("sun.net.httpserver.idleInterval", idleS.toString())
            System.setProperty("sun.net.httpserver.clockTick", IDLE_CHECK_MS.toString())
            System.setProperty("sun.net.httpserver.maxReqTime", MAX_REQUEST_S.toString())
        }
    }
}
