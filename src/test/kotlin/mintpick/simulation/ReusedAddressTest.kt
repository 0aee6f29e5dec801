package mintpick.simulation

import mintpick.agents.AgentProtocol
import mintpick.core.MachineId
import mintpick.core.SECOND
import mintpick.net.Outcome
import mintpick.testing.ClusterSize
import mintpick.testing.FaultRates
import mintpick.testing.KnownRed
import mintpick.testing.MACHINE_TYPES
import mintpick.testing.SampleJobs
import mintpick.testing.SimulatedCluster
import mintpick.testing.assertRulesHeld
import mintpick.wire.MachineReport
import mintpick.wire.WireJson
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.TestFactory

/** A cloud that gives the address of a machine that is gone to the next one. */
class ReusedAddressTest {
    private fun cluster(seed: Long) =
        SimulatedCluster(seed, FaultRates(), ClusterSize(machines = 12, spotMachines = 12, bootTimes = SECOND / 2..SECOND)) {
            SampleJobs.settings(it)
        }

    /** The tasks of the next machine were stopped and those of the machine that was gone started in their place. */
    @TestFactory
    fun `tasks on a machine with the address of one that is gone are not disturbed by its controller`() =
        (641L..664L).map { seed ->
            DynamicTest.dynamicTest("seed $seed") {
                KnownRed.passOver("ReusedAddressTest", seed)
                val cluster = cluster(seed)
                val gone = ArrayList<String>()
                cluster.reusedAddress = { gone.removeFirstOrNull() }
                val jobs = (1..30).map { n -> job(n, estimateS = 20.0 + n % 10) }
                jobs.forEachIndexed { n, job -> cluster.after(n * SECOND) { cluster.addUser(job, null) } }
                val starts = HashMap<String, Int>()
                repeat(5) { n ->
                    cluster.after((20 + 4 * n) * SECOND) {
                        val machine =
                            cluster.agents.values
                                .filter { cluster.rules.tasksOn(it.id).isNotEmpty() }
                                .random(cluster)
                        cluster.rules.tasksOn(machine.id).forEach { starts.merge(it, 1, Int::plus) }
                        gone += machine.address
                        cluster.remove(machine.id)
                    }
                }
                cluster.run(200 * SECOND)
                cluster.assertRulesHeld()
                assertEquals(emptyList<String>(), jobs.map { it.id }.filterNot(cluster.rules::isComplete), "jobs not completed")
                // Only tasks that were on a machine that is gone start again.
                val again = cluster.rules.startsOf.filter { (task, count) -> count > 1 + (starts[task] ?: 0) }
                assertEquals(emptyMap<String, Int>(), again, "tasks started again")
            }
        }

    private fun <T> List<T>.random(cluster: SimulatedCluster): T = this[cluster.random.nextInt(size)]

    private fun job(
        n: Int,
        estimateS: Double,
    ) = SampleJobs
        .spec("req-%06d".format(n), "blue", tasks = 4, cpus = 2.0, estimateS = estimateS)
        .copy(types = listOf(MACHINE_TYPES[n % 2].name))

    @Test
    fun `an answer that names another machine proves nothing about the one that was called`() {
        val report = MachineReport("host-000002", "10.0.0.1:1", "small", "north", false, 1, 1)
        val body = WireJson.encodeToString(MachineReport.serializer(), report).encodeToByteArray()
        for (status in listOf(200, 409)) {
            val outcome = Outcome.Answered(status, body)
            assertEquals(AgentProtocol.Result.AnsweredByOther("host-000002"), AgentProtocol.read(outcome, MachineId("host-000001")))
            assertTrue(AgentProtocol.read(outcome, MachineId("host-000002")) !is AgentProtocol.Result.AnsweredByOther)
        }
    }
}
