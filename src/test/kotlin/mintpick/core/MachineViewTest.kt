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
    fun `an older message never replaces a newer one`() {
        val view = view()
        assertTrue(view.applyStatus(status(7), 1, isResponse = false))
        assertFalse(view.applyStatus(status(6), 2, isResponse = false))
        assertFalse(view.applyStatus(status(7), 2, isResponse = true))
        assertTrue(view.applyStatus(status(1, agentEpoch = 2), 3, isResponse = false))
        assertFalse(view.applyStatus(status(99), 4, isResponse = false))
    }

    @Test
    fun `absence proves nothing while an earlier controller's start may be on its way`() {
        val view = view()
        view.applyStatus(status(1, token = 4), 1, isResponse = false)
        assertEquals(Proof.None, view.proof(attempt, 5))
        view.applyStatus(status(2, token = 5), 2, isResponse = false)
        assertEquals(Proof.Ended(null), view.proof(attempt, 5))
    }

    @Test
    fun `a start without an answer blocks proof and forgetting until the token or the session rises`() {
        for ((token, agentEpoch) in listOf(6L to 1L, 5L to 2L)) {
            val view = view()
            view.applyStatus(status(1), 1, isResponse = false)
            view.recordStartSent(attempt, 5, 1)
            view.recordStartTimeout(attempt)
            view.applyStatus(status(2, 5, 1, exited(ExitCause.STOPPED)), 2, isResponse = false)
            assertEquals(Proof.None, view.proof(attempt, 5))
            assertFalse(view.mayForget(attempt, 5))
            assertTrue(view.needsHigherToken)
            view.applyStatus(status(3, token, agentEpoch), 3, isResponse = false)
            assertEquals(Proof.Ended(null), view.proof(attempt, token))
        }
    }

    @Test
    fun `a start sent with an answer is under way until the next report`() {
        val view = view()
        view.applyStatus(status(1), 1, isResponse = false)
        view.recordStartsInResponse(setOf(attempt))
        assertEquals(Proof.None, view.proof(attempt, 5))
        view.applyStatus(status(2), 2, isResponse = true)
        assertEquals(Proof.None, view.proof(attempt, 5))
        view.applyStatus(status(3), 3, isResponse = false)
        assertEquals(Proof.Ended(null), view.proof(attempt, 5))
    }

    @Test
    fun `completion counts whatever the token`() {
        val view = view()
        view.applyStatus(status(1, 1, 1, exited(ExitCause.DONE)), 1, isResponse = false)
        assertEquals(Proof.Completed, view.proof(attempt, 9))
        assertFalse(view.mayForget(attempt, 9))
    }

    @Test
    fun `images give way to newer ones as the cache fills`() {
        val view = view()
        view.recordImage("a", 2.0, 5.0)
        view.recordImage("b", 2.0, 5.0)
        view.recordImage("a", 2.0, 5.0)
        view.recordImage("c", 2.0, 5.0)
        assertEquals(setOf("a", "c"), view.imageNames)
    }

    @Test
    fun `a lease has lapsed only if nobody's answer can have renewed it`() {
        val lease = 18 * SECOND
        val late = 40 * SECOND
        val view = view()
        view.applyStatus(status(1, token = 4), SECOND, isResponse = false)
        view.recordHeartbeatResponse(SECOND)
        assertFalse(view.hasLeaseExpired(late, 0, 5, lease), "an earlier controller's lower token still counts with the worker")
        view.applyStatus(status(2, token = 5), 2 * SECOND, isResponse = false)
        view.recordHeartbeatResponse(2 * SECOND)
        assertTrue(view.hasLeaseExpired(late, 0, 5, lease))
        assertFalse(view.hasLeaseExpired(late, 3 * SECOND, 5, lease), "before it was ours others may have answered")
        assertFalse(view.hasLeaseExpired(20 * SECOND, 0, 5, lease), "too early")
        view.applyStatus(status(3, token = 5), 30 * SECOND, isResponse = false)
        assertFalse(view.hasLeaseExpired(late, 0, 5, lease), "heard since")
    }

    /**
     * The answer to a report is held up for seconds, a direct start of the same attempt runs and is stopped: once
     * forgotten, the start in the late answer would run it again.
     */
    @Test
    fun `an attempt is not forgotten while its start may be under way in an answer`() {
        val view = view()
        view.applyStatus(status(1), 1, isResponse = false)
        view.recordStartsInResponse(setOf(attempt))
        view.applyStatus(status(2, 5, 1, exited(ExitCause.STOPPED)), 2, isResponse = true)
        assertFalse(view.mayForget(attempt, 5))
        view.applyStatus(status(3, 5, 1, exited(ExitCause.STOPPED)), 3, isResponse = false)
        assertTrue(view.mayForget(attempt, 5))
    }

    /**
     * The last answer before a worker reached nobody held a start. In its next session it drops that answer, so what
     * was cancelled there comes to its end before reports get through again.
     */
    @Test
    fun `a start in an answer is over with the session`() {
        val view = view()
        view.applyStatus(status(1), 1, isResponse = false)
        view.recordStartsInResponse(setOf(attempt))
        view.applyStatus(status(2), 2, isResponse = true)
        assertEquals(Proof.None, view.proof(attempt, 5))
        view.applyStatus(status(3, agentEpoch = 2), 3, isResponse = true)
        assertEquals(Proof.Ended(null), view.proof(attempt, 5))
    }

    /** A start is lost, and its repetition with the same token is answered: the first may still be carried out. */
    @Test
    fun `an answered repetition does not settle a start that was lost`() {
        val view = view()
        view.applyStatus(status(1), 1, isResponse = false)
        view.recordStartSent(attempt, 5, 1)
        view.recordStartTimeout(attempt)
        view.recordStartSent(attempt, 5, 1)
        view.recordStartResolved(attempt)
        view.applyStatus(status(2, 5, 1, exited(ExitCause.STOPPED)), 2, isResponse = true)
        assertFalse(view.mayForget(attempt, 5))
        assertTrue(view.needsHigherToken)
        view.applyStatus(status(3, 6, 1, exited(ExitCause.STOPPED)), 3, isResponse = false)
        assertFalse(view.needsHigherToken)
    }
}
