package mintpick.simulation

import mintpick.core.SECOND
import mintpick.testing.RuleChecker
import mintpick.testing.SampleJobs
import mintpick.wire.JobStage
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.TestFactory

/** Checks that [RuleChecker] detects a deliberate violation of each rule. Otherwise the simulation tests prove nothing. */
class RuleCheckerTest {
    private val north = RuleChecker.TaskPlace("m1", "north", false)
    private val south = RuleChecker.TaskPlace("m2", "south", false)

    private fun newChecker() = RuleChecker(43 * SECOND, mapOf("red" to 4.0)).apply { submitted(SampleJobs.spec(spot = false, cpus = 2.0)) }

    private val violations: Map<String, (RuleChecker) -> Unit> =
        mapOf(
            "ran_twice" to { r ->
                r.started("req-000001/0", north, 1)
                r.started("req-000001/0", south, 2)
            },
            "removed_too_early" to { r -> r.removedTooEarly("m", "req-000001/0", 1) },
            "started_too_early" to { r -> r.refusedAsBusy("m", "req-000001/0", 1) },
            "quota" to { r -> (0..2).forEach { r.started("req-000001/$it", north, 1) } },
            "wrong_place" to { r -> r.started("req-000001/0", RuleChecker.TaskPlace("m", "north", true), 1) },
            "ran_cancelled" to { r ->
                r.cancelRequested("req-000001")
                r.jobAnswered("req-000001", JobStage.CANCELLED, 0)
                r.started("req-000001/0", north, 1)
                r.tick(44 * SECOND)
            },
            "forgotten" to { r ->
                r.jobAnswered("req-000001", JobStage.QUEUED, 0)
                r.jobAnswered("req-000001", null, 1)
            },
            "invented" to { r -> r.jobAnswered("req-000009", JobStage.QUEUED, 0) },
            "not_done" to { r -> r.jobAnswered("req-000001", JobStage.DONE, 0) },
            "went_back" to { r ->
                r.cancelRequested("req-000001")
                r.jobAnswered("req-000001", JobStage.CANCELLED, 0)
                r.jobAnswered("req-000001", JobStage.RUNNING, 1)
            },
            "ran_cancelled: req-000001/0 went on after its machine hung" to { r ->
                r.started("req-000001/0", north, 1)
                r.cancelRequested("req-000001")
                r.jobAnswered("req-000001", JobStage.CANCELLED, 2)
                r.machineHung(north.machine, 3)
                r.tick(44 * SECOND)
            },
            "started_cancelled" to { r ->
                r.maxStartAfterCancelUs = 2 * SECOND
                r.cancelRequested("req-000001")
                r.jobAnswered("req-000001", JobStage.CANCELLED, 0)
                r.started("req-000001/0", north, 3 * SECOND)
            },
            "too_early" to { r ->
                r.submitted(SampleJobs.spec("req-000002").copy(predecessors = listOf("req-000001")))
                r.submitted(SampleJobs.spec("req-000003").copy(predecessors = listOf("req-000002")))
                (0..1).forEach { r.ended("req-000001/$it", true) }
                r.started("req-000003/0", south, 1)
            },
            "orphaned" to { r ->
                r.submitted(SampleJobs.spec("req-000002").copy(predecessors = listOf("req-000001")))
                r.submitted(SampleJobs.spec("req-000003").copy(predecessors = listOf("req-000002")))
                r.cancelRequested("req-000001")
                r.jobAnswered("req-000001", JobStage.CANCELLED, 0)
                r.jobAnswered("req-000003", JobStage.QUEUED, 44 * SECOND)
            },
            "went_back: req-000002 cancelled by nobody" to { r ->
                r.submitted(SampleJobs.spec("req-000002").copy(predecessors = listOf("req-000003")))
                r.cancelRequested("req-000001")
                r.jobAnswered("req-000002", JobStage.CANCELLED, 0)
            },
            "accepted_odd" to { r ->
                r.expectRejection("req-000001")
                r.jobAnswered("req-000001", JobStage.QUEUED, 0)
            },
            "left_waiting" to { r ->
                r.faultsOverAtUs = 0
                r.jobAnswered("req-000001", JobStage.QUEUED, 0)
                (0L..92L step 2).forEach {
                    r.checkWaiting(listOf(RuleChecker.FreeCapacity(north, "small", 4.0, 32.0)), emptySet(), it * SECOND)
                }
            },
            "forgotten: req-000001 at 7" to { r ->
                r.jobAnswered("req-000001", JobStage.QUEUED, 5)
                r.jobAnswered("req-000001", null, 7, requestedUs = 6)
            },
            "went_back: req-000001 was CANCELLED, is QUEUED" to { r ->
                r.cancelRequested("req-000001")
                r.jobAnswered("req-000001", JobStage.CANCELLED, 5)
                r.jobAnswered("req-000001", JobStage.QUEUED, 7, requestedUs = 6)
            },
        )

    @TestFactory
    fun `a violation of each rule is detected`() =
        violations.map { (rule, violate) ->
            DynamicTest.dynamicTest(rule) {
                val rules = newChecker()
                violate(rules)
                assertTrue(rules.breaches.any { it.startsWith(if (":" in rule) rule else "$rule:") }, "${rules.breaches}")
            }
        }

    /** A job counts as left waiting only if a machine has capacity for it while its team is below its limit. */
    @Test
    fun `a job that waits for its team's limit or for a machine with capacity breaks no rule`() {
        val rules = newChecker()
        rules.faultsOverAtUs = 0
        rules.jobAnswered("req-000001", JobStage.QUEUED, 0)
        val large = RuleChecker.FreeCapacity(north, "large", 16.0, 64.0)
        for (second in 0L..200L) {
            val (room, assigned) =
                if (second % 2 ==
                    0L
                ) {
                    large to setOf("req-000001/0", "req-000001/1")
                } else {
                    large.copy(cpus = 1.0) to emptySet()
                }
            rules.checkWaiting(listOf(room), assigned, second * SECOND)
        }
        assertEquals(emptyList<String>(), rules.breaches)
    }

    @Test
    fun `contradictory answers to concurrent requests break no rule`() {
        val rules = newChecker()
        rules.jobAnswered("req-000001", JobStage.QUEUED, 5)
        rules.jobAnswered("req-000001", null, 6, requestedUs = 4)
        rules.cancelRequested("req-000001")
        rules.jobAnswered("req-000001", JobStage.CANCELLED, 8)
        rules.jobAnswered("req-000001", JobStage.RUNNING, 9, requestedUs = 7)
        assertEquals(emptyList<String>(), rules.breaches)
    }

    @Test
    fun `a job that is queued, runs and completes breaks no rule`() {
        val rules = newChecker()
        rules.jobAnswered("req-000001", JobStage.QUEUED, 0)
        (0..2).forEach {
            rules.started("req-000001/$it", if (it == 1) south else north, 1)
            rules.ended("req-000001/$it", true)
        }
        rules.jobAnswered("req-000001", JobStage.DONE, 5)
        rules.tick(100 * SECOND)
        assertEquals(emptyList<String>(), rules.breaches)
    }
}
