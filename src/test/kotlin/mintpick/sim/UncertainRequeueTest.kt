package mintpick.sim

import mintpick.Samples
import mintpick.core.MILLI
import mintpick.core.SECOND
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
        val world = World(seed, FaultRates(), Size(machines = 10)) { Samples.settings(it) }
        private val alone = world.nodes.single { it.settings.zone == ZONE }
        private val lostFor = HashMap<Transaction, List<SimWorker>>()
        private var hung = emptyList<SimWorker>()

        /** For each requeue that was carried out late: machines it took tasks from, and what they held then. */
        val carriedOut = ArrayList<Pair<String, Set<String>>>()

        fun play() {
            (1..12).forEach { n ->
                val spec = Samples.spec("req-%06d".format(n), team = "blue", tasks = 2, cpus = 2.0, estimateS = 300.0)
                world.after(n * SECOND / 4) { world.user(spec, null) }
            }
            // What ends meanwhile leaves room for the successors.
            (13..18).forEach { n ->
                val spec = Samples.spec("req-%06d".format(n), team = "blue", tasks = 2, cpus = 2.0, estimateS = 50.0)
                world.after(n * SECOND / 4) { world.user(spec, null) }
            }
            world.run(60 * SECOND)
            world.cloud.out = true
            alone.cutFromPeers = true
            hung =
                world.workers.values
                    .filter { it.zone == ZONE && it.held().isNotEmpty() }
                    .take(2)
            hung.forEach { it.hangingUntilUs = Long.MAX_VALUE }
            world.stateTroubles.lost = 1000
            world.stateTroubles.lateUs = LATE..LATE + SECOND
            world.stateTroubles.picks = { node, transaction -> node === alone && isRequeue(transaction) }
            world.stateTroubles.onCarriedOut = { late ->
                lostFor.getValue(late.transaction).forEach { carriedOut += it.id to it.held() }
            }
            world.run(102 * SECOND)
        }

        /** Whether [transaction] takes tasks from machines that hung; they come back once the first such was sent. */
        private fun isRequeue(transaction: Transaction): Boolean {
            val before = world.state.keys().toMap()
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
        ): Set<String> = if (key == null || text == null) emptySet() else world.machinesIn(key, text)

        private fun comeBack(machine: SimWorker) {
            val sent = world.now
            machine.hangingUntilUs = sent + 200 * MILLI + world.random.nextLong(SECOND)
            world.after(AGAIN) { machine.hangingUntilUs = sent + BACK }
        }
    }

    /** `CommandPlanner.requeueSent`: the old attempts were started again there, and then the requeue was carried out. */
    @TestFactory
    fun `a requeue that is carried out late doubles no task of a machine that has come back`() =
        listOf(2L, 11L).map { seed ->
            DynamicTest.dynamicTest("seed $seed") {
                val doubt = Doubt(seed).apply { play() }
                assertTrue(doubt.carriedOut.isNotEmpty(), "no requeue was carried out late")
                assertEquals(
                    emptyList<String>() to emptyList<String>(),
                    doubt.carriedOut.filter { it.second.isNotEmpty() }.map { "$it" } to
                        doubt.world.rules.breaches
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
