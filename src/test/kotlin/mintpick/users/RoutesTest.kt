package mintpick.users

import mintpick.core.SECOND
import mintpick.engine.runtime.Event
import mintpick.net.Answer
import mintpick.wire.MachineHint
import mintpick.wire.PeerHint
import mintpick.wire.PeerProtobuf
import org.http4k.core.MemoryBody
import org.http4k.core.Method
import org.http4k.core.Request
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
    private val routes = Routes({ events.add(it) }, { true }, maxUserRequests = 3) { now }

    private fun send(
        method: Method,
        path: String,
        body: String = "",
    ) = routes.api(Request(method, path).body(MemoryBody(body))) { responses += it }

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
