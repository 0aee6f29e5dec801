package mintpick.simulation

import mintpick.core.SECOND
import mintpick.testing.ClusterSize
import mintpick.testing.FaultRates
import mintpick.testing.SampleJobs
import mintpick.testing.SimulatedCluster
import mintpick.testing.assertRulesHeld
import mintpick.testing.leader
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.TestFactory

/** Controllers whose process is paused for three to seventy seconds and then resumes, while its clocks keep running. */
class ProcessPauseTest {
    @TestFactory
    fun `no service machine is released, no replica is lost and no rule is broken when the leader process is paused`() =
        listOf(3L, 9L, 20L, 45L, 70L).flatMap { pauseS ->
            (81L..83L).map { seed -> DynamicTest.dynamicTest("$pauseS s, seed $seed") { checkPause(seed, pauseS) } }
        }

    private fun checkPause(
        seed: Long,
        pauseS: Long,
    ) {
        val cluster = SimulatedCluster(seed, FaultRates(), ClusterSize()) { SampleJobs.settings(it) }
        (1..6).forEach { n -> cluster.after(n * SECOND / 2) { cluster.addUser(SampleJobs.service(n), null) } }
        (20..60).forEach { n ->
            val spec = SampleJobs.spec("req-%06d".format(n), team = "blue", tasks = 4, cpus = 1.0, estimateS = 8.0)
            cluster.after((n - 20) * 3 * SECOND) { cluster.addUser(spec, if (n % 5 == 0) 6 * SECOND else null) }
        }
        cluster.run(50 * SECOND)
        val serviceMachines = cluster.agents.keys.filterTo(HashSet()) { cluster.rules.tasksOn(it).any { task -> task < "req-000007" } }
        assertTrue(serviceMachines.isNotEmpty())
        cluster.leader().pauseProcess(pauseS * SECOND)
        cluster.run((50 + pauseS) * SECOND)
        cluster.rules.faultsOverAtUs = cluster.now
        cluster.run((50 + pauseS + 20) * SECOND)
        assertTrue(
            cluster.agents.keys.containsAll(serviceMachines),
            "service machines released: ${serviceMachines - cluster.agents.keys}",
        )
        val runningReplicas =
            (1..6).sumOf { n ->
                cluster.agents.keys.sumOf { m -> cluster.rules.tasksOn(m).count { it.startsWith("req-%06d/".format(n)) } }
            }
        assertEquals(12, runningReplicas, "running replicas")
        cluster.run((50 + pauseS + 120) * SECOND)
        cluster.assertRulesHeld()
    }
}
