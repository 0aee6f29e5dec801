package mintpick.testing

import mintpick.core.MILLI
import mintpick.core.Micros
import mintpick.core.SECOND
import mintpick.net.Call
import mintpick.wire.Transaction
import mintpick.wire.WireJson
import java.util.SplittableRandom

/** Faults between the controllers and the state store. All rates are in thousandths. */
class StateStoreFaults(
    private val cluster: SimulatedCluster,
) {
    /** A transaction without an answer. [status] is the store's answer, null until the transaction is executed. */
    class LostTransaction(
        val node: String,
        val transaction: Transaction,
        var status: Int? = null,
    )

    /** Observes transactions on their way, and may hold them up or take away their answers. */
    interface Observer {
        /** [transaction] of [from] is about to be executed; returns after how long it is, without an answer, or null for now. */
        fun delayOf(
            from: SimulatedCluster.Node,
            transaction: Transaction,
        ): Micros?

        /** [transaction] of [from] has been committed; returns whether [from] gets the answer. */
        fun isAnswered(
            from: SimulatedCluster.Node,
            transaction: Transaction,
        ): Boolean
    }

    private val random = SplittableRandom(4711)

    /** Observer of all transactions that are not lost otherwise; null: none. */
    var observer: Observer? = null

    /** Rate of transactions that get no answer. They are executed after [applyDelayUs], or immediately if [appliesImmediately]. */
    var lossRate = 0
    var appliesImmediately = false
    var applyDelayUs: LongRange = MIN_APPLY_DELAY..MAX_APPLY_DELAY

    /** Called when a transaction without an answer takes effect. */
    var onApplied: (LostTransaction) -> Unit = {}

    /** Selects the transactions that may get no answer. */
    var mayLose: (SimulatedCluster.Node, Transaction) -> Boolean = { _, _ -> true }

    /** Rate of requests, including watches, that take 200 ms to 3 s. */
    var slowRate = 0

    /** Controller whose requests are refused while the others are served. Its open watches wait, and its leases expire. */
    var refusedNode: SimulatedCluster.Node? = null
    val lostTransactions = ArrayList<LostTransaction>()

    /** Number of requests slowed down by [slowRate]. */
    var slowAnswers = 0
        private set

    /** Transactions without an answer that have taken effect. */
    fun applied(): List<LostTransaction> = lostTransactions.filter { it.status == OK }

    /** Handles the arrival of a request. [execute] executes it and passes the answer to its argument; [reply] answers [from]. */
    internal fun intercept(
        from: SimulatedCluster.Node,
        call: Call,
        reply: (Int, ByteArray) -> Unit,
        execute: ((Int, ByteArray) -> Unit) -> Unit,
    ) {
        val isWatch = call.path.startsWith("/follow") && !call.path.endsWith("wait_ms=0")
        if (refusedNode === from) {
            return if (isWatch) cluster.after(WATCH_RETRY) { intercept(from, call, reply, execute) } else reply(REFUSED, ByteArray(0))
        }
        if (call.path == "/multi" && loseIfDrawn(from, call, execute)) return
        val observer = observer
        if (call.path == "/multi" && observer != null) return observe(observer, from, call, reply, execute)
        if (!occurs(slowRate)) return execute { status, body -> replyUnlessRefused(from, isWatch, call, execute, status, body, reply) }
        slowAnswers++
        val delay = MIN_SLOW + random.nextLong(MAX_SLOW - MIN_SLOW)
        // Both cases matter: a request executed at once and answered late, and one executed late.
        if (random.nextBoolean()) cluster.after(delay) { execute(reply) } else execute { s, b -> cluster.after(delay) { reply(s, b) } }
    }

    private fun observe(
        observer: Observer,
        from: SimulatedCluster.Node,
        call: Call,
        reply: (Int, ByteArray) -> Unit,
        execute: ((Int, ByteArray) -> Unit) -> Unit,
    ) {
        val transaction = transactionIn(call)
        val delay = observer.delayOf(from, transaction)
        if (delay != null) return cluster.after(delay) { execute { _, _ -> } }
        execute { status, body ->
            val isAnswered = status != OK || observer.isAnswered(from, transaction)
            if (isAnswered) reply(status, body)
        }
    }

    private fun transactionIn(call: Call): Transaction =
        WireJson.decodeFromString(Transaction.serializer(), requireNotNull(call.body).decodeToString())

    /** Answers the request. A watch whose controller is now refused is repeated until it no longer is. */
    private fun replyUnlessRefused(
        from: SimulatedCluster.Node,
        isWatch: Boolean,
        call: Call,
        execute: ((Int, ByteArray) -> Unit) -> Unit,
        status: Int,
        body: ByteArray,
        reply: (Int, ByteArray) -> Unit,
    ) = if (isWatch && refusedNode === from) intercept(from, call, reply, execute) else reply(status, body)

    private fun loseIfDrawn(
        from: SimulatedCluster.Node,
        call: Call,
        execute: ((Int, ByteArray) -> Unit) -> Unit,
    ): Boolean {
        if (lossRate == 0) return false
        val transaction = transactionIn(call)
        if (!mayLose(from, transaction) || !occurs(lossRate)) return false
        val lost = LostTransaction(from.name, transaction).also { lostTransactions += it }
        val applyTransaction = {
            execute { status, _ ->
                lost.status = status
                if (status == OK) onApplied(lost)
            }
        }
        if (appliesImmediately) {
            applyTransaction()
        } else {
            cluster.after(applyDelayUs.first + random.nextLong(applyDelayUs.last - applyDelayUs.first), applyTransaction)
        }
        return true
    }

    private fun occurs(thousandths: Int): Boolean = thousandths > 0 && random.nextInt(1000) < thousandths

    private companion object {
        const val OK = 200
        const val REFUSED = 503
        const val WATCH_RETRY: Micros = 100 * MILLI
        const val MIN_SLOW: Micros = 200 * MILLI
        const val MAX_SLOW: Micros = 3 * SECOND
        const val MIN_APPLY_DELAY: Micros = 2 * SECOND
        const val MAX_APPLY_DELAY: Micros = 12 * SECOND
    }
}
