package mintpick.soak

import mintpick.core.MILLI
import mintpick.core.Micros
import mintpick.testing.SimulatedStateStore
import java.util.SplittableRandom
import java.util.concurrent.ScheduledExecutorService

/**
 * Serves [store] over HTTP, at an address of its own for each controller, so that faults can affect single controllers. Every access to
 * [store] holds [lock].
 */
internal class StandInStateStore(
    private val store: SimulatedStateStore,
    private val lock: Any,
    private val timer: ScheduledExecutorService,
    private val random: SplittableRandom,
    private val nowUs: () -> Micros,
    private val repeats: RepeatedExecutions,
    private val faultsOf: (Int) -> ControllerFaults,
) : AutoCloseable {
    private val servers = ArrayList<StandInServer>()

    init {
        tick()
    }

    /** Opens the address for controller [index]. */
    fun addressFor(index: Int): String = StandInServer(timer) { request -> handle(faultsOf(index), request) }.also { servers += it }.address

    private fun tick() {
        synchronized(lock) { store.tick(nowUs()) }
        timer.after(TICK) { tick() }
    }

    private fun handle(
        faults: ControllerFaults,
        request: StandInRequest,
    ) {
        when {
            // The request hangs, as behind a network partition.
            faults.cutFromState -> timer.after(HANGING_TIME) { request.drop() }
            isWatch(request) && faults.refusedByState -> timer.after(WATCH_RETRY) { handle(faults, request) }
            faults.refusedByState -> request.reply(REFUSED, "{}")
            request.path == "/multi" && random.occurs(faults.lateTransactions) -> executeLate(request)
            else -> execute(faults, request)
        }
    }

    private fun isWatch(request: StandInRequest): Boolean = request.path.startsWith("/follow") && !request.path.endsWith("wait_ms=0")

    private fun executeUnanswered(request: StandInRequest) =
        synchronized(lock) { store.request(nowUs(), request.method, request.path, request.body) { } }

    private fun executeLate(request: StandInRequest) {
        timer.after(random.seconds(2, 6)) { executeUnanswered(request) }
        timer.after(HANGING_TIME) { request.drop() }
    }

    private fun execute(
        faults: ControllerFaults,
        request: StandInRequest,
    ) = synchronized(lock) {
        store.request(nowUs(), request.method, request.path, request.body) { answer ->
            if (request.method != "GET" && answer.status == OK) repeats.onAnswered { executeUnanswered(request) }
            when {
                random.occurs(faults.lostAnswers) -> timer.after(HANGING_TIME) { request.drop() }
                else -> timer.after(faults.stateDelayUs) { request.reply(answer.status, answer.body) }
            }
        }
    }

    override fun close() = servers.forEach { it.close() }

    private companion object {
        const val OK = 200
        const val REFUSED = 503
        const val TICK: Micros = 20 * MILLI
        const val WATCH_RETRY: Micros = 200 * MILLI
        const val HANGING_TIME: Micros = 5_000 * MILLI
    }
}
