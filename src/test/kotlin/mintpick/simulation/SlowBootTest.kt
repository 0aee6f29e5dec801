package mintpick.simulation

import mintpick.core.SECOND
import mintpick.testing.ClusterSize
import mintpick.testing.FaultRates
import mintpick.testing.SampleJobs
import mintpick.testing.SimulatedCluster
import mintpick.testing.assertRulesHeld
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test

/** Machines that take several times as long to boot as their type specifies, or never boot. */
class SlowBootTest {
    private fun cluster(seed: Long): SimulatedCluster {
        val cluster =
            SimulatedCluster(
                seed,
                FaultRates(),
                ClusterSize(machines = 400, bootTimes = 3 * SECOND..6 * SECOND),
            ) { SampleJobs.settings(it) }
        (1..24).forEach { n ->
            cluster.after(
                2 * SECOND + n,
            ) { cluster.addUser(SampleJobs.spec("req-%06d".format(n), "blue", 10, cpus = 2.0, estimateS = 30.0), null) }
        }
        return cluster
    }

    private fun SimulatedCluster.completedJobs(): Int = (1..24).count { rules.isComplete("req-%06d".format(it)) }

    @Test
    fun `fewer than twice as many machines are rentedMachines when all of them take four times as long to boot`() {
        val onTime = cluster(75).apply { run(120 * SECOND) }
        val slow = cluster(75).apply { cloud.bootTimeFactor = { 4 } }
        slow.run(120 * SECOND)
        assertTrue(slow.completedJobs() == 24, "${slow.completedJobs()} jobs completed")
        assertTrue(
            slow.cloud.rentedMachines < onTime.cloud.rentedMachines * 2,
            "${slow.cloud.rentedMachines} machines rentedMachines instead of ${onTime.cloud.rentedMachines}",
        )
        slow.assertRulesHeld()
    }

    @Test
    fun `all jobs complete in the other zone when the machines of one zone never boot`() {
        val cluster = cluster(76).apply { cloud.bootTimeFactor = { if (it.zone == "north") null else 1 } }
        cluster.run(150 * SECOND)
        assertTrue(cluster.completedJobs() == 24, "${cluster.completedJobs()} jobs completed")
        cluster.assertRulesHeld()
    }
}
