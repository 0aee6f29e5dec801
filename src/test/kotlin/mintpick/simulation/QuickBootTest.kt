package mintpick.simulation

import mintpick.core.MILLI
import mintpick.core.SECOND
import mintpick.testing.ClusterSize
import mintpick.testing.FaultRates
import mintpick.testing.SampleJobs
import mintpick.testing.SimulatedCluster
import mintpick.testing.assertRulesHeld
import mintpick.testing.leader
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertNotEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.TestFactory

/** Machines that boot quickly while writes are carried out late and the leader crashes. */
class QuickBootTest {
    /** New machines boot within two seconds and receive tasks while a quarter of the transactions is carried out late and unanswered. */
    @TestFactory
    fun `tasks on quickly booted machines complete although writes are late and the leader crashes`() =
        (41L..46L).map { seed ->
            DynamicTest.dynamicTest("seed $seed") {
                val cluster =
                    SimulatedCluster(seed, FaultRates(), ClusterSize(machines = 12, bootTimes = SECOND..2 * SECOND)) {
                        SampleJobs.settings(it)
                    }
                cluster.run(20 * SECOND)
                val machinesBefore = cluster.agents.keys.toSet()
                cluster.stateStoreFaults.lossRate = 250
                val jobs = (1..16).map { n -> SampleJobs.spec("req-%06d".format(n), "blue", 2, cpus = 3.0, estimateS = 8.0) }
                jobs.forEachIndexed { n, job -> cluster.after(n * SECOND / 8) { cluster.addUser(job, null) } }
                val leader = cluster.leader()
                cluster.after(4 * SECOND) { leader.crash(12 * SECOND) }
                val newMachinesUsed = HashSet<String>()
                (1..60).forEach { n ->
                    cluster.after(n * 250 * MILLI) {
                        newMachinesUsed += cluster.rules.running.values
                            .map { it.machine } - machinesBefore
                    }
                }
                cluster.run(36 * SECOND)
                val nextLeader = cluster.leader()
                cluster.stateStoreFaults.lossRate = 0
                cluster.rules.faultsOverAtUs = cluster.now + 12 * SECOND
                cluster.run(90 * SECOND)
                assertTrue(newMachinesUsed.isNotEmpty(), "no new machine received a task")
                assertTrue(cluster.stateStoreFaults.applied().isNotEmpty(), "no write was carried out late")
                assertNotEquals(leader.settings.node, nextLeader.settings.node)
                assertEquals(emptyList<String>(), jobs.map { it.id }.filter { !cluster.rules.isFinal(it) }, "jobs not finished")
                cluster.assertRulesHeld()
            }
        }
}
