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

/** More work waits than there is room for, and the limit on writes to the state service is what holds it up. */
class BacklogTest {
    private fun cluster(
        seed: Long,
        writesPerSecond: Double,
    ) = SimulatedCluster(seed, FaultRates(), ClusterSize(machines = MACHINES)) { index ->
        Settings.parse(SampleJobs.toml(index).replace("write_rps = 40.0", "write_rps = $writesPerSecond"))
    }

    private fun SimulatedCluster.empty(): Int = workers.keys.count { rules.attemptsOn(it).isEmpty() }

    /** Empty machines in each of the next seconds. */
    private fun SimulatedCluster.emptyEachSecond(): List<Int> =
        List(30) {
            run(now + SECOND)
            empty()
        }

    /** A full fleet whose many jobs of one task all end at about [JOBS_END_S], with large jobs waiting for their room. */
    private fun fullFleet(
        seed: Long,
        writesPerSecond: Double = 12.0,
    ): SimulatedCluster {
        val cluster = cluster(seed, writesPerSecond)
        (1..JOBS).forEach { n ->
            val submittedS = n / 6.0
            val spec = SampleJobs.spec("req-%06d".format(n), team = "blue", cpus = 4.0, tasks = 1, estimateS = JOBS_END_S - submittedS)
            cluster.after((submittedS * SECOND).toLong()) { cluster.user(spec, null) }
        }
        (1..LARGE_JOBS).forEach { n ->
            val spec = SampleJobs.spec("req-%06d".format(1000 + n), team = "blue", cpus = 4.0, tasks = 40, estimateS = 30.0)
            cluster.after(60 * SECOND + n) { cluster.user(spec, null) }
        }
        return cluster
    }

    /**
     * `Changes.inTurn`: what had become of ended or lost tasks once took every write, so that a fleet fell empty beside
     * thousands of waiting tasks. Without turns this sum is 1.7 times as large.
     */
    @Test
    fun `machines do not stay empty beside waiting tasks while many ends of jobs are written`() {
        val empty =
            (81L..84L).map { seed ->
                val cluster = fullFleet(seed)
                cluster.run(JOBS_END_S.toLong() * SECOND)
                assertEquals(0, cluster.empty(), "the fleet is full")
                val emptyEachSecond = cluster.emptyEachSecond()
                assertTrue(emptyEachSecond.max() > MACHINES / 4, "jobs end faster than others can be placed: $emptyEachSecond")
                cluster.assertRulesHeld()
                emptyEachSecond.sum()
            }
        assertTrue(empty.sum() < MACHINES * 11 / 2 * empty.size, "$empty seconds of empty machines")
    }

    /**
     * `StateLink.transactionsOpen`: each transaction without an answer once kept one of four places for two seconds, so that
     * writes which the limit allowed were not sent. Counted until they are given up, this sum is over three times as large.
     */
    @Test
    fun `transactions whose answers are lost hold up no others`() {
        val empty =
            (83L..84L).sumOf { seed ->
                val cluster = fullFleet(seed, writesPerSecond = 60.0)
                cluster.run(JOBS_END_S.toLong() * SECOND)
                assertEquals(0, cluster.empty(), "the fleet is full")
                cluster.stateStoreFaults.lost = 450
                val emptyEachSecond = cluster.emptyEachSecond()
                assertTrue(cluster.stateStoreFaults.carriedOut().isNotEmpty(), "some were carried out late")
                cluster.assertRulesHeld()
                emptyEachSecond.sum()
            }
        assertTrue(empty < MACHINES * 8, "$empty seconds of empty machines")
    }

    private companion object {
        const val MACHINES = 60
        const val JOBS = 120
        const val LARGE_JOBS = 6
        const val JOBS_END_S = 90.0
    }
}
