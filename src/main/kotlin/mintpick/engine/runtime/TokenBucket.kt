package mintpick.engine.runtime

import mintpick.core.Micros

/**
 * A token bucket. It starts full and is refilled with [perSecond] tokens per second, up to [burst]. Times are in microseconds
 * of the monotonic clock and must never decrease. Event-loop thread only.
 */
class TokenBucket(
    private val perSecond: Double,
    private val burst: Double,
) {
    private var tokens = burst
    private var refilledUs: Micros = 0

    /** Number of tokens at [now]; negative while [charge] has overdrawn the bucket. */
    fun available(now: Micros): Double {
        tokens = minOf(burst, tokens + (now - refilledUs) * perSecond / MICROS_PER_SECOND)
        refilledUs = now
        return tokens
    }

    /** Takes [amount] tokens if they are available at [now]; returns false otherwise. */
    fun take(
        now: Micros,
        amount: Double,
    ): Boolean {
        if (available(now) < amount) return false
        tokens -= amount
        return true
    }

    /** Takes [amount] tokens at [now] even if they are not available. [take] then fails until they have been refilled. */
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
