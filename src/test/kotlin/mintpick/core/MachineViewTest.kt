package mintpick.core

import mintpick.wire.ExitCause
import mintpick.wire.MachineReport
import mintpick.wire.TaskReport
import mintpick.wire.TaskState
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertFalse
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test

class MachineViewTest {
    private val attempt = AttemptId(TaskId(JobId("req-000001"), 0), 2)

    private fun status(
        seq: Long,
        token: Long = 5,
        agentEpoch: Long = 1,
        vararg tasks: TaskReport,
    ) = MachineReport("m", "10.1.0.1:9000", "small", "north", false, agentEpoch, seq, token, null, tasks.toList())

    private fun exited(cause: ExitCause) = TaskReport("req-000001/0", 2, TaskState.EXITED, cause)

    private fun view() = MachineView(MachineId("m"), 0)

    @Test
    fun `an older status never replaces a newer one`() {
        val view = view()
        assertTrue(view.applyStatus(status(7), 1, isDirectAnswer = false))
        assertFalse(view.applyStatus(status(6), 2, isDirectAnswer = false))
        assertFalse(view.applyStatus(status(7), 2, isDirectAnswer = true))
        assertTrue(view.applyStatus(status(1, agentEpoch = 2), 3, isDirectAnswer = false))
        assertFalse(view.applyStatus(status(99), 4, isDirectAnswer = false))
    }

    @Test
    fun `a missing attempt proves nothing while a start of an earlier controller may still arrive`() {
        val view = view()
        view.applyStatus(status(1, token = 4), 1, isDirectAnswer = false)
        assertEquals(Proof.None, view.proof(attempt, 5))
        view.applyStatus(status(2, token = 5), 2, isDirectAnswer = false)
        assertEquals(Proof.Ended(null), view.proof(attempt, 5))
    }

    @Test
    fun `a start that timed out prevents proof and forgetting until the token or the agent epoch increases`() {
        for ((token, agentEpoch) in listOf(6L to 1L, 5L to 2L)) {
            val view = view()
            view.applyStatus(status(1), 1, isDirectAnswer = false)
            view.recordStartSent(attempt, 5, 1)
            view.recordStartTimeout(attempt)
            view.applyStatus(status(2, 5, 1, exited(ExitCause.STOPPED)), 2, isDirectAnswer = false)
            assertEquals(Proof.None, view.proof(attempt, 5))
            assertFalse(view.mayForget(attempt, 5))
            assertTrue(view.needsHigherToken)
            view.applyStatus(status(3, token, agentEpoch), 3, isDirectAnswer = false)
            assertEquals(Proof.Ended(null), view.proof(attempt, token))
        }
    }

    @Test
    fun `a start in a heartbeat response may arrive until the next heartbeat`() {
        val view = view()
        view.applyStatus(status(1), 1, isDirectAnswer = false)
        view.recordStartsInAnswer(setOf(attempt))
        assertEquals(Proof.None, view.proof(attempt, 5))
        view.applyStatus(status(2), 2, isDirectAnswer = true)
        assertEquals(Proof.None, view.proof(attempt, 5))
        view.applyStatus(status(3), 3, isDirectAnswer = false)
        assertEquals(Proof.Ended(null), view.proof(attempt, 5))
    }

    @Test
    fun `completion is proven with any token`() {
        val view = view()
        view.applyStatus(status(1, 1, 1, exited(ExitCause.DONE)), 1, isDirectAnswer = false)
        assertEquals(Proof.Completed, view.proof(attempt, 9))
        assertFalse(view.mayForget(attempt, 9))
    }

    @Test
    fun `the oldest images are evicted when the cache is full`() {
        val view = view()
        view.recordImage("a", 2.0, 5.0)
        view.recordImage("b", 2.0, 5.0)
        view.recordImage("a", 2.0, 5.0)
        view.recordImage("c", 2.0, 5.0)
        assertEquals(setOf("a", "c"), view.imageNames)
    }

    @Test
    fun `a lease has expired only if no controller's response can have renewed it`() {
        val lease = 18 * SECOND
        val late = 40 * SECOND
        val view = view()
        view.applyStatus(status(1, token = 4), SECOND, isDirectAnswer = false)
        view.recordHeartbeatAnswered(SECOND)
        assertFalse(view.hasLeaseExpired(late, 0, 5, lease), "the agent still accepts the lower token of an earlier controller")
        view.applyStatus(status(2, token = 5), 2 * SECOND, isDirectAnswer = false)
        view.recordHeartbeatAnswered(2 * SECOND)
        assertTrue(view.hasLeaseExpired(late, 0, 5, lease))
        assertFalse(view.hasLeaseExpired(late, 3 * SECOND, 5, lease), "other controllers may have responded before control began")
        assertFalse(view.hasLeaseExpired(20 * SECOND, 0, 5, lease), "too early")
        view.applyStatus(status(3, token = 5), 30 * SECOND, isDirectAnswer = false)
        assertFalse(view.hasLeaseExpired(late, 0, 5, lease), "a newer status was received")
    }

