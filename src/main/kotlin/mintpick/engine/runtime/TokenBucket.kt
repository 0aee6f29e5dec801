package mintpick.engine.runtime

import mintpick.core.Micros

/**
 * A token bucket over the engine's clock: it fills by [perSecond] tokens a second up to [burst], and starts full. Times are
 * microseconds of the steady clock and never go back. Event-loop thread only.
 */
class TokenBucket(
    private val perSecond: Double,
    private val burst: Double,
) {
    private var tokens = burst
    private var refilledUs: Micros = 0

    /** Tokens at [now]; below zero after [force] has overdrawn them. */
    fun available(now: Micros): Double {
        tokens = minOf(burst, tokens + (now - refilledUs) * perSecond / MICROS_PER_SECOND)
        refilledUs = now
        return tokens
    }

    /** Takes [amount] tokens if that many are there at [now]; false if not. */
    fun take(
        now: Micros,
        amount: Double,
    ): Boolean {
        if (available(now) < amount) return false
        tokens -= amount
        return true
    }

    /** Takes [amount] tokens at [now] even if they are not there; who uses [take] later waits for them. */
    fun charge(
        now: Micros,
        amount: Double,
    ) {
        available(now)
        tokens -= amount
    }

    private companion object {
        const val MICROS_PER_SECOND = 1e6
    }
}
