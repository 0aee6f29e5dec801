package mintpick.simulation

import mintpick.core.Micros
import mintpick.core.SECOND
import mintpick.testing.ALL_FAULTS
import mintpick.testing.ClusterSize
import mintpick.testing.FaultRates
import mintpick.testing.SampleJobs
import mintpick.testing.SimulatedCluster
import mintpick.testing.assertRulesHeld
import mintpick.testing.injectRandomFault
import mintpick.testing.leader
import mintpick.wire.JobKind
import mintpick.wire.Priority
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.TestFactory

/** Drives three engines through random faults and checks the rules by the state of the simulated machines and services. */
class ModelTest {
    private fun cluster(
        seed: Long,
        faultRates: FaultRates,
    ) = SimulatedCluster(seed, faultRates) { SampleJobs.settings(it) }

    private fun SimulatedCluster.submitRandomJobs(
        count: Int,
        periodUs: Micros,
    ): List<String> =
        (1..count).map { n ->
            val id = "req-%06d".format(n)
            val service = random.nextInt(4) == 0
            val spec =
                SampleJobs.spec(
                    id = id,
                    team = if (random.nextBoolean()) "red" else "blue",
                    tasks = 1 + random.nextInt(if (service) 3 else 8),
                    kind = if (service) JobKind.SERVICE else JobKind.ARRAY,
                    priority = if (service) Priority.PRODUCTION else Priority.NORMAL,
                    cpus = if (service) 1.0 else 2.0,
                    spot = !service,
                    spread = service && random.nextBoolean(),
                    oneZone = !service && random.nextInt(4) == 0,
                    estimateS = 2.0 + random.nextInt(15),
                )
            after(random.nextLong(periodUs)) { addUser(spec, if (random.nextInt(6) == 0) random.nextLong(30 * SECOND) else null) }
            id
        }

    @Test
    fun `without faults every job is accepted and no rule is broken`() {
        val cluster = cluster(1, FaultRates())
        val jobs = cluster.submitRandomJobs(20, 30 * SECOND)
        cluster.run(180 * SECOND)
        cluster.assertRulesHeld()
        assertTrue(cluster.rules.starts > 20)
        assertTrue(jobs.all { cluster.rules.isAccepted(it) })
    }

    @TestFactory
    fun `no rule is broken through random faults`() =
        (1L..14L).map { seed ->
            DynamicTest.dynamicTest("seed $seed") {
                val cluster = cluster(seed, FaultRates(lost = 4, lostAnswer = 4, late = 6))
                cluster.submitRandomJobs(24, 60 * SECOND)
                repeat(
                    9,
                ) {
                    cluster.after(5 * SECOND + cluster.random.nextLong(100 * SECOND)) {
                        cluster.injectRandomFault(
                            ALL_FAULTS,
                            4 * SECOND,
                            50 * SECOND,
                        )
                    }
                }
                cluster.after(20 * SECOND) { cluster.pollUnknownJob("req-999999") }
                cluster.run(240 * SECOND)
                cluster.assertRulesHeld()
                assertTrue(cluster.rules.starts > 20, "${cluster.rules.starts} starts")
            }
        }

    @Test
    fun `the largest job is accepted, partially placed, and cancelled within the bound`() {
        val cluster = cluster(5, FaultRates())
        val spec = SampleJobs.spec("req-000001", team = "blue", tasks = 100_000, cpus = 1.0, estimateS = 5.0)
        cluster.after(SECOND) { cluster.addUser(spec, 60 * SECOND) }
        cluster.run(140 * SECOND)
        cluster.assertRulesHeld()
        assertTrue(cluster.rules.starts > 50, "${cluster.rules.starts} starts")
        assertTrue(cluster.rules.isFinal("req-000001"))
    }

    /**
     * Guards against releasing machines beyond a network partition, one by one, although the controller in their own zone can
     * serve them.
     */
    @Test
    fun `a network partition between zones releases no machines that the other side serves`() {
        val cluster = cluster(3, FaultRates())
        (1..4).forEach { n ->
            val spec =
                SampleJobs.service(n, spread = true)
            cluster.after(n * SECOND) { cluster.addUser(spec, null) }
        }
        cluster.run(60 * SECOND)
        val machinesBefore = cluster.agents.keys.toSet()
        val startsBefore = cluster.rules.starts
        cluster.zonesPartitioned = true
        cluster.run(85 * SECOND)
        cluster.zonesPartitioned = false
        cluster.run(100 * SECOND)
        cluster.assertRulesHeld()
        assertEquals(8, startsBefore)
        assertEquals(startsBefore, cluster.rules.starts, "starts before and after the partition")
        assertTrue(machinesBefore.isNotEmpty() && cluster.agents.keys.containsAll(machinesBefore))
    }

