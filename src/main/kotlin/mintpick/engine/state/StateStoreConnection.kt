package mintpick.engine.state

import mintpick.core.MILLI
import mintpick.core.Micros
import mintpick.engine.runtime.EngineContext
import mintpick.net.Call
import mintpick.net.Outcome
import mintpick.store.StateProtocol
import mintpick.store.StateResult

/** Connection to the state store: its protocol, this controller's request limits and the request statistics. Event-loop thread only. */
class StateStoreConnection(
    val context: EngineContext,
) {
    val protocol = StateProtocol(context.settings.state.toString())
    val limits = RequestLimits(context)
    val statistics = RequestStatistics(context)

    /**
     * Sends [call] regardless of the request limit, but counts it against the limit. [onResult] receives the answer decoded by
     * [read] in a later step, after the statistics have recorded it.
     */
    fun <T> request(
        call: Call,
        read: (Outcome) -> StateResult<T>,
        onResult: (StateResult<T>) -> Unit,
    ) {
        val sent = context.now
        limits.chargeRequest()
        context.call(call) { outcome ->
            val result = read(outcome)
            statistics.recordResult(sent, result)
            onResult(result)
        }
    }

    companion object {
        /** Delay before a failed request is repeated. */
        const val RETRY_DELAY: Micros = 250 * MILLI
    }
}
