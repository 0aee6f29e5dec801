package mintpick.simulation

import mintpick.core.MILLI
import mintpick.core.SECOND
import mintpick.testing.ClusterSize
import mintpick.testing.FaultRates
import mintpick.testing.SampleJobs
import mintpick.testing.SimulatedAgent
import mintpick.testing.SimulatedCluster
import mintpick.testing.machinesIn
import mintpick.wire.Transaction
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.TestFactory

/** The outcome of a requeue is unknown, and the machine resumes before the requeue is carried out. */
class UncertainRequeueTest {
    /**
     * One controller is the only one in its zone and receives no hints, so it does not requeue the tasks of an unresponsive
     * machine before the machine's lease has expired. Two machines in the zone hang until the requeue of their tasks has been sent.
     * They hang again before it is carried out, so no stop command reaches them: tasks that they hold at that time would run at
     * the same time as their replacements.
     */
    private class Scenario(
        seed: Long,
    ) {
        val cluster = SimulatedCluster(seed, FaultRates(), ClusterSize(machines = 10)) { SampleJobs.settings(it) }
        private val isolated = cluster.nodes.single { it.settings.zone == ZONE }
        private val machinesOfLost = HashMap<Transaction, List<SimulatedAgent>>()
        private var hungMachines = emptyList<SimulatedAgent>()

        /** For each machine whose tasks were requeued late: its id, and the tasks that it held when the requeue was carried out. */
        val committedRequeues = ArrayList<Pair<String, Set<String>>>()

        fun run() {
            (1..12).forEach { n ->
                val spec = SampleJobs.spec("req-%06d".format(n), team = "blue", tasks = 2, cpus = 2.0, estimateS = 300.0)
                cluster.after(n * SECOND / 4) { cluster.addUser(spec, null) }
            }
            // These jobs end in the meantime and free capacity for the replacements.
            (13..18).forEach { n ->
                val spec = SampleJobs.spec("req-%06d".format(n), team = "blue", tasks = 2, cpus = 2.0, estimateS = 50.0)
                cluster.after(n * SECOND / 4) { cluster.addUser(spec, null) }
            }
            cluster.run(60 * SECOND)
            cluster.cloud.unavailable = true
            isolated.cutFromPeers = true
            hungMachines =
                cluster.agents.values
                    .filter { it.zone == ZONE && it.assignedTasks().isNotEmpty() }
                    .take(2)
            hungMachines.forEach { it.hangingUntilUs = Long.MAX_VALUE }
            cluster.stateStoreFaults.lossRate = 1000
            cluster.stateStoreFaults.applyDelayUs = COMMIT_DELAY..COMMIT_DELAY + SECOND
            cluster.stateStoreFaults.mayLose = { node, transaction -> node === isolated && isRequeue(transaction) }
            cluster.stateStoreFaults.onApplied = { late ->
                machinesOfLost.getValue(late.transaction).forEach { committedRequeues += it.id to it.assignedTasks() }
            }
            cluster.run(102 * SECOND)
        }

        /** Whether [transaction] requeues tasks of [hungMachines]. These machines resume when the first such transaction is sent. */
        private fun isRequeue(transaction: Transaction): Boolean {
            val before = cluster.state.keys().toMap()
            val machines =
                hungMachines.filter { machine ->
                    transaction.changes.any {
                        machine.id in machinesIn(it.put, before[it.put]) &&
                            machine.id !in machinesIn(it.put, "${it.value}")
                    }
                }
            machinesOfLost[transaction] = machines
            if (machines.isNotEmpty()) hungMachines.filter { it.hangingUntilUs == Long.MAX_VALUE }.forEach(::resumeBriefly)
            return machines.isNotEmpty()
        }

        private fun machinesIn(
            key: String?,
            text: String?,
        ): Set<String> = if (key == null || text == null) emptySet() else cluster.machinesIn(key, text)

        private fun resumeBriefly(machine: SimulatedAgent) {
            val sentUs = cluster.now
            machine.hangingUntilUs = sentUs + 200 * MILLI + cluster.random.nextLong(SECOND)
            cluster.after(SECOND_HANG_DELAY) { machine.hangingUntilUs = sentUs + RETURN_DELAY }
        }
    }

    /**
     * Guards `CommandPlanner.onRequeueSent`. Without it, the old attempts were started again on the machine, and then the requeue
     * was carried out.
     */
    @TestFactory
    fun `a requeue that is carried out late duplicates no task of a machine that has resumed`() =
        listOf(2L, 11L).map { seed ->
            DynamicTest.dynamicTest("seed $seed") {
                val scenario = Scenario(seed).apply { run() }
                assertTrue(scenario.committedRequeues.isNotEmpty(), "no requeue was carried out late")
                assertEquals(
                    emptyList<String>() to emptyList<String>(),
                    scenario.committedRequeues.filter { it.second.isNotEmpty() }.map { "$it" } to
                        scenario.cluster.rules.breaches
                            .distinct()
                            .take(5),
                )
            }
        }

    private companion object {
        const val ZONE = "south"

        /** Delays after the first requeue is sent: the machines hang again, the requeue is carried out, the machines resume. */
        const val SECOND_HANG_DELAY = 6 * SECOND
        const val COMMIT_DELAY = 12 * SECOND
        const val RETURN_DELAY = 18 * SECOND
    }
}
