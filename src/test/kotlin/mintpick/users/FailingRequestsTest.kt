package mintpick.users

import mintpick.config.Address
import mintpick.core.MemoryBudget
import mintpick.core.SECOND
import mintpick.engine.runtime.Event
import mintpick.net.Answer
import mintpick.net.JdkServer
import mintpick.net.LaterHandler
import mintpick.wire.MAX_BODY_BYTES
import mintpick.wire.WireJson
import mintpick.wire.decodeJson
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertThrows
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import java.net.InetAddress
import java.net.ServerSocket
import java.net.Socket

/** Requests over real connections whose handling fails. */
class FailingRequestsTest {
    private val routes =
        Routes(
            { event -> (event as? Event.Poll)?.reply?.answer(Answer.json(200, "{}")) != null },
            { true },
            maxUserRequests = 100,
            ConnectionLimits(100, 50, 50, 15 * SECOND),
            MemoryBudget(),
        ) { System.nanoTime() / 1_000 }

    private fun freePort(): Int = ServerSocket(0, 1, InetAddress.getLoopbackAddress()).use { it.localPort }

    private fun serve(
        handler: LaterHandler,
        test: (JdkServer, Int) -> Unit,
    ) {
        val port = freePort()
        val server = JdkServer(Address("127.0.0.1", port), THREADS, MAX_BODY_BYTES)
        server.start(handler)
        try {
            test(server, port)
        } finally {
            server.stop()
        }
    }

    /** Sends a request on a connection of its own. Returns the status, or null if there is no answer before the server closes it. */
    private fun send(
        port: Int,
        method: String,
        path: String,
        body: String = "",
    ): Int? =
        Socket(InetAddress.getLoopbackAddress(), port).use { socket ->
            socket.soTimeout = TIMEOUT_MS
            val head = "$method $path HTTP/1.1\r\nHost: x\r\nConnection: close\r\nContent-Length: ${body.length}\r\n\r\n"
            socket.getOutputStream().write((head + body).encodeToByteArray())
            val answer = socket.getInputStream().readAllBytes().decodeToString()
            answer.split(' ').getOrNull(1)?.toInt()
        }

    private fun readerCount() = Thread.getAllStackTraces().keys.count { it.name == "http" }

    /** The parser overflowed the stack of the reading thread: no answer came, and the connection was never closed. */
    @Test
    fun `thousands of submissions and heartbeats of nested arrays get 400, and others are served as before`() =
        serve(routes.api) { server, port ->
            for (n in 1..2_000) {
                val depth = 33 + n * 13 % 30_000
                val body =
                    if (n % 2 ==
                        0
                    ) {
                        "[".repeat(depth) + "]".repeat(depth)
                    } else {
                        "{\"id\":" + "[".repeat(depth) + "]".repeat(depth) + "}"
                    }
                assertEquals(400, send(port, "POST", if (n % 3 == 0) "/checkin" else "/api/jobs", body), "depth $depth")
            }
            assertEquals(200, send(port, "GET", "/up"))
            assertEquals(200, send(port, "GET", "/api/jobs/req-000001"))
            assertTrue(readerCount() <= THREADS, "${readerCount()} threads")
            assertEquals(0, server.failures)
        }

    @Test
    fun `a request whose handler throws gets 500, and its thread serves others`() =
        serve({ request, respond ->
            if (request.uri.path == "/overflow") throw StackOverflowError()
            check(request.uri.path != "/fails") { "as intended" }
            routes.api(request, respond)
        }) { server, port ->
            repeat(3 * THREADS) {
                assertEquals(500, send(port, "GET", "/overflow"))
                assertEquals(500, send(port, "GET", "/fails"))
            }
            assertEquals(200, send(port, "GET", "/up"))
            assertEquals(6L * THREADS, server.failures)
        }

    @Test
    fun `brackets in texts do not count as nesting`() {
        val text = "[\"" + "[".repeat(1_000) + "\\\"" + "{".repeat(1_000) + "\"]"
        assertEquals(
            WireJson.parseToJsonElement(text),
            decodeJson(
                kotlinx.serialization.json.JsonElement
                    .serializer(),
                text,
            ),
        )
        val deep = "[\"\\\\\"," + "[".repeat(40) + "]".repeat(40) + "]"
        assertThrows(kotlinx.serialization.SerializationException::class.java) {
            decodeJson(
                kotlinx.serialization.json.JsonElement
                    .serializer(),
                deep,
            )
        }
    }

    private companion object {
        const val THREADS = 4
        const val TIMEOUT_MS = 5_000
    }
}
