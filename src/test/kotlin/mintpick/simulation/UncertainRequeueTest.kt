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

/** A requeue without an answer meets a machine that comes back before the requeue is carried out. */
class UncertainRequeueTest {
    /**
     * One controller is alone in its zone and hears no other, so that it gives up no silent machine before its lease has
     * lapsed. Machines there hang until the requeue of what they ran has been sent. They hang once more before it is
     * carried out, so that no stop reaches them: what they hold then would run beside its successors.
     */
    private class Doubt(
        seed: Long,
    ) {
        val cluster = SimulatedCluster(seed, FaultRates(), ClusterSize(machines = 10)) { SampleJobs.settings(it) }
        private val alone = cluster.nodes.single { it.settings.zone == ZONE }
        private val lostFor = HashMap<Transaction, List<SimulatedAgent>>()
        private var hung = emptyList<SimulatedAgent>()

        /** For each requeue that was carried out late: machines it took tasks from, and what they held then. */
        val carriedOut = ArrayList<Pair<String, Set<String>>>()

        fun play() {
            (1..12).forEach { n ->
                val spec = SampleJobs.spec("req-%06d".format(n), team = "blue", tasks = 2, cpus = 2.0, estimateS = 300.0)
                cluster.after(n * SECOND / 4) { cluster.user(spec, null) }
            }
            // What ends meanwhile leaves room for the successors.
            (13..18).forEach { n ->
                val spec = SampleJobs.spec("req-%06d".format(n), team = "blue", tasks = 2, cpus = 2.0, estimateS = 50.0)
                cluster.after(n * SECOND / 4) { cluster.user(spec, null) }
            }
            cluster.run(60 * SECOND)
            cluster.cloud.out = true
            alone.cutFromPeers = true
            hung =
                cluster.workers.values
                    .filter { it.zone == ZONE && it.held().isNotEmpty() }
                    .take(2)
            hung.forEach { it.hangingUntilUs = Long.MAX_VALUE }
            cluster.stateStoreFaults.lost = 1000
            cluster.stateStoreFaults.lateUs = LATE..LATE + SECOND
            cluster.stateStoreFaults.picks = { node, transaction -> node === alone && isRequeue(transaction) }
            cluster.stateStoreFaults.onCarriedOut = { late ->
                lostFor.getValue(late.transaction).forEach { carriedOut += it.id to it.held() }
            }
            cluster.run(102 * SECOND)
        }

        /** Whether [transaction] takes tasks from machines that hung; they come back once the first such was sent. */
        private fun isRequeue(transaction: Transaction): Boolean {
            val before = cluster.state.keys().toMap()
            val machines =
                hung.filter { machine ->
                    transaction.changes.any {
                        machine.id in machinesIn(it.put, before[it.put]) &&
                            machine.id !in machinesIn(it.put, "${it.value}")
                    }
                }
            lostFor[transaction] = machines
            if (machines.isNotEmpty()) hung.filter { it.hangingUntilUs == Long.MAX_VALUE }.forEach(::comeBack)
            return machines.isNotEmpty()
        }

        private fun machinesIn(
            key: String?,
            text: String?,
        ): Set<String> = if (key == null || text == null) emptySet() else cluster.machinesIn(key, text)

        private fun comeBack(machine: SimulatedAgent) {
            val sent = cluster.now
            machine.hangingUntilUs = sent + 200 * MILLI + cluster.random.nextLong(SECOND)
            cluster.after(AGAIN) { machine.hangingUntilUs = sent + BACK }
        }
    }

    /** `CommandPlanner.onRequeueSent`: the old attempts were started again there, and then the requeue was carried out. */
    @TestFactory
    fun `a requeue that is carried out late doubles no task of a machine that has come back`() =
        listOf(2L, 11L).map { seed ->
            DynamicTest.dynamicTest("seed $seed") {
                val doubt = Doubt(seed).apply { play() }
                assertTrue(doubt.carriedOut.isNotEmpty(), "no requeue was carried out late")
                assertEquals(
                    emptyList<String>() to emptyList<String>(),
                    doubt.carriedOut.filter { it.second.isNotEmpty() }.map { "$it" } to
                        doubt.cluster.rules.breaches
                            .distinct()
                            .take(5),
                )
            }
        }

    private companion object {
        const val ZONE = "south"

        /** Counted from when the first requeue was sent: they hang again, it is carried out, they are back for good. */
        const val AGAIN = 6 * SECOND
        const val LATE = 12 * SECOND
        const val BACK = 18 * SECOND
    }
}
