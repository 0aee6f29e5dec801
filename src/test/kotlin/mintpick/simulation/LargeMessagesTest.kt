package mintpick.simulation

import mintpick.core.SECOND
import mintpick.testing.ClusterSize
import mintpick.testing.FaultRates
import mintpick.testing.SampleJobs
import mintpick.testing.SimulatedCluster
import mintpick.testing.assertRulesHeld
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.TestFactory

/** Thousands of tasks so small that all of them fit on one machine. */
class LargeMessagesTest {
    /** Messages of more than 64 KiB could not be taken, so that the lease of the machine ran out with all its tasks, those of others included. */
    @TestFactory
    fun `messages to and from a machine stay within 64 KiB when thousands of small tasks are placed, end and are cancelled`() =
        (671L..674L).map { seed ->
            DynamicTest.dynamicTest("seed $seed") {
                val cluster = SimulatedCluster(seed, FaultRates(), ClusterSize(machines = 6)) { SampleJobs.settings(it) }
                val service = SampleJobs.service(900, team = "blue", tasks = 2)
                val jobs = (1..4).map { n -> smallTasks(n, estimateS = if (n % 2 == 0) 15.0 else 500.0) }
                cluster.addUser(service, null)
                jobs.forEachIndexed { n, job ->
                    cluster.after((2 + n) * SECOND) { cluster.addUser(job, if (n % 2 == 0) 60 * SECOND else null) }
                }
                cluster.after(80 * SECOND) { cluster.nodes.forEach { it.crash(SECOND) } }
                cluster.run(220 * SECOND)
                cluster.assertRulesHeld()
                val unfinished = jobs.filterIndexed { n, _ -> n % 2 == 1 }.map { it.id }.filterNot(cluster.rules::isComplete)
                assertEquals(emptyList<String>(), unfinished, "jobs not completed")
                assertTrue(
                    cluster.rules.startsOf
                        .filterKeys { service.id in it }
                        .values
                        .all { it == 1 },
                    "a replica was started again",
                )
            }
        }

    private fun smallTasks(
        n: Int,
        estimateS: Double,
    ) = SampleJobs.spec("req-%06d".format(n), "blue", tasks = 900, cpus = 0.002, estimateS = estimateS, spot = false)
}
