package mintpick.engine.state

import mintpick.engine.runtime.EngineContext
import mintpick.engine.runtime.TokenBucket

/**
 * This controller's share of the state service's limits: requests and written keys per second, divided evenly between all
 * controllers of the settings. Event-loop thread only.
 */
class RequestLimits(
    private val context: EngineContext,
) {
    private val controllers = context.settings.peers.size + 1
    private val requests = bucket(context.settings.limits.rps * REQUEST_SHARE / controllers)
    private val writes = bucket(context.settings.limits.writeRps * WRITE_SHARE / controllers)

    private fun bucket(perSecond: Double) = TokenBucket(perSecond, perSecond)

    /** Requests that the limit allows now; below zero after [chargeRequest] has overdrawn it. */
    fun requestsAvailable(): Double = requests.available(context.now)

    /** Written keys that the limit allows now; below zero after [chargeWrites] has overdrawn it. */
    fun writesAvailable(): Double = writes.available(context.now)

    /** Takes one request if the limit allows it; false if not. */
    fun tryAcquireRequest(): Boolean = requests.take(context.now, 1.0)

    /** Counts one request that must leave in any case; later ones that use [tryAcquireRequest] wait for it. */
    fun chargeRequest() = requests.charge(context.now, 1.0)

    /** Counts [count] written keys that leave in any case. */
    fun chargeWrites(count: Int) = writes.charge(context.now, count.toDouble())

    private companion object {
        /** Part of the request limit that controllers plan for; the rest is for leases and bursts. */
        const val REQUEST_SHARE = 0.9

        /** Part of the write limit that controllers plan for. */
        const val WRITE_SHARE = 1.0
    }
}
