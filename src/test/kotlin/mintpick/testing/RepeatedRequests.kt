package mintpick.testing

import mintpick.core.MILLI
import mintpick.core.Micros
import mintpick.core.SECOND
import mintpick.net.Call
import mintpick.net.Target
import mintpick.wire.CommandBatch
import mintpick.wire.Verb
import mintpick.wire.WireJson
import java.util.SplittableRandom
import kotlin.math.exp
import kotlin.math.ln

/**
 * Executes requests of controllers that were carried out and answered once more, whether or not their sender still lives. Nobody
 * waits for the second answer. All rates are in thousandths.
 */
class RepeatedRequests(
    private val cluster: SimulatedCluster,
    private val execute: (Call, (Int, ByteArray) -> Unit) -> Unit,
) {
    /** A request that was carried out at [atUs]. [secondStatus] is the status of its second execution, null until then. */
    class Request(
        val from: SimulatedCluster.Node,
        val call: Call,
        val atUs: Micros,
    ) {
        var secondStatus: Int? = null

        /** Whether this is a direct command that starts a task of [job]. */
        fun startsTaskOf(job: String): Boolean {
            if (call.target !is Target.Worker) return false
            val batch = WireJson.decodeFromString(CommandBatch.serializer(), requireNotNull(call.body).decodeToString())
            return batch.commands.any { it.verb == Verb.START && it.task.substringBeforeLast('/') == job }
        }
    }

    private val random = SplittableRandom(4712)

    /** Rate of requests that are executed again from a moment to minutes later. */
    var rate = 0

    /** Rate of the requests of the last minutes that are executed again when their sender or the machine they went to is back. */
    var returnRate = 0

    /** Selects the requests that may be executed again. */
    var mayRepeat: (SimulatedCluster.Node, Call) -> Boolean = { _, _ -> true }

    /** Whether requests are kept for [returnRate] and [repeatKept]. */
    var keepsRequests = false
    private val kept = ArrayDeque<Request>()

    /** Rate of users' requests that are delivered again from a moment to minutes later. */
    var userRate = 0

    /** Number of users' requests that were delivered again. */
    var repeatedUserRequests = 0
        private set

    /** Requests that were executed a second time. */
    val repeated = ArrayList<Request>()

    /** Must be called when [call] of [from] was answered with [status]. */
    internal fun onAnswered(
        from: SimulatedCluster.Node,
        call: Call,
        status: Int,
    ) {
        if (status != OK || call.method == "GET" || !mayRepeat(from, call)) return
        val request = Request(from, call, cluster.now)
        if (occurs(rate)) return cluster.after(randomDelay()) { repeat(request) }
        if (keepsRequests || returnRate > 0) keep(request)
    }

    /** Must be called when a user's request was answered; [again] delivers it once more. */
    internal fun onUserAnswered(again: () -> Unit) {
        if (!occurs(userRate)) return
        cluster.after(randomDelay()) {
            again()
            repeatedUserRequests++
        }
    }

    /** From a moment to minutes; each order of magnitude is equally likely. */
    private fun randomDelay(): Micros = exp(ln(MIN_DELAY) + random.nextDouble() * (ln(MAX_DELAY) - ln(MIN_DELAY))).toLong()

    private fun keep(request: Request) {
        kept.addLast(request)
        while (kept.size > MAX_KEPT || kept.first().atUs < cluster.now - MAX_DELAY.toLong()) kept.removeFirst()
    }

    /** Must be called when the process of [node] starts again after [downUs]. */
    internal fun onReturn(
        node: SimulatedCluster.Node,
        downUs: Micros,
    ) {
        if (returnRate > 0 && downUs < SECOND) repeatKept(returnRate) { it.from === node }
    }

    /** Must be called when the machine with the agent at [address] goes on after a moment. */
    internal fun onReturn(address: String) {
        if (returnRate > 0) repeatKept(returnRate) { (it.call.target as? Target.Worker)?.address == address }
    }

    /** Executes kept requests for which [isChosen] holds again within a moment, each with probability [thousandths]. */
    fun repeatKept(
        thousandths: Int = ALL,
        isChosen: (Request) -> Boolean,
    ) {
        val chosen = kept.filter { isChosen(it) && occurs(thousandths) }
        kept.removeAll(chosen.toSet())
        chosen.forEach { cluster.after(random.nextLong(SECOND)) { repeat(it) } }
    }

    /** Executes each kept request for which [isChosen] holds again, now and every second from now on. */
    fun repeatEverySecond(isChosen: (Request) -> Boolean) {
        kept.filter(isChosen).forEach(::repeat)
        cluster.after(SECOND) { repeatEverySecond(isChosen) }
    }

    private fun repeat(request: Request) {
        repeated += request
        execute(request.call) { status, _ -> request.secondStatus = status }
    }

    private fun occurs(thousandths: Int): Boolean = thousandths > 0 && random.nextInt(ALL) < thousandths

    private companion object {
        const val OK = 200
        const val ALL = 1000
        const val MAX_KEPT = 2_000
        const val MIN_DELAY = 10.0 * MILLI
        const val MAX_DELAY = 120.0 * SECOND
    }
}
