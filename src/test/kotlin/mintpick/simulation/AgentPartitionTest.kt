package mintpick.simulation

import mintpick.core.SECOND
import mintpick.testing.ClusterSize
import mintpick.testing.FaultRates
import mintpick.testing.SampleJobs
import mintpick.testing.SimulatedCluster
import mintpick.testing.assertRulesHeld
import mintpick.testing.claimedShardCount
import mintpick.testing.leader
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.TestFactory

/**
 * A network partition separates one controller from all agents, but not from its peers, the state store and the cloud. It lasts
 * longer than it takes to move shards to other controllers and back.
 */
class AgentPartitionTest {
    /**
     * The machines whose calls failed are removed during the partition, so no failed call shows the isolation any more. The
     * controller must not claim shards back nevertheless, or the leases of their agents would expire: see
     * `ReachabilityTracker.isIsolatedFromAgents`.
     */
    @TestFactory
    fun `a controller that reaches no agent claims no shards back until it reaches one`() =
        (61L..64L).map { seed -> DynamicTest.dynamicTest("seed $seed") { checkIsolatedController(seed) } }

    private fun checkIsolatedController(seed: Long) {
        val cluster = SimulatedCluster(seed, FaultRates(), ClusterSize(machines = 120)) { SampleJobs.settings(it) }
        (1..60).forEach { n ->
            cluster.after(n * SECOND / 8) { cluster.addUser(SampleJobs.service(n, team = "blue", tasks = 3, cpus = 2.0), null) }
        }
        cluster.run(60 * SECOND)
        val isolated = cluster.leader()
        isolated.cutFromAgents = true
        cluster.run(85 * SECOND)
        val epochsBefore = cluster.agents.values.associate { it.id to it.agentEpoch }
        // Removes all machines, including those whose calls failed, four per second, while new ones are rented.
        cluster.agents.keys
            .toList()
            .chunked(4)
            .forEachIndexed { n, removed -> cluster.after(n * SECOND) { removed.forEach(cluster::remove) } }
        (101..130).forEach { n ->
            cluster.after((n - 100) * SECOND) { cluster.addUser(SampleJobs.service(n, team = "blue", tasks = 3, cpus = 2.0), null) }
        }
        cluster.run(150 * SECOND)
        val expired = cluster.agents.values.filter { it.agentEpoch > (epochsBefore[it.id] ?: 1) }
        assertEquals(emptyList<String>(), expired.map { it.id }, "machines with expired leases that others could serve")
        isolated.cutFromAgents = false
        cluster.rules.faultsOverAtUs = cluster.now
        cluster.run(215 * SECOND)
        assertTrue(cluster.claimedShardCount(isolated) > 0, "the controller owns no shard after the partition")
        cluster.assertRulesHeld()
    }
}
