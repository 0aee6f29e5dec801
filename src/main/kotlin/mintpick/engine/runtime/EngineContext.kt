package mintpick.engine.runtime

import mintpick.config.Settings
import mintpick.core.MemoryBudget
import mintpick.core.Micros
import mintpick.core.NodeId
import mintpick.engine.cache.LocalCache
import mintpick.net.Answer
import mintpick.net.Call
import mintpick.net.Outcome
import java.util.random.RandomGenerator

/**
 * Shared by all parts of the engine: settings, the parts of the memory, the clocks of the current step, the local cache of the state store's records,
 * and the effects to perform after the step. Event-loop thread only.
 */
class EngineContext(
    val settings: Settings,
    val random: RandomGenerator,
    val memory: MemoryBudget = MemoryBudget(),
) {
    /** The identifier of this controller. */
    val self = NodeId(settings.node)

    /** What this engine has done since the last report, for the log. */
    val metrics = EngineMetrics()

    /** The local copy of the state store's records. [resetCache] replaces it by a new object. */
    var cache = LocalCache()
        private set

    /** Monotonic clock at the current step, in microseconds. */
    var now: Micros = 0
        private set

    /** Wall clock at the current step, in microseconds since 1970. */
    var wallClockUs: Micros = 0
        private set
    private val effects = ArrayList<Effect>()
    private val pendingCalls = PendingCalls()
    private var lastCall = 0L

    /** Starts a step at the monotonic time [now] and the wall-clock time [wallClockUs], both in microseconds. */
    fun startStep(
        now: Micros,
        wallClockUs: Micros,
    ) {
        this.now = now
        this.wallClockUs = wallClockUs
    }

    /** Removes and returns all effects requested since the last call, in the order of the requests. */
    fun takeEffects(): List<Effect> {
        val taken = effects.toList()
        effects.clear()
        return taken
    }

    /** Answers a request at the end of this step. */
    fun send(
        reply: ReplyTo,
        answer: Answer,
    ) {
        effects += Effect.Send(reply, answer)
    }

    /** Starts [call] at the end of this step; [then] receives its outcome in a later step. */
    fun call(
        call: Call,
        then: (Outcome) -> Unit,
    ) {
        val id = ++lastCall
        pendingCalls.add(id, now + PendingCalls.patienceFor(call), then)
        effects += Effect.Start(id, call)
    }

    /** Passes the outcome of call [id] to the callback given with the call. Unknown and already completed calls are ignored. */
    fun callDone(
        id: Long,
        outcome: Outcome,
    ) {
        pendingCalls.remove(id)?.invoke(outcome)
    }

    /** Ends calls whose outcomes are missing for much longer than the calls can take, as unanswered. Must be called in each step. */
    fun expireCalls() = pendingCalls.takeOverdue(now).forEach { it(Outcome.Unanswered) }

    /** Replaces the cache by an empty one. Needed after missing changes that the state store's log no longer contains. */
    fun resetCache() {
        cache = LocalCache()
    }
}
