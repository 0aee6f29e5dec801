package mintpick.net

import mintpick.core.SECOND
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertFalse
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import java.net.InetAddress
import java.net.ServerSocket
import java.util.concurrent.ArrayBlockingQueue
import java.util.concurrent.TimeUnit
import java.util.concurrent.atomic.AtomicInteger
import kotlin.concurrent.thread

/**
 * Calls over real sockets to a scripted server. The engine concludes from [Outcome.NotSent] that a request had no effect, so the
 * outcomes must never be confused.
 */
class HttpCallerTest {
    private val outcomes = ArrayBlockingQueue<Outcome>(100)
    private val limits = CallLimits(agentCalls = 8, suspectAgentCalls = 4, keptConnections = 3, maxAnswerBytes = 100_000)
    private val caller = HttpCaller(limits) { _, outcome -> outcomes.put(outcome) }

    /**
     * Accepts connections one at a time. Reads a request with a body of [bodyBytes] bytes and sends back the text that [answer] returns
     * for the request's number, counted from 1. Closes the connection without a response if [answer] returns null.
     */
    private class Server(
        private val bodyBytes: Int,
        private val answer: (Int) -> String?,
    ) : AutoCloseable {
        private val socket = ServerSocket(0, 50, InetAddress.getLoopbackAddress())
        val address = "127.0.0.1:${socket.localPort}"
        val connections = AtomicInteger()
        val requests = AtomicInteger()

        /** Connections that the client has not closed. */
        val openConnections = AtomicInteger()

        init {
            thread(isDaemon = true) {
                while (!socket.isClosed) {
                    val connection = runCatching { socket.accept() }.getOrNull() ?: break
                    connections.incrementAndGet()
                    openConnections.incrementAndGet()
                    connection.use {
                        val input = it.getInputStream().buffered()
                        while (true) {
                            var head = ""
                            while (!head.endsWith("\r\n\r\n")) {
                                // A client that closes its connection immediately may reset it.
                                val next = runCatching { input.read() }.getOrDefault(-1)
                                if (next < 0) return@use
                                head += next.toChar()
                            }
                            input.readNBytes(bodyBytes)
                            val text = answer(requests.incrementAndGet()) ?: return@use
                            it.getOutputStream().write(text.encodeToByteArray())
                            if ("close" in text) return@use
                        }
                    }
                    openConnections.decrementAndGet()
                }
            }
        }

        override fun close() = socket.close()
    }

    private fun call(server: Server): Outcome {
        caller.start(1, Call(Target.Worker(server.address), "POST", "/commands", "{}".encodeToByteArray(), 5 * SECOND))
        return outcomes.take()
    }

    private fun text(outcome: Outcome): String = (outcome as Outcome.Answered).text()

    /** The state store limits the length of a page, but not that of a watch answer. */
    @Test
    fun `an answer that is too long for the memory is reported as such, and its connection is closed`() {
        Server(2) { n ->
            val body = "x".repeat(if (n == 1) limits.maxAnswerBytes + 1 else limits.maxAnswerBytes)
            "HTTP/1.1 200 OK\r\nContent-Length: ${body.length}\r\n\r\n$body"
        }.use { server ->
            val tooLong = call(server) as Outcome.Answered
            assertTrue(tooLong.isTooLong)
            assertEquals(0, tooLong.body.size)
            val longest = call(server) as Outcome.Answered
            assertFalse(longest.isTooLong)
            assertEquals(limits.maxAnswerBytes, longest.body.size)
            assertEquals(2, server.connections.get())
        }
    }

    @Test
    fun `a connection is reused for successive calls until the server closes it`() {
        Server(2) { n -> "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n${if (n == 2) "Connection: close\r\n" else ""}\r\n#$n" }.use { server ->
            assertEquals(listOf("#1", "#2", "#3"), List(3) { text(call(server)) })
            assertEquals(2, server.connections.get())
        }
    }

