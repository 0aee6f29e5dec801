package mintpick.simulation

import mintpick.core.SECOND
import mintpick.testing.ClusterSize
import mintpick.testing.FaultRates
import mintpick.testing.SampleJobs
import mintpick.testing.SimulatedCluster
import mintpick.testing.assertRulesHeld
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test

/** Machines that come up several times as late as their type says, or never. */
class SlowBootTest {
    private fun cluster(seed: Long): SimulatedCluster {
        val cluster =
            SimulatedCluster(seed, FaultRates(), ClusterSize(machines = 400, boots = 3 * SECOND..6 * SECOND)) { SampleJobs.settings(it) }
        (1..24).forEach { n ->
            cluster.after(
                2 * SECOND + n,
            ) { cluster.user(SampleJobs.spec("req-%06d".format(n), "blue", 10, cpus = 2.0, estimateS = 30.0), null) }
        }
        return cluster
    }

    private fun SimulatedCluster.done(): Int = (1..24).count { rules.isComplete("req-%06d".format(it)) }

    @Test
    fun `a fleet that boots late is not rented several times over`() {
        val usual = cluster(75).apply { run(120 * SECOND) }
        val late = cluster(75).apply { cloud.bootFactor = { 4 } }
        late.run(120 * SECOND)
        assertTrue(late.done() == 24, "${late.done()} jobs done")
        assertTrue(late.cloud.rented < usual.cloud.rented * 2, "${late.cloud.rented} machines rented instead of ${usual.cloud.rented}")
        late.assertRulesHeld()
    }

    @Test
    fun `where a zone's machines never come up, the other zone's do the work`() {
        val cluster = cluster(76).apply { cloud.bootFactor = { if (it.zone == "north") null else 1 } }
        cluster.run(150 * SECOND)
        assertTrue(cluster.done() == 24, "${cluster.done()} jobs done")
        cluster.assertRulesHeld()
    }
}
