package mintpick.engine.capacity

import mintpick.cloud.CloudProtocol
import mintpick.engine.runtime.EngineContext
import mintpick.engine.runtime.TokenBucket

/**
 * The cloud's protocol and this controller's share of the cloud's rate limit. Changes (rentals and releases), which only the
 * leader requests, and reads, which every controller needs, have separate budgets. Event-loop thread only.
 */
class CloudClient(
    context: EngineContext,
) {
    /** Builds the calls and parses their responses. */
    val protocol = CloudProtocol(context.settings.cloud.toString())

    /** Request budget for rentals and releases. */
    val changeBudget = budget(context.settings.cloudRps * CHANGE_SHARE)

    /** This controller's request budget for listing machines and machine types; the read share is split among all controllers. */
    val readBudget = budget(context.settings.cloudRps * READ_SHARE / (context.settings.peers.size + 1))

    private fun budget(perSecond: Double) = TokenBucket(perSecond, maxOf(1.0, perSecond * 2))

    private companion object {
        const val CHANGE_SHARE = 0.45
        const val READ_SHARE = 0.45
    }
}
