package mintpick.engine.runtime

import mintpick.config.Settings
import mintpick.core.Micros
import mintpick.core.NodeId
import mintpick.engine.cache.LocalCache
import mintpick.net.Answer
import mintpick.net.Call
import mintpick.net.Outcome
import java.util.random.RandomGenerator

/** What all parts of the engine share: settings, the clock of the current step, and the way to the outside. */
class EngineContext(
    val settings: Settings,
    val random: RandomGenerator,
) {
    val me = NodeId(settings.node)
    var cache = LocalCache()
        private set

    /** Steady time of the current step. */
    var now: Micros = 0
        private set

    /** Time of day of the current step. */
    var wall: Micros = 0
        private set
    private val effects = ArrayList<Effect>()
    private val waiting = HashMap<Long, (Outcome) -> Unit>()
    private var lastCall = 0L

    fun begin(
        now: Micros,
        wall: Micros,
    ) {
        this.now = now
        this.wall = wall
    }

    fun takeEffects(): List<Effect> = effects.toList().also { effects.clear() }

    fun send(
        reply: ReplyTo,
        answer: Answer,
    ) {
        effects += Effect.Send(reply, answer)
    }

    /** Starts a call; [then] runs in a later step on the owner's thread. */
    fun call(
        call: Call,
        then: (Outcome) -> Unit,
    ) {
        val id = ++lastCall
        waiting[id] = then
        effects += Effect.Start(id, call)
    }

    fun callDone(
        id: Long,
        outcome: Outcome,
    ) {
        waiting.remove(id)?.invoke(outcome)
    }

    /** Starts the copy of the records anew: changes were missed that the state service no longer has. */
    fun resetCache() {
        cache = LocalCache()
    }
}

/** A token bucket over the engine's clock. */
class TokenBucket(
    private val perSecond: Double,
    private val burst: Double,
) {
    private var level = burst
    private var at: Micros = 0

    fun available(now: Micros): Double {
        level = minOf(burst, level + (now - at) * perSecond / US)
        at = now
        return level
    }

    fun take(
        now: Micros,
        amount: Double,
    ): Boolean {
        if (available(now) < amount) return false
        level -= amount
        return true
    }

    /** Takes even what is not there; later takers wait for it. */
    fun force(
        now: Micros,
        amount: Double,
    ) {
        available(now)
        level -= amount
    }

    companion object {
        private const val US = 1e6
    }
}
