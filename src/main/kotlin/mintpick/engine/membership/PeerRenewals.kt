package mintpick.engine.membership

import mintpick.core.Micros
import mintpick.core.NodeId
import mintpick.engine.runtime.EngineContext

/** Which peers have certainly received our hints, and which have lost their leases of the state service. */
internal class PeerRenewals(
    private val context: EngineContext,
) {
    /** Hints of ours that a peer has answered without a break, by when they left. */
    private class AnsweredHints(
        val firstSentUs: Micros,
        val lastSentUs: Micros,
    )

    private val answered = HashMap<NodeId, AnsweredHints>()
    private val leaseAbsentSinceUs = HashMap<NodeId, Micros>()

    /** [node] has answered a hint that left at [sentUs], so it had heard us by then. */
    fun onHintAcknowledged(
        node: NodeId,
        sentUs: Micros,
    ) {
        // By now it has read this one; if that is soon after the one before left, it has heard us all the time.
        val unbroken = answered[node]?.takeIf { it.isUnbroken() }
        answered[node] = AnsweredHints(unbroken?.firstSentUs ?: sentUs, sentUs)
    }

    private fun AnsweredHints.isUnbroken(): Boolean = context.now - lastSentUs < PeerHints.HINT_VALIDITY - CLOCK_MARGIN

    /** Notes which peers the state service has no lease of. */
    fun observeLeases() {
        for (peer in context.settings.peers) {
            val node = NodeId(peer.node)
            if (node in context.cache.nodes) {
                leaseAbsentSinceUs.remove(node)
            } else {
                leaseAbsentSinceUs.putIfAbsent(node, context.now)
            }
        }
    }

    /** Forgets for how long leases have been absent: our records may be out of date. */
    fun clearLeases() = leaseAbsentSinceUs.clear()

    /**
     * Until when a peer in [zone] may have answered agents on our behalf, which it does without a lease for
     * [maxPeerRenewalUs] at most; null: it can't be known. 0 if there is no peer there.
     */
    fun peerRenewalsUntil(
        zone: String?,
        maxPeerRenewalUs: Micros,
    ): Micros? {
        var until: Micros = 0
        for (peer in context.settings.peers) {
            if (peer.zone != zone) continue
            val peerUntil = peerRenewalsUntil(NodeId(peer.node), maxPeerRenewalUs) ?: return null
            until = maxOf(until, peerUntil)
        }
        return until
    }

    private fun peerRenewalsUntil(
        node: NodeId,
        maxPeerRenewalUs: Micros,
    ): Micros? {
        val unbroken = answered[node]?.takeIf { it.isUnbroken() }
        if (unbroken != null) return unbroken.firstSentUs
        return leaseAbsentSinceUs[node]?.let { it + maxPeerRenewalUs }
    }

    private companion object {
        /** Longer than what clocks drift apart between two hints, and than a hint takes to be read. */
        const val CLOCK_MARGIN: Micros = 200_000
    }
}
