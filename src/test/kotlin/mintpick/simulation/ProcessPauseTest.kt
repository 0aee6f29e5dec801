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

/** Controllers that are paused for seconds or a minute and then go on, their clocks having gone on meanwhile. */
class ProcessPauseTest {
    @TestFactory
    fun `a controller whose process is paused costs no machine, no replica and no rule`() =
        listOf(3L, 9L, 20L, 45L, 70L).flatMap { span ->
            (81L..83L).map { seed -> DynamicTest.dynamicTest("$span s, seed $seed") { standsStill(seed, span) } }
        }

    private fun standsStill(
        seed: Long,
        span: Long,
    ) {
        val cluster = SimulatedCluster(seed, FaultRates(), ClusterSize()) { SampleJobs.settings(it) }
        (1..6).forEach { n -> cluster.after(n * SECOND / 2) { cluster.user(SampleJobs.service(n), null) } }
        (20..60).forEach { n ->
            val spec = SampleJobs.spec("req-%06d".format(n), team = "blue", tasks = 4, cpus = 1.0, estimateS = 8.0)
            cluster.after((n - 20) * 3 * SECOND) { cluster.user(spec, if (n % 5 == 0) 6 * SECOND else null) }
        }
        cluster.run(50 * SECOND)
        val machines = cluster.workers.keys.filterTo(HashSet()) { cluster.rules.attemptsOn(it).any { task -> task < "req-000007" } }
        assertTrue(machines.isNotEmpty())
        cluster.leader().pauseProcess(span * SECOND)
        cluster.run((50 + span) * SECOND)
        cluster.rules.faultsOverSinceUs = cluster.now
        cluster.run((50 + span + 20) * SECOND)
        assertTrue(cluster.workers.keys.containsAll(machines), "machines were given up: ${machines - cluster.workers.keys}")
        val replicas =
            (1..6).sumOf { n ->
                cluster.workers.keys.sumOf { m -> cluster.rules.attemptsOn(m).count { it.startsWith("req-%06d/".format(n)) } }
            }
        assertEquals(12, replicas, "replicas that run")
        cluster.run((50 + span + 120) * SECOND)
        cluster.assertRulesHeld()
    }
}