    /** Connections kept to hundreds of agents took most sockets of a controller, so that neither users nor agents could connect. */
    @Test
    fun `no more connections are kept than the limit, and the one used last is reused`() {
        val servers = List(12) { Server(2) { "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n" } }
        try {
            servers.forEach { assertTrue(call(it) is Outcome.Answered) }
            val deadlineNs = System.nanoTime() + TimeUnit.SECONDS.toNanos(3)
            while (servers.sumOf { it.openConnections.get() } > limits.keptConnections && System.nanoTime() < deadlineNs) Thread.sleep(10)
            assertEquals(limits.keptConnections, servers.sumOf { it.openConnections.get() })
            assertTrue(call(servers.last()) is Outcome.Answered)
            assertEquals(1, servers.last().connections.get())
        } finally {
            servers.forEach { it.close() }
        }
    }

    @Test
    fun `a chunked answer and an answer with an error status are read completely`() {
        Server(2) { n ->
            if (n ==
                1
            ) {
                "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n1\r\nc\r\n0\r\n\r\n"
            } else {
                "HTTP/1.1 409 Conflict\r\nContent-Length: 1\r\n\r\nx"
            }
        }.use { server ->
            assertEquals("abc", text(call(server)))
            val conflict = call(server) as Outcome.Answered
            assertEquals(409 to "x", conflict.status to conflict.text())
        }
    }

    /**
     * If the client repeated a request to start a task by itself, the task could start after the engine has concluded that the first
     * request was lost.
     */
    @Test
    fun `a call whose connection is closed is not sent again, even if the connection was reused`() {
        Server(2) { n -> if (n == 2) null else "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n" }.use { server ->
            assertTrue(call(server) is Outcome.Answered)
            assertEquals(Outcome.Unanswered, call(server))
            assertEquals(2, server.requests.get())
        }
    }

    @Test
    fun `a call without server has the outcome NotSent, and one with a malformed answer Unanswered`() {
        val stopped = Server(2) { null }
        stopped.close()
        assertEquals(Outcome.NotSent, call(stopped))
        Server(2) { "SSH-2.0 what\r\n\r\n\r\n close" }.use { assertEquals(Outcome.Unanswered, call(it)) }
    }

    @Test
    fun `stopping the caller closes idle connections, and later calls are not sent`() {
        ServerSocket(0, 50, InetAddress.getLoopbackAddress()).use { socket ->
            caller.start(1, Call(Target.Worker("127.0.0.1:${socket.localPort}"), "GET", "/inspect", timeoutUs = 5 * SECOND))
            socket.accept().use { connection ->
                connection.soTimeout = 5_000
                val input = connection.getInputStream().bufferedReader()
                while (input.readLine().isNotEmpty()) continue
                connection.getOutputStream().write("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n".encodeToByteArray())
                assertTrue(outcomes.take() is Outcome.Answered)
                caller.stop()
                // An immediate close may reset the connection. A time-out would mean that it is still open.
                val end = runCatching { input.read() }
                assertTrue(end.getOrNull() == -1 || end.exceptionOrNull()?.message == "Connection reset", "$end")
            }
            assertFalse(caller.start(2, Call(Target.Worker("127.0.0.1:${socket.localPort}"), "GET", "/inspect", timeoutUs = 5 * SECOND)))
            assertTrue(outcomes.isEmpty(), "no outcome of a call that is not sent")
        }
    }

    /** The thread ended without an outcome, and the receiver waited for it for ever. */
    @Test
    fun `an answer that does not fit into the memory is reported as an outcome`() {
        val failing = HttpCaller(limits, { _, outcome -> outcomes.put(outcome) }, { _, _ -> throw OutOfMemoryError("answer") })
        failing.start(1, Call(Target.State("127.0.0.1:1"), "GET", "/keys", timeoutUs = SECOND))
        assertEquals(Outcome.NotSent, outcomes.poll(10, TimeUnit.SECONDS))
    }
}
