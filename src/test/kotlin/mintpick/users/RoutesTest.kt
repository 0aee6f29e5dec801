package mintpick.users

import mintpick.core.MemoryBudget
import mintpick.core.SECOND
import mintpick.engine.runtime.Event
import mintpick.net.Answer
import mintpick.wire.MachineHint
import mintpick.wire.PeerHint
import mintpick.wire.PeerProtobuf
import org.http4k.core.MemoryBody
import org.http4k.core.Method
import org.http4k.core.Request
import org.http4k.core.RequestSource
import org.http4k.core.Response
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import java.nio.ByteBuffer

/** Requests that the event loop has not answered yet. The clock is simulated. */
class RoutesTest {
    private var now = 0L
    private val events = ArrayList<Event>()
    private val responses = ArrayList<Response>()
    private val routes =
        Routes({ events.add(it) }, { true }, maxUserRequests = 3, ConnectionLimits(4, 2, 2, 15 * SECOND), MemoryBudget()) { now }

    private fun send(
        method: Method,
        path: String,
        body: String = "",
    ) = routes.api(Request(method, path).body(MemoryBody(body))) { responses += it }

    /** Sends a request on the connection from [port]. */
    private fun sendFrom(
        port: Int,
        method: Method,
        path: String,
        body: String = "",
    ) = routes.api(Request(method, path).source(RequestSource("127.0.0.1", port)).body(MemoryBody(body))) { responses += it }

    private val closed get() = responses.map { it.header("Connection") == "close" }

    private val heartbeat =
        """{"picker":"host-000001","endpoint":"10.0.0.1:1","breed":"m","plot":"z",""" +
            """"windfall":true,"shift":1,"tally":1,"baton":0,"pieces":[]}"""

    /**
     * Heartbeats that waited until their machine had been adopted occupied every thread, so that health checks and user
     * requests had to wait for them.
     */
    @Test
    fun `a thousand waiting heartbeats delay neither health checks nor user requests`() {
        repeat(1000) { send(Method.POST, "/checkin", heartbeat) }
        send(Method.GET, "/up")
        send(Method.GET, "/api/jobs/req-000001")
        assertEquals(listOf(200), responses.map { it.status.code })
        assertEquals(1001, events.size)
        (events[1000] as Event.Poll).reply.answer(Answer.json(200, "{}"))
        assertEquals(listOf(200, 200), responses.map { it.status.code })
    }

    /** Agents whose heartbeats waited took every socket, and users could not connect. */
    @Test
    fun `heartbeats on more connections than agents may have are refused at once, and users are served`() {
        (1..6).forEach { sendFrom(it, Method.POST, "/checkin", heartbeat) }
        assertEquals(4, events.size)
        assertEquals(listOf(503, 503), responses.map { it.status.code })
        assertTrue(closed.all { it })
        sendFrom(7, Method.GET, "/api/jobs/req-000001")
        sendFrom(8, Method.GET, "/up")
        assertTrue(events.last() is Event.Poll)
        assertEquals(200, responses.last().status.code)
        // A heartbeat on a connection that an agent has already is not refused.
        sendFrom(1, Method.POST, "/checkin", heartbeat)
        assertEquals(6, events.size)
    }

    @Test
    fun `only some connections of agents stay open after an answer, and none after a refusal`() {
        (1..4).forEach { sendFrom(it, Method.POST, "/checkin", heartbeat) }
        (events[0] as Event.Report).reply.answer(Answer.json(421, "{}"))
        events.drop(1).forEach { (it as Event.Report).reply.answer(Answer.json(200, "{}")) }
        assertEquals(listOf(true, false, false, true), closed)
        // The server closes idle connections after a while, which makes room for others.
        now += 16 * SECOND
        sendFrom(9, Method.POST, "/checkin", heartbeat)
        (events.last() as Event.Report).reply.answer(Answer.json(200, "{}"))
        assertEquals(false, closed.last())
    }

    @Test
    fun `user requests above the limit are refused with Retry-After until others are answered`() {
        repeat(5) { send(Method.GET, "/api/jobs/req-000001") }
        assertEquals(3, events.size)
        assertEquals(listOf(503, 503), responses.map { it.status.code })
        assertTrue(responses.all { it.header("Retry-After") != null })
        (events[0] as Event.Poll).reply.answer(Answer.json(200, "{}"))
        send(Method.GET, "/api/jobs/req-000001")
        assertEquals(4, events.size)
    }

    @Test
    fun `a request that the event loop does not answer in time is refused exactly once`() {
        send(Method.GET, "/api/jobs/req-000001")
        now += 3 * SECOND
        routes.expireOverdueRequests()
        assertEquals(0, responses.size)
        now += SECOND
        routes.expireOverdueRequests()
        assertEquals(listOf(503), responses.map { it.status.code })
        (events[0] as Event.Poll).reply.answer(Answer.json(200, "{}"))
        assertEquals(1, responses.size)
    }

    /** Decoded submissions that waited for the event loop could fill the heap. */
    @Test
    fun `submissions that need too much memory are refused at once with Retry-After, and polls and heartbeats are not`() {
        val large = submission("\"x\",".repeat(15_000))
        val memory = MemoryBudget(heapBytes = 40L * 1024 * 1024)
        val routes = Routes({ events.add(it) }, { true }, maxUserRequests = 100, ConnectionLimits(4, 2, 2, 15 * SECOND), memory) { now }
        val post = { path: String, body: String -> routes.api(Request(Method.POST, path).body(MemoryBody(body))) { responses += it } }
        repeat(10) { post("/api/jobs", large) }
        val accepted = events.size
        assertTrue(accepted in 1..9, "$accepted submissions are waiting")
        assertTrue(responses.all { it.status.code == 503 && it.header("Retry-After") != null })
        post("/checkin", heartbeat)
        routes.api(Request(Method.GET, "/api/jobs/req-000001")) { responses += it }
        assertEquals(accepted + 2, events.size)
        // Answers release the memory.
        events.filterIsInstance<Event.Submit>().forEach { it.reply.answer(Answer.json(201, "{}")) }
        post("/api/jobs", large)
        assertEquals(accepted + 3, events.size)
    }

    @Test
    fun `malformed submissions and heartbeats release their memory`() {
        repeat(2_000) {
            send(Method.POST, "/api/jobs", "[" + "1,".repeat(20_000) + "1]")
            send(Method.POST, "/checkin", "{" + "\"a\":1,".repeat(5_000) + "}")
        }
        assertEquals(setOf(400), responses.map { it.status.code }.toSet())
    }

    private fun submission(types: String) =
        """{"id":"req-000001","sort":"a","crew":"red","shape":"array","rank":"high","pieces":1,"vcpus":1.0,"cards":0.0,"mem_gb":1.0,""" +
            """"bundle":"i","pull_gb":1.0,"breeds":[$types"small"],"together":false,"spread":false,"windfall":true,"guess_s":1.0,""" +
            """"mark_every_s":0.0,"mark_cost_s":0.0}"""

    /** The body limit of the public API rejected hints of large fleets, so that their senders seemed to send no hints. */
    @Test
    fun `a hint larger than the body limit of the public API is accepted`() {
        val hint = PeerHint("node-0", machines = (1..6000).map { MachineHint("host-%06d".format(it), 1) })
        val bytes = PeerProtobuf.encodeToByteArray(PeerHint.serializer(), hint)
        assertTrue(bytes.size > 64 * 1024)
        routes.peerApi(Request(Method.POST, "/hint").body(MemoryBody(ByteBuffer.wrap(bytes)))) { responses += it }
        assertEquals(hint, (events.single() as Event.Hint).hint)
    }
}
