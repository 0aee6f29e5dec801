package mintpick.engine.membership

import mintpick.core.JobId
import mintpick.core.Micros
import mintpick.core.NodeId
import mintpick.engine.runtime.EngineContext
import mintpick.engine.state.StateStoreClient
import mintpick.wire.PeerHint

/** Cancellations that other controllers have hinted at, and up to when all confirmed cancellations are known here. */
internal class PeerCancellations(
    private val context: EngineContext,
    private val stateStore: StateStoreClient,
) {
    /** When a peer last hinted at the cancellation of a job. */
    private val hintedUs = HashMap<JobId, Micros>()

    /**
     * By controller, when our newest hint left that it answered with all cancellations that its records show. A
     * controller confirms a cancellation only once its own records show it, so none that it confirmed before is unknown here.
     */
    private val completeFromUs = HashMap<NodeId, Micros>()

    /** Whether a peer has hinted at a cancellation of [job] that our records may not show yet. */
    fun isHinted(job: JobId): Boolean = job in hintedUs

    /** Takes in the cancellations of a configured peer's hint. */
    fun onHint(hint: PeerHint) = hint.cancelled.forEach { hintedUs[JobId(it)] = context.now }

    /** Takes in whether the answer to a hint of ours that left at [sentUs] held all cancellations that the peer confirmed. */
    fun onHintAnswer(
        hint: PeerHint,
        sentUs: Micros,
    ) {
        if (hint.cancelledIsComplete) completeFromUs.merge(NodeId(hint.node), sentUs, ::maxOf)
    }

    /** Forgets the hints that our own records are new enough to show. */
    fun forgetRecorded() {
        val recordsKnownUs = stateStore.cacheAsOfUs ?: return
        if (hintedUs.isNotEmpty()) hintedUs.values.removeIf { it < recordsKnownUs }
    }

    /**
     * For how long a cancellation that is not known here may have been confirmed, in microseconds. None was before that: by
     * our own records, or by what every other controller has answered since. A controller that was not heard, or that has
     * restarted and could not load the records yet, may have confirmed any.
     */
    fun unknownForUs(): Micros {
        val byAnswersUs = context.settings.peers.minOfOrNull { completeFromUs[NodeId(it.node)] ?: 0 } ?: context.now
        return context.now - maxOf(stateStore.cacheAsOfUs ?: 0, byAnswersUs)
    }
}
