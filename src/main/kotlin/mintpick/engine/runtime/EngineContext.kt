package mintpick.engine.runtime

import mintpick.config.Settings
import mintpick.core.Micros
import mintpick.core.NodeId
import mintpick.engine.cache.LocalCache
import mintpick.net.Answer
import mintpick.net.Call
import mintpick.net.Outcome
import java.util.random.RandomGenerator

/**
 * What all parts of the engine share: settings, the clock of the current step, the local cache of the records, and the
 * way to the outside. Event-loop thread only.
 */
class EngineContext(
    val settings: Settings,
    val random: RandomGenerator,
) {
    /** This controller. */
    val self = NodeId(settings.node)

    /** The copy of the state service's records; another object after each [resetCache]. */
    var cache = LocalCache()
        private set

    /** Steady time of the current step, in microseconds. */
    var now: Micros = 0
        private set

    /** Time of day of the current step, in microseconds since the epoch. */
    var wallClockUs: Micros = 0
        private set
    private val effects = ArrayList<Effect>()
    private val callbacks = HashMap<Long, (Outcome) -> Unit>()
    private var lastCall = 0L

    /** Begins a step at steady time [now] and time of day [wallClockUs], both in microseconds. */
    fun startStep(
        now: Micros,
        wallClockUs: Micros,
    ) {
        this.now = now
        this.wallClockUs = wallClockUs
    }

    /** The effects since the last call of this function, in the order in which they were asked for. */
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

    /** Starts [call] at the end of this step; [then] gets its outcome in a later one. */
    fun call(
        call: Call,
        then: (Outcome) -> Unit,
    ) {
        val id = ++lastCall
        callbacks[id] = then
        effects += Effect.Start(id, call)
    }

    /** Hands the outcome of call [id] to who started it; an unknown id, or one that has ended already, is ignored. */
    fun callDone(
        id: Long,
        outcome: Outcome,
    ) {
        callbacks.remove(id)?.invoke(outcome)
    }

    /** Empties the cache by replacing it: changes were missed that the state service's log no longer has. */
    fun resetCache() {
        cache = LocalCache()
    }
}
