package mintpick.engine.state

import mintpick.engine.runtime.EngineContext
import mintpick.engine.runtime.TokenBucket

/**
 * This controller's share of the state store's limits on requests and written keys per second. The limits are divided evenly
 * between all controllers of the settings. Event-loop thread only.
 */
class RequestLimits(
    private val context: EngineContext,
) {
    private val controllers = context.settings.peers.size + 1
    private val requests = bucket(context.settings.limits.rps * REQUEST_SHARE / controllers)

    /** Number of written keys by which this controller's share grows in a second. */
    val writesPerSecond: Double = context.settings.limits.writeRps * WRITE_SHARE / controllers

    /** At least one whole update of a job, which could otherwise never be sent where the share of a controller is small. */
    private val writeBurst = maxOf(writesPerSecond, minOf(MAX_UPDATE_WRITES, context.settings.limits.transactionOps).toDouble())
    private val writes = TokenBucket(writesPerSecond, writeBurst)

    /** The most written keys that the limit ever allows at once. No transaction that waits for the limit may need more. */
    val maxWrites: Int = writeBurst.toInt()

    private fun bucket(perSecond: Double) = TokenBucket(perSecond, perSecond)

    /** Number of requests that the limit allows now; negative after [chargeRequest] has overdrawn it. */
    fun requestsAvailable(): Double = requests.available(context.now)

    /** Number of written keys that the limit allows now; negative after [chargeWrites] has overdrawn it. */
    fun writesAvailable(): Double = writes.available(context.now)

    /** Consumes one request if the limit allows it; returns false otherwise. */
    fun tryAcquireRequest(): Boolean = requests.take(context.now, 1.0)

    /**
     * Consumes one request even if that overdraws the limit, for a request that must be sent in any case. [tryAcquireRequest]
     * returns false until the limit has recovered.
     */
    fun chargeRequest() = requests.charge(context.now, 1.0)

    /** Consumes [count] written keys even if that overdraws the limit. */
    fun chargeWrites(count: Int) = writes.charge(context.now, count.toDouble())

    companion object {
        /** Records that the largest update of one job writes: its main record, chunks and its team's reservation. */
        const val MAX_UPDATE_WRITES = 8

        /** Fraction of the request limit that controllers plan to use; the rest is reserved for leases and bursts. */
        private const val REQUEST_SHARE = 0.9

        /** Fraction of the write limit that controllers plan to use. */
        private const val WRITE_SHARE = 1.0
    }
}