    private fun spreadService(n: Int) = SampleJobs.service(n, tasks = 4, spread = true)

    /**
     * Two thirds of the machines in an isolated zone lost their leases and were released, although the controller in the zone
     * could have kept them. That controller must answer heartbeats on behalf of the owners, which take these renewals into
     * account and know when they must have ended.
     */
    @Test
    fun `tasks in a zone isolated for longer than a lease keep running`() {
        val cluster = cluster(21, FaultRates())
        (1..5).forEach { n -> cluster.after(n * SECOND) { cluster.addUser(spreadService(n), null) } }
        cluster.run(60 * SECOND)
        val machinesBefore = cluster.agents.keys.toSet()
        val startsBefore = cluster.rules.starts
        cluster.isolatedZone = "south"
        cluster.run(90 * SECOND)
        cluster.isolatedZone = null
        cluster.run(130 * SECOND)
        cluster.assertRulesHeld()
        assertEquals(20, startsBefore)
        assertEquals(startsBefore, cluster.rules.starts, "starts before and after the partition")
        assertTrue(cluster.agents.keys.containsAll(machinesBefore), "machines were released")
    }

    /**
     * Guards against a leader that loses contact only with its agents and then releases their machines, those of services first,
     * and claims back shards that its peers had taken over.
     */
    @Test
    fun `a controller isolated only from its agents releases none of their machines`() {
        val cluster = SimulatedCluster(22, FaultRates(), ClusterSize(machines = 60)) { SampleJobs.settings(it) }
        (1..24).forEach { n ->
            val spec =
                SampleJobs.service(n, team = "blue", tasks = 4, cpus = 4.0)
            cluster.after(n * SECOND / 4) { cluster.addUser(spec, null) }
        }
        cluster.run(60 * SECOND)
        val busyMachines =
            cluster.agents.values
                .filter { cluster.rules.tasksOn(it.id).isNotEmpty() }
                .map { it.id }
        val startsBefore = cluster.rules.starts
        val isolated = cluster.leader()
        isolated.cutFromAgents = true
        cluster.run(110 * SECOND)
        isolated.cutFromAgents = false
        cluster.run(140 * SECOND)
        cluster.assertRulesHeld()
        assertTrue(
            busyMachines.size > 9 && cluster.agents.keys.containsAll(busyMachines),
            "${busyMachines.size} machines, ${busyMachines.count { it !in cluster.agents }} released",
        )
        assertEquals(startsBefore, cluster.rules.starts, "starts before and after the partition")
    }

    /**
     * A controller that answers heartbeats on behalf of an owner must stop early enough for cancellations to take effect, and no
     * task may be moved before. With the cloud down, only expired leases show that a machine runs nothing.
     */
    @TestFactory
    fun `no rule is broken while a zone is isolated for a long time`() =
        (31L..42L).map { seed ->
            DynamicTest.dynamicTest("seed $seed") {
                val cluster = cluster(seed, FaultRates())
                cluster.submitRandomJobs(16, 40 * SECOND)
                (41..45).forEach { n ->
                    cluster.after(n * SECOND / 4) {
                        cluster.addUser(
                            spreadService(n),
                            if (n % 2 ==
                                0
                            ) {
                                52 * SECOND + cluster.random.nextLong(12 * SECOND)
                            } else {
                                null
                            },
                        )
                    }
                }
                cluster.run(60 * SECOND)
                if (seed % 2 == 0L) cluster.cloud.unavailable = true
                // The two controllers in the north receive hints from each other, but from no controller that the state store serves.
                cluster.isolatedZone = if (seed < 36) "south" else "north"
                if (seed % 3 == 0L) cluster.nodes[2].crash(5 * SECOND)
                if (seed % 4 == 0L) cluster.after(5 * SECOND) { cluster.nodes[1].crash(SECOND / 3) }
                cluster.after(30 * SECOND + cluster.random.nextLong(70 * SECOND)) { cluster.isolatedZone = null }
                cluster.after(60 * SECOND) { cluster.cloud.unavailable = false }
                cluster.run(260 * SECOND)
                cluster.assertRulesHeld()
            }
        }
}
