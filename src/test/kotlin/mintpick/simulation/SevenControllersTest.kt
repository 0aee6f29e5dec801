package mintpick.simulation

import mintpick.config.Settings
import mintpick.core.SECOND
import mintpick.testing.ClusterSize
import mintpick.testing.FaultRates
import mintpick.testing.SampleJobs
import mintpick.testing.SimulatedCluster
import mintpick.testing.SimulatedStateStore
import mintpick.testing.assertRulesHeld
import mintpick.testing.sevenControllersToml
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test

/** Seven controllers that share few writes, small values and small transactions. */
class SevenControllersTest {
    /** Their share of the writes never allowed a placement of several chunks together with the team's reservation. */
    @Test
    fun `arrays of a limited team that need several records are placed`() {
        val size = ClusterSize(machines = 200, controllers = 7)
        val cluster = SimulatedCluster(5, FaultRates(), size) { Settings.parse(sevenControllersToml(it)) }
        cluster.state.limits = SimulatedStateStore.StateLimits(valueBytes = 8 * 1024, changes = 12, changesPerSecond = 15.0)
        val arrays = (1..3).map { n -> SampleJobs.spec("req-%06d".format(n), tasks = 700, cpus = 1.0, estimateS = 20.0) }
        arrays.forEach { spec -> cluster.after(SECOND) { cluster.addUser(spec, null) } }
        cluster.run(150 * SECOND)
        cluster.assertRulesHeld()
        val complete = arrays.count { cluster.rules.isComplete(it.id) }
        assertTrue(complete == arrays.size, "$complete of ${arrays.size} arrays are complete")
    }
}
