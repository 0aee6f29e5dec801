package mintpick.core

import io.kotest.property.Arb
import io.kotest.property.PropTestConfig
import io.kotest.property.arbitrary.int
import io.kotest.property.arbitrary.list
import io.kotest.property.checkAll
import kotlinx.coroutines.runBlocking
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertFalse
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test

class FailureTrackerTest {
    private fun job(n: Int) = JobId("req-%06d".format(n))

    private fun machine(n: Int) = MachineId("host-%06d".format(n))

    @Test
    fun `a job that fails on several machines is faulty and the machines are not`() {
        val tracker = FailureTracker()
        for (n in 1..3) for (m in 1..5) tracker.recordFailure(machine(m), job(n), hasSucceeded = false, now = 0)
        assertEquals((1..3).map(::job).toSet(), tracker.faultyJobs().toSet())
        assertEquals(emptyList<MachineId>(), tracker.faultyMachines())
        assertEquals(1, FailureTracker.startableTasks(waiting = 50, placed = 0))
        assertEquals(0, FailureTracker.startableTasks(waiting = 50, placed = 1))
    }

    @Test
    fun `a job whose failures are forgotten is retried without backoff and counts against no machine`() {
        val tracker = FailureTracker()
        (1..2).forEach { tracker.recordFailure(machine(1), job(it), hasSucceeded = false, now = 0) }
        tracker.forget(job(1))
        assertFalse(tracker.hasFailed(job(1)))
        assertTrue(tracker.mayRetry(job(1), 0))
        tracker.recordFailure(machine(1), job(3), hasSucceeded = false, now = 0)
        assertFalse(tracker.isFaulty(machine(1)))
    }

    @Test
    fun `a machine on which several jobs fail is faulty and the jobs are not`() {
        val tracker = FailureTracker()
        (1..2).forEach { tracker.recordFailure(machine(1), job(it), hasSucceeded = false, now = 0) }
        assertFalse(tracker.isFaulty(machine(1)))
        tracker.recordFailure(machine(1), job(3), hasSucceeded = false, now = 0)
        assertEquals(listOf(machine(1)), tracker.faultyMachines())
        assertEquals(emptyList<JobId>(), tracker.faultyJobs())
    }

    @Test
    fun `a job that has succeeded is not faulty, even if it fails on many machines`() {
        val tracker = FailureTracker()
        (1..6).forEach { tracker.recordFailure(machine(it), job(1), hasSucceeded = true, now = 0) }
        assertFalse(tracker.isFaulty(job(1)))
        (1..6).forEach { tracker.recordFailure(machine(it), job(2), hasSucceeded = false, now = 0) }
        tracker.recordSuccess(machine(9), job(2))
        assertFalse(tracker.isFaulty(job(2)))
        assertTrue(tracker.mayRetry(job(2), 0))
    }

    @Test
    fun `tasks that fail together count as one retry, and the backoff doubles up to a limit`() {
        val tracker = FailureTracker()
        var now: Micros = 1
        var before: Micros = 0
        repeat(12) {
            repeat(40) { task -> tracker.recordFailure(machine(task), job(1), hasSucceeded = false, now) }
            var pause: Micros = 0
            while (!tracker.mayRetry(job(1), now + pause)) pause += SECOND / 10
            assertTrue(pause == minOf(30 * SECOND, before * 2) || before == 0L, "$pause after $before")
            before = pause
            now += pause
        }
        assertEquals(30 * SECOND, before)
    }

    /** With any combination of faulty jobs and machines, exactly these are found after every job has run on every machine. */
    @Test
    fun `only faulty jobs and machines are found to be faulty`(): Unit =
        runBlocking {
            val distinct = Arb.list(Arb.int(0..19), 0..4)
            checkAll(PropTestConfig(seed = 7, iterations = 200), distinct, distinct) { faultyJobs, faultyMachines ->
                val tracker = FailureTracker()
                for (m in 0..19) {
                    for (n in 0..19) {
                        val fails = n in faultyJobs || m in faultyMachines
                        if (!fails) {
                            tracker.recordSuccess(machine(m), job(n))
                        } else {
                            tracker.recordFailure(
                                machine(m),
                                job(n),
                                n !in faultyJobs,
                                0,
                            )
                        }
                    }
                }
                assertEquals(faultyJobs.map(::job).toSet(), tracker.faultyJobs().toSet())
                assertEquals(faultyMachines.map(::machine).toSet(), tracker.faultyMachines().toSet())
            }
        }

    @Test
    fun `data of closed jobs and unknown machines is removed`() {
        val tracker = FailureTracker()
        (1..3).forEach { tracker.recordFailure(machine(it), job(1), hasSucceeded = false, now = 0) }
        (2..4).forEach { tracker.recordFailure(machine(9), job(it), hasSucceeded = false, now = 0) }
        tracker.retain(isJobOpen = { false }, isMachineKnown = { false })
        assertFalse(tracker.hasFailed(job(1)))
        assertEquals(emptyList<MachineId>(), tracker.faultyMachines())
    }

    /** Guards against machines that a job never uses again, although they were repaired. */
    @Test
    fun `a machine on which a job has failed is excluded for a limited time`() {
        val tracker = FailureTracker()
        tracker.recordFailure(machine(1), job(1), hasSucceeded = false, now = 0)
        tracker.recordFailure(machine(2), job(1), hasSucceeded = false, now = 10 * SECOND)
        assertEquals(setOf(machine(1), machine(2)), tracker.failedMachines(job(1), 10 * SECOND))
        assertEquals(setOf(machine(2)), tracker.failedMachines(job(1), 30 * SECOND))
        assertEquals(emptySet<MachineId>(), tracker.failedMachines(job(1), 40 * SECOND))
        assertTrue(tracker.hasFailed(job(1)))
    }
}
