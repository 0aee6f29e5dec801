package mintpick.testing

import mintpick.core.MILLI
import mintpick.core.Micros
import mintpick.core.SECOND
import mintpick.net.Call
import mintpick.wire.Transaction
import mintpick.wire.WireJson
import java.util.SplittableRandom

/** What goes wrong between the controllers and the state service. All odds are thousandths. */
class StateStoreFaults(
    private val cluster: SimulatedCluster,
) {
    /** A transaction that got no answer; [status] is what became of it, null as long as it is under way. */
    class Lost(
        val node: String,
        val transaction: Transaction,
        var status: Int? = null,
    )

    private val random = SplittableRandom(4711)

    /** Transactions that are carried out [lateUs] later, or at once if [atOnce], and get no answer. */
    var lost = 0
    var atOnce = false
    var lateUs: LongRange = LATE_LEAST..LATE_MOST

    /** Hears which of them took effect, as that happens. */
    var onCarriedOut: (Lost) -> Unit = {}

    /** Which transactions may be lost. */
    var picks: (SimulatedCluster.Node, Transaction) -> Boolean = { _, _ -> true }

    /** Answers that take hundreds of milliseconds up to three seconds; watches too. */
    var slow = 0

    /** Is refused while the others are served: its open watches wait, and its leases run out. */
    var refused: SimulatedCluster.Node? = null
    val lostTransactions = ArrayList<Lost>()
    var slowAnswers = 0
        private set

    /** Those that took effect after the given status came of them. */
    fun carriedOut(): List<Lost> = lostTransactions.filter { it.status == OK }

    /** A request has arrived: [arrival] carries it out and gives the answer to whom it is passed. */
    internal fun pass(
        from: SimulatedCluster.Node,
        call: Call,
        reply: (Int, ByteArray) -> Unit,
        arrival: ((Int, ByteArray) -> Unit) -> Unit,
    ) {
        val isWatch = call.path.startsWith("/follow") && !call.path.endsWith("wait_ms=0")
        if (refused === from) {
            return if (isWatch) cluster.after(HELD) { pass(from, call, reply, arrival) } else reply(REFUSED, ByteArray(0))
        }
        if (call.path == "/multi" && lose(from, call, arrival)) return
        if (!hit(slow)) return arrival { status, body -> give(from, isWatch, call, arrival, status, body, reply) }
        slowAnswers++
        val delay = SLOW_LEAST + random.nextLong(SLOW_MOST - SLOW_LEAST)
        // Either way counts: what is carried out at once and answered late, and what is carried out late.
        if (random.nextBoolean()) cluster.after(delay) { arrival(reply) } else arrival { s, b -> cluster.after(delay) { reply(s, b) } }
    }

    /** A watch that was open when its controller came to be refused tells nothing until that is over. */
    private fun give(
        from: SimulatedCluster.Node,
        isWatch: Boolean,
        call: Call,
        arrival: ((Int, ByteArray) -> Unit) -> Unit,
        status: Int,
        body: ByteArray,
        reply: (Int, ByteArray) -> Unit,
    ) = if (isWatch && refused === from) pass(from, call, reply, arrival) else reply(status, body)

    private fun lose(
        from: SimulatedCluster.Node,
        call: Call,
        arrival: ((Int, ByteArray) -> Unit) -> Unit,
    ): Boolean {
        if (lost == 0) return false
        val transaction = WireJson.decodeFromString(Transaction.serializer(), requireNotNull(call.body).decodeToString())
        if (!picks(from, transaction) || !hit(lost)) return false
        val noted = Lost(from.name, transaction).also { lostTransactions += it }
        val carryOut = {
            arrival { status, _ ->
                noted.status = status
                if (status == OK) onCarriedOut(noted)
            }
        }
        if (atOnce) carryOut() else cluster.after(lateUs.first + random.nextLong(lateUs.last - lateUs.first), carryOut)
        return true
    }

    private fun hit(thousandths: Int): Boolean = thousandths > 0 && random.nextInt(1000) < thousandths

    private companion object {
        const val OK = 200
        const val REFUSED = 503
        const val HELD: Micros = 100 * MILLI
        const val SLOW_LEAST: Micros = 200 * MILLI
        const val SLOW_MOST: Micros = 3 * SECOND
        const val LATE_LEAST: Micros = 2 * SECOND
        const val LATE_MOST: Micros = 12 * SECOND
    }
}