    /**
     * The response to a heartbeat is delayed by seconds. Meanwhile the same attempt is started by a direct command and stopped. If
     * the agent forgot the attempt then, the start in the late response would run it again.
     */
    @Test
    fun `an attempt is not forgotten while its start may still arrive in a heartbeat response`() {
        val view = view()
        view.applyStatus(status(1), 1, isDirectAnswer = false)
        view.recordStartsInAnswer(setOf(attempt))
        view.applyStatus(status(2, 5, 1, exited(ExitCause.STOPPED)), 2, isDirectAnswer = true)
        assertFalse(view.mayForget(attempt, 5))
        view.applyStatus(status(3, 5, 1, exited(ExitCause.STOPPED)), 3, isDirectAnswer = false)
        assertTrue(view.mayForget(attempt, 5))
    }

    /**
     * The last response before an agent became unable to send heartbeats contained a start. In its next epoch the agent drops that
     * response, so the end of a cancelled task is proven before heartbeats are delivered again.
     */
    @Test
    fun `a start in a heartbeat response is void after the agent epoch increases`() {
        val view = view()
        view.applyStatus(status(1), 1, isDirectAnswer = false)
        view.recordStartsInAnswer(setOf(attempt))
        view.applyStatus(status(2), 2, isDirectAnswer = true)
        assertEquals(Proof.None, view.proof(attempt, 5))
        view.applyStatus(status(3, agentEpoch = 2), 3, isDirectAnswer = true)
        assertEquals(Proof.Ended(null), view.proof(attempt, 5))
    }

    @Test
    fun `an attempt whose start was answered is not forgotten until a higher token or agent epoch is shown`() {
        for ((token, agentEpoch) in listOf(6L to 1L, 5L to 2L)) {
            val view = view()
            view.applyStatus(status(1), 1, isDirectAnswer = false)
            view.recordStartSent(attempt, 5, 1)
            view.recordStartExecuted(attempt)
            view.applyStatus(status(2, 5, 1, exited(ExitCause.ERROR)), 2, isDirectAnswer = true)
            assertEquals(Proof.Ended(ExitCause.ERROR), view.proof(attempt, 5), "the end itself is proven")
            assertFalse(view.mayForget(attempt, 5))
            assertEquals(listOf(attempt), view.retainedAttempts)
            view.applyStatus(status(3, token, agentEpoch, exited(ExitCause.ERROR)), 3, isDirectAnswer = false)
            assertTrue(view.mayForget(attempt, token))
            assertTrue(view.retainedAttempts.isEmpty())
        }
    }

    @Test
    fun `an attempt that no start explains is noticed`() {
        val view = view()
        val running = TaskReport("req-000001/0", 2, TaskState.RUNNING)
        view.applyStatus(status(1), 1, isDirectAnswer = false)
        view.recordStartsInAnswer(setOf(attempt))
        view.applyStatus(status(2, 5, 1, running), 2, isDirectAnswer = false)
        assertTrue(view.unexplainedAttempts.isEmpty())
        view.applyStatus(status(3), 3, isDirectAnswer = false)
        view.applyStatus(status(4, 5, 1, running), 4, isDirectAnswer = false)
        assertEquals(setOf(attempt), view.unexplainedAttempts)
        view.applyStatus(status(5), 5, isDirectAnswer = false)
        view.applyStatus(status(6, 6, 1, running), 6, isDirectAnswer = false)
        assertTrue(view.unexplainedAttempts.isEmpty(), "another controller may have started it with its token")
    }

    /** A start times out, and the same start with the same token is answered: the first one may still be executed. */
    @Test
    fun `the response to a repeated start does not resolve a start that timed out`() {
        val view = view()
        view.applyStatus(status(1), 1, isDirectAnswer = false)
        view.recordStartSent(attempt, 5, 1)
        view.recordStartTimeout(attempt)
        view.recordStartSent(attempt, 5, 1)
        view.recordStartExecuted(attempt)
        view.applyStatus(status(2, 5, 1, exited(ExitCause.STOPPED)), 2, isDirectAnswer = true)
        assertFalse(view.mayForget(attempt, 5))
        assertTrue(view.needsHigherToken)
        view.applyStatus(status(3, 6, 1, exited(ExitCause.STOPPED)), 3, isDirectAnswer = false)
        assertFalse(view.needsHigherToken)
    }
}
