package mintpick.engine

import mintpick.core.JobId
import mintpick.core.MILLI
import mintpick.core.SECOND
import mintpick.engine.runtime.Event
import mintpick.engine.runtime.EventKind
import mintpick.engine.runtime.ReplyTo
import mintpick.engine.runtime.kind
import mintpick.net.Outcome
import mintpick.wire.MachineReport
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertFalse
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test

class EventQueueTest {
    private var now = 0L
    private val queue = EventQueue { now }
    private val ignored = ReplyTo { }

    private fun heartbeat() = Event.Report(MachineReport("host-000001", "10.0.0.1:1", "m", "z", false, 1, 1, 0), ignored)

    private fun poll() = Event.Poll(JobId("req-000001"), ignored)

    private fun take(maxHeartbeats: Int = EventQueue.MAX_HEARTBEATS): List<Event> {
        val batch = ArrayList<Event>()
        queue.take(batch, expired, maxHeartbeats, maxWaitUs = 0, EventLoopMetrics())
        return batch
    }

    private val expired = ArrayList<ExpiredRequest>()

    @Test
    fun `outcomes of calls and user requests come before heartbeats that arrived earlier`() {
        repeat(1000) { queue.offer(heartbeat()) }
        queue.offer(poll())
        queue.put(Event.CallDone(1, Outcome.NotSent))
        val batch = take(maxHeartbeats = 32)
        assertEquals(listOf(EventKind.CALL_OUTCOME, EventKind.USER_REQUEST), batch.take(2).map { it.kind })
        assertEquals(32, batch.count { it.kind == EventKind.HEARTBEAT })
    }

    @Test
    fun `user requests are accepted while heartbeats fill their lane`() {
        while (queue.offer(heartbeat())) Unit
        assertFalse(queue.offer(heartbeat()))
        assertTrue(queue.offer(poll()))
    }

    @Test
    fun `requests whose senders have given up are refused without work, and do not use up the batch`() {
        repeat(500) { queue.offer(heartbeat()) }
        queue.offer(poll())
        now += 5 * SECOND
        repeat(10) { queue.offer(heartbeat()) }
        val batch = take(maxHeartbeats = 32)
        assertEquals(10, batch.size)
        assertEquals(500, expired.count { it.kind == EventKind.HEARTBEAT })
        assertEquals(1, expired.count { it.kind == EventKind.USER_REQUEST })
    }

    @Test
    fun `submissions and cancellations do not expire`() {
        queue.offer(Event.Cancel(JobId("req-000001"), ignored))
        now += 4 * SECOND
        assertEquals(1, take().size)
    }

    @Test
    fun `the limit on heartbeats falls while steps are long, and recovers`() {
        val limit = HeartbeatLimit()
        repeat(10) { limit.onStep(SECOND, limit.current) }
        val lowest = limit.current
        assertTrue(lowest in 1 until EventQueue.MAX_HEARTBEATS / 4, "$lowest")
        limit.onStep(10 * MILLI, lowest - 1)
        limit.onStep(SECOND, lowest - 1)
        assertEquals(lowest, limit.current, "a batch below the limit says nothing")
        repeat(10) { limit.onStep(10 * MILLI, limit.current) }
        assertEquals(EventQueue.MAX_HEARTBEATS, limit.current)
    }
}
