package mintpick.simulation

import mintpick.config.Settings
import mintpick.core.SECOND
import mintpick.testing.ClusterSize
import mintpick.testing.FaultRates
import mintpick.testing.SampleJobs
import mintpick.testing.SimulatedCluster
import mintpick.testing.assertRulesHeld
import mintpick.wire.Priority
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test

/** What a team without a guarantee brings: thousands of jobs of one task, and arrays of tens of thousands. */
class UnguaranteedTeamsTest {
    private fun cluster(seed: Long): SimulatedCluster =
        SimulatedCluster(seed, FaultRates(), ClusterSize(machines = 60)) { index ->
            Settings.parse(SampleJobs.toml(index).replace("write_rps = 40.0", "write_rps = 25.0"))
        }

    private fun unguaranteedJob(
        n: Int,
        tasks: Int = 1,
        estimateS: Double = 8.0,
    ) = SampleJobs.spec("req-%06d".format(n), "blue", tasks, priority = Priority.LOW, cpus = 0.25, estimateS = estimateS)

    /** Six jobs a second for a minute take about three writes each, of 25 a second; services and a team's own arrays go on. */
    @Test
    fun `a flood of one-task jobs costs few writes and holds up nobody`() {
        val cluster = cluster(95)
        val swarm = 360
        cluster.user(SampleJobs.service(9000, tasks = 2), null)
        cluster.run(20 * SECOND)
        val before = cluster.state.writes
        (1..swarm).forEach { n -> cluster.after(n * SECOND / 6) { cluster.user(unguaranteedJob(n), null) } }
        (1..10).forEach { n ->
            cluster.after(n * 5 * SECOND) { cluster.user(SampleJobs.service(8000 + n, tasks = 1), null) }
            cluster.after(n * 5 * SECOND) { cluster.user(SampleJobs.spec("req-%06d".format(7000 + n), "red", 6, estimateS = 6.0), null) }
        }
        cluster.run(85 * SECOND)
        val writes = cluster.state.writes - before
        assertTrue(writes < 1450, "$writes writes for $swarm jobs of one task and twenty others")
        val late =
            (1..10).filter { n ->
                val began = cluster.rules.startOf("req-%06d".format(8000 + n))
                began == null || began > (26L + n * 5) * SECOND
            }
        assertTrue(late.size <= 1, "services that began late: $late")
        cluster.run(110 * SECOND)
        val left = (1..swarm).filter { !cluster.rules.isFinal("req-%06d".format(it)) }
        assertEquals(emptyList<Int>(), left.take(5), "${left.size} jobs of the swarm are not done")
        assertEquals(emptyList<Int>(), (7001..7010).filter { !cluster.rules.isFinal("req-%06d".format(it)) }, "arrays are not done")
        cluster.assertRulesHeld()
    }

    /** An array of twenty thousand short tasks begins at once, gives way to funded work, and ends. */
    @Test
    fun `a huge array without a guarantee begins, yields and ends`() {
        val cluster = cluster(96)
        cluster.user(unguaranteedJob(1, tasks = 20_000, estimateS = 3.0), null)
        (1..20).forEach { n ->
            cluster.after(
                (30L + n * 6) * SECOND,
            ) { cluster.user(SampleJobs.spec("req-%06d".format(7000 + n), "red", 4, estimateS = 6.0), null) }
        }
        cluster.run(170 * SECOND)
        val began = cluster.rules.startOf("req-000001")
        assertTrue(began != null && began < 30 * SECOND, "began after $began")
        assertEquals(emptyList<Int>(), (7001..7020).filter { !cluster.rules.isFinal("req-%06d".format(it)) }, "funded arrays wait")
        cluster.run(400 * SECOND)
        assertTrue(cluster.rules.isFinal("req-000001"), "the array has not ended")
        cluster.assertRulesHeld()
    }

    /** `Scheduling.keepsToSpot`: spare-time work filled the ordinary machines of a peak, so that none of them was ever returned. */
    @Test
    fun `spare-time work keeps no ordinary machines`() {
        val cluster = SimulatedCluster(98, FaultRates(), ClusterSize(machines = 60, spot = 6)) { SampleJobs.settings(it) }
        (1..4).forEach { n -> cluster.user(unguaranteedJob(n, tasks = 800, estimateS = 40.0), null) }
        (1..10).forEach { n -> cluster.user(SampleJobs.spec("req-%06d".format(7000 + n), "blue", 20, cpus = 2.0, estimateS = 15.0), null) }
        cluster.run(25 * SECOND)
        assertTrue(cluster.workers.values.count { !it.spot } > 5, "ordinary machines for the peak")
        cluster.run(100 * SECOND)
        assertEquals(0, cluster.workers.values.count { !it.spot }, "ordinary machines left")
        assertTrue(
            cluster.rules.running.keys
                .any { it < "req-007000" },
            "spare-time work goes on",
        )
        cluster.assertRulesHeld()
    }

    @Test
    fun `where there are no spot machines spare-time work is served all the same`() {
        val cluster = SimulatedCluster(99, FaultRates(), ClusterSize(machines = 20, spot = 0)) { SampleJobs.settings(it) }
        (1..3).forEach { n -> cluster.user(unguaranteedJob(n, tasks = 30, estimateS = 40.0), null) }
        cluster.run(240 * SECOND)
        assertEquals(emptyList<Int>(), (1..3).filter { !cluster.rules.isFinal("req-%06d".format(it)) }, "spare-time work waits")
        cluster.assertRulesHeld()
    }
}
