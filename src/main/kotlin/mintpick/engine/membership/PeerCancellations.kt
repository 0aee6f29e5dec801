package mintpick.engine.membership

import mintpick.core.JobId
import mintpick.core.Micros
import mintpick.core.NodeId
import mintpick.engine.runtime.EngineContext
import mintpick.engine.state.StateStoreClient
import mintpick.wire.PeerHint

/** Tracks cancellations reported in peer hints, and up to which time all confirmed cancellations are known to this controller. */
internal class PeerCancellations(
    private val context: EngineContext,
    private val stateStore: StateStoreClient,
) {
    /** When a hint last listed the job as cancelled. */
    private val hintedUs = HashMap<JobId, Micros>()

    /**
     * By controller, the send time of the newest hint that it answered with all cancellations in its records. A controller
     * confirms a cancellation only after its own records show it, so every cancellation that it confirmed before that time is
     * known here.
     */
    private val completeFromUs = HashMap<NodeId, Micros>()

    /** Whether a peer has reported a cancellation of [job] that the local records may not show yet. */
    fun isHinted(job: JobId): Boolean = job in hintedUs

    /** Stores the cancellations in the hint of a configured peer. */
    fun onHint(hint: PeerHint) = hint.cancelled.forEach { hintedUs[JobId(it)] = context.now }

    /** Records that a peer has answered a hint sent at [sentUs], if its answer lists all cancellations in its records. */
    fun onHintAnswer(
        hint: PeerHint,
        sentUs: Micros,
    ) {
        if (hint.cancelledIsComplete) completeFromUs.merge(NodeId(hint.node), sentUs, ::maxOf)
    }

    /** Removes reported cancellations that the local records are recent enough to show. */
    fun forgetRecorded() {
        val cacheAsOfUs = stateStore.cacheAsOfUs ?: return
        if (hintedUs.isNotEmpty()) hintedUs.values.removeIf { it < cacheAsOfUs }
    }

    /**
     * How long ago a cancellation that is unknown here may have been confirmed at most, in microseconds. Cancellations
     * confirmed earlier are known from the local records or from the answers of all peers. A peer that has not answered,
     * or that has restarted and not loaded the records yet, may have confirmed any.
     */
    fun unknownForUs(): Micros {
        val byAnswersUs = context.settings.peers.minOfOrNull { completeFromUs[NodeId(it.node)] ?: 0 } ?: context.now
        return context.now - maxOf(stateStore.cacheAsOfUs ?: 0, byAnswersUs)
    }
}
