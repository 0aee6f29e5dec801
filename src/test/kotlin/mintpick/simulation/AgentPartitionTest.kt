package mintpick.simulation

import mintpick.core.SECOND
import mintpick.testing.ClusterSize
import mintpick.testing.FaultRates
import mintpick.testing.SampleJobs
import mintpick.testing.SimulatedCluster
import mintpick.testing.assertRulesHeld
import mintpick.testing.claimsOf
import mintpick.testing.leader
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.TestFactory

/** A controller that loses its workers alone, for longer than it takes to hand them over and back. */
class AgentPartitionTest {
    /** All that tells it of the cut goes while the cut lasts: it must not take shards back, whose workers would lose their leases. */
    @TestFactory
    fun `a controller without workers takes none back before it reaches one`() =
        (61L..64L).map { seed -> DynamicTest.dynamicTest("seed $seed") { staysCutOff(seed) } }

    private fun staysCutOff(seed: Long) {
        val cluster = SimulatedCluster(seed, FaultRates(), ClusterSize(machines = 120)) { SampleJobs.settings(it) }
        (1..60).forEach { n ->
            cluster.after(n * SECOND / 8) { cluster.user(SampleJobs.service(n, team = "blue", tasks = 3, cpus = 2.0), null) }
        }
        cluster.run(60 * SECOND)
        val cut = cluster.leader()
        cut.cutFromWorkers = true
        cluster.run(85 * SECOND)
        val sessions = cluster.workers.values.associate { it.id to it.session }
        // All machines whose calls had failed go, a few at a time, while new ones come.
        cluster.workers.keys
            .toList()
            .chunked(4)
            .forEachIndexed { n, gone -> cluster.after(n * SECOND) { gone.forEach(cluster::remove) } }
        (101..130).forEach { n ->
            cluster.after((n - 100) * SECOND) { cluster.user(SampleJobs.service(n, team = "blue", tasks = 3, cpus = 2.0), null) }
        }
        cluster.run(150 * SECOND)
        val lapsed = cluster.workers.values.filter { it.session > (sessions[it.id] ?: 1) }
        assertEquals(emptyList<String>(), lapsed.map { it.id }, "machines whose leases lapsed although others could serve them")
        cut.cutFromWorkers = false
        cluster.rules.faultsOverSinceUs = cluster.now
        cluster.run(215 * SECOND)
        assertTrue(cluster.claimsOf(cut) > 0, "it serves again")
        cluster.assertRulesHeld()
    }
}
