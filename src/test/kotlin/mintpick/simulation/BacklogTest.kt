package mintpick.simulation

import mintpick.config.Settings
import mintpick.core.SECOND
import mintpick.testing.ClusterSize
import mintpick.testing.FaultRates
import mintpick.testing.SampleJobs
import mintpick.testing.SimulatedCluster
import mintpick.testing.assertRulesHeld
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test

/** More tasks are waiting than the fleet has capacity for, and the write limit of the state store delays their placement. */
class BacklogTest {
    private fun cluster(
        seed: Long,
        writesPerSecond: Double,
    ) = SimulatedCluster(seed, FaultRates(), ClusterSize(machines = MACHINES)) { index ->
        Settings.parse(SampleJobs.withStateLimits(SampleJobs.toml(index), writesPerSecond))
    }

    private fun SimulatedCluster.emptyMachines(): Int = agents.keys.count { rules.tasksOn(it).isEmpty() }

    /** The number of empty machines after each of the next 30 seconds. */
    private fun SimulatedCluster.emptyMachinesEachSecond(): List<Int> =
        List(30) {
            run(now + SECOND)
            emptyMachines()
        }

    /**
     * A fleet that is full of jobs of one task, which all end at about [JOBS_END_S], while large jobs are waiting for that
     * capacity.
     */
    private fun clusterWithFullFleet(
        seed: Long,
        writesPerSecond: Double = 12.0,
    ): SimulatedCluster {
        val cluster = cluster(seed, writesPerSecond)
        (1..JOBS).forEach { n ->
            val submittedS = n / 6.0
            val spec = SampleJobs.spec("req-%06d".format(n), team = "blue", cpus = 4.0, tasks = 1, estimateS = JOBS_END_S - submittedS)
            cluster.after((submittedS * SECOND).toLong()) { cluster.addUser(spec, null) }
        }
        (1..LARGE_JOBS).forEach { n ->
            val spec = SampleJobs.spec("req-%06d".format(1000 + n), team = "blue", cpus = 4.0, tasks = 40, estimateS = 30.0)
            cluster.after(60 * SECOND + n) { cluster.addUser(spec, null) }
        }
        return cluster
    }

    /**
     * Guards `WriteArbiter`. Without it, the outcomes of completed and lost tasks took every write, and a fleet became empty
     * while thousands of tasks were waiting. The sum of empty machine-seconds was then 1.7 times as large.
     */
    @Test
    fun `machines do not stay empty while tasks wait and the outcomes of many jobs are written`() {
        val emptySeconds =
            (81L..84L).map { seed ->
                val cluster = clusterWithFullFleet(seed)
                cluster.run(JOBS_END_S.toLong() * SECOND)
                assertEquals(0, cluster.emptyMachines(), "empty machines in a fleet that should be full")
                val emptyCounts = cluster.emptyMachinesEachSecond()
                assertTrue(emptyCounts.max() > MACHINES / 4, "jobs do not end faster than others are placed: $emptyCounts")
                cluster.assertRulesHeld()
                emptyCounts.sum()
            }
        assertTrue(emptySeconds.sum() < MACHINES * 11 / 2 * emptySeconds.size, "$emptySeconds empty machine-seconds")
    }

    /**
     * Guards `TransactionDispatcher.inFlightCount`. Transactions whose answers are lost used to count as in flight until they
     * timed out after two seconds. Each took one of four places, and writes within the limit were not sent. The sum of empty
     * machine-seconds was then more than three times as large.
     */
    @Test
    fun `transactions whose answers are lost do not delay others`() {
        val emptySeconds =
            (83L..84L).sumOf { seed ->
                val cluster = clusterWithFullFleet(seed, writesPerSecond = 60.0)
                cluster.run(JOBS_END_S.toLong() * SECOND)
                assertEquals(0, cluster.emptyMachines(), "empty machines in a fleet that should be full")
                cluster.stateStoreFaults.lossRate = 450
                val emptyCounts = cluster.emptyMachinesEachSecond()
                assertTrue(cluster.stateStoreFaults.applied().isNotEmpty(), "no transaction was carried out late")
                cluster.assertRulesHeld()
                emptyCounts.sum()
            }
        assertTrue(emptySeconds < MACHINES * 8, "$emptySeconds empty machine-seconds")
    }

    private companion object {
        const val MACHINES = 60
        const val JOBS = 120
        const val LARGE_JOBS = 6
        const val JOBS_END_S = 90.0
    }
}
