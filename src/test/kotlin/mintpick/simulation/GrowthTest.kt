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
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.TestFactory

/** What grows with the fleet and what must not, in counts: one state service's limits serve however many machines. */
class GrowthTest {
    /**
     * Machines that were marked to be returned, with their marks still to be written, were picked again in each round:
     * of four hundred idle ones the last were kept, and paid for, long after the first.
     */
    @TestFactory
    fun `the machines of a backlog go soon after it`() =
        (52L..54L).map { seed -> DynamicTest.dynamicTest("seed $seed") { machinesGoAfterBacklog(seed) } }

    private fun machinesGoAfterBacklog(seed: Long) {
        val cluster = SimulatedCluster(seed, FaultRates(), ClusterSize(machines = 400, spot = 40)) { SampleJobs.settings(it) }
        (1..40).forEach { n ->
            cluster.user(SampleJobs.spec("req-%06d".format(n), team = "blue", tasks = 40, cpus = 2.0, estimateS = 20.0), null)
        }
        var most = 0
        for (second in 10..60) {
            cluster.run(second * SECOND)
            most = maxOf(most, cluster.workers.values.count { !it.spot })
        }
        assertTrue(most > 250, "$most ordinary machines for the backlog")
        // One or two that booted last may still be under way.
        assertTrue(cluster.workers.values.count { !it.spot } < 4, "ordinary machines left")
        cluster.run(64 * SECOND)
        assertEquals(0, cluster.workers.values.count { !it.spot }, "ordinary machines left")
        cluster.assertRulesHeld()
    }

    @Test
    fun `a thousand machines and hundreds of jobs stay within the state service's limits`() {
        val cluster = SimulatedCluster(51, FaultRates(), ClusterSize(machines = 1000)) { SampleJobs.settings(it) }
        val services = 120
        val arrays = 240
        var tasks = 0
        (1..services).forEach { n ->
            val size = 4 + n % 6
            tasks += size
            val spec =
                SampleJobs.service(n, team = "blue", tasks = size, spread = true)
            cluster.after(n * SECOND / 8) { cluster.user(spec, null) }
        }
        (1..arrays).forEach { n ->
            val size = 20 + n * 7 % 90
            tasks += size
            val spec = SampleJobs.spec("req-%06d".format(1000 + n), team = "blue", tasks = size, cpus = 4.0, estimateS = 10.0)
            cluster.after(n * SECOND / 4) { cluster.user(spec, null) }
        }
        cluster.run(110 * SECOND)
        val jobs = services + arrays
        cluster.assertRulesHeld()
        assertTrue(cluster.workers.size > 500, "${cluster.workers.size} machines")
        assertTrue(cluster.rules.starts >= tasks * 9 / 10, "${cluster.rules.starts} of $tasks tasks started")
        // Stored, placed and finished, with some parts while writes abound: a handful for each job, whatever its tasks
        // (there are over forty on average).
        val writes = cluster.state.writes
        val byKind = cluster.state.writesByKind
        assertTrue((byKind["j"] ?: 0) + (byKind["k"] ?: 0) < jobs * 8, "$byKind")
        // One record for each part, not for each machine.
        assertTrue((byKind["f"] ?: 0) < cluster.workers.size / 4, "$byKind for ${cluster.workers.size} machines")
        assertTrue(writes < 110 * 40, "$writes writes in 110 s")
        assertTrue(cluster.state.requests < 110 * 100, "${cluster.state.requests} requests in 110 s")
        assertTrue(cluster.state.bytesWritten < 25_000L * jobs, "${cluster.state.bytesWritten} bytes")
        // Starts go out together with others for the same machine, and what is only to be forgotten waits for a report.
        val calls = cluster.nodes.sumOf { it.calls }
        assertTrue(calls < 3L * cluster.rules.starts, "$calls calls for ${cluster.rules.starts} starts")
    }

    private class Counts(
        val machines: Int,
        val writes: Double,
        val calls: Double,
        val bytes: Double,
    )

    /**
     * A fleet through its worst two minutes: an eighth of it dead at once and again, a zone cut off for longer than a lease,
     * all controllers back within a moment. What that costs for each start must not grow with the fleet.
     */
    private fun worst(machines: Int): Counts {
        val cluster = SimulatedCluster(53, FaultRates(), ClusterSize(machines = machines)) { SampleJobs.settings(it) }
        val services = machines / 20
        (1..services).forEach { n ->
            val spec =
                SampleJobs.service(n, team = "blue", tasks = 4, cpus = 2.0)
            cluster.after(n * 15 * SECOND / services) { cluster.user(spec, null) }
        }
        (1..4).forEach { round ->
            (1..machines / 60).forEach { n ->
                val spec = SampleJobs.spec("req-%06d".format(round * 1000 + n), team = "blue", tasks = 70, cpus = 4.0, estimateS = 18.0)
                cluster.after((round * 20L - 15) * SECOND + n * SECOND / 5) { cluster.user(spec, null) }
            }
        }
        val most = ArrayList<Int>()
        listOf(45L, 60L).forEach { at ->
            cluster.after(at * SECOND) {
                most += cluster.workers.size
                cluster.workers.keys
                    .filterIndexed { i, _ -> i % 8 == 0 }
                    .forEach(cluster::remove)
            }
        }
        cluster.after(75 * SECOND) { cluster.zoneOut = "south" }
        cluster.after(100 * SECOND) { cluster.zoneOut = null }
        cluster.after(115 * SECOND) { cluster.nodes.forEach { it.crash(SECOND / 3) } }
        cluster.run(140 * SECOND)
        cluster.assertRulesHeld()
        val running =
            (1..services).sumOf { n ->
                cluster.workers.values.sumOf { w -> cluster.rules.attemptsOn(w.id).count { it.startsWith("req-%06d/".format(n)) } }
            }
        assertTrue(running >= services * 4 * 99 / 100, "$running of ${services * 4} replicas run")
        val starts = cluster.rules.starts.toDouble()
        return Counts(
            most.max(),
            cluster.state.writes / starts,
            cluster.nodes.sumOf { it.calls } / starts,
            cluster.state.bytesWritten / starts,
        )
    }

    @Test
    fun `what a start costs does not grow with the fleet`() {
        val third = worst(567)
        val full = worst(1700)
        assertTrue(full.machines > 1200, "${full.machines} machines")
        assertTrue(full.writes < third.writes * 1.1, "${full.writes} writes a start, ${third.writes} at a third of the size")
        assertTrue(full.calls < third.calls * 1.3, "${full.calls} calls a start, ${third.calls} at a third of the size")
        assertTrue(full.bytes < third.bytes * 1.3, "${full.bytes} bytes a start, ${third.bytes} at a third of the size")
    }
}
