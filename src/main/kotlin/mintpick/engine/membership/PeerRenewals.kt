package mintpick.engine.membership

import mintpick.core.Micros
import mintpick.core.NodeId
import mintpick.engine.runtime.EngineContext

/**
 * Determines until when peers may have renewed leases of this controller's agents on its behalf. A peer does so only while
 * it receives no hints from this controller and has no contact to the state store. This class therefore tracks which peers
 * answer hints and which have no lease in the state store.
 */
internal class PeerRenewals(
    private val context: EngineContext,
) {
    /** Send times of the first and the last hint in a sequence that a peer has answered without a gap. */
    private class AnsweredSequence(
        val firstSentUs: Micros,
        val lastSentUs: Micros,
    )

    private val answered = HashMap<NodeId, AnsweredSequence>()
    private val leaseAbsentSinceUs = HashMap<NodeId, Micros>()

    /** Records that [node] has answered a hint sent at [sentUs], which proves that it received the hint. */
    fun onHintAcknowledged(
        node: NodeId,
        sentUs: Micros,
    ) {
        // The peer has received this hint by now. If the previous one was sent less than the validity of a hint ago, the
        // peer had a valid hint of this controller all the time in between.
        val unbroken = answered[node]?.takeIf { it.isUnbroken() }
        answered[node] = AnsweredSequence(unbroken?.firstSentUs ?: sentUs, sentUs)
    }

    private fun AnsweredSequence.isUnbroken(): Boolean = context.now - lastSentUs < PeerHints.HINT_VALIDITY - CLOCK_MARGIN

    /** Records which peers have no lease in the state store. */
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

    /** Discards the times since which leases are absent, because the local records may be out of date. */
    fun clearLeases() = leaseAbsentSinceUs.clear()

    /**
     * Until when a peer in [zone] may have renewed leases of this controller's agents; null if unknown, 0 if there is no
     * peer in the zone. A peer without a lease in the state store renews them for [maxPeerRenewalUs] at most.
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
        /** More than the clock drift between two hints, and more than a peer takes to process a hint. */
        const val CLOCK_MARGIN: Micros = 200_000
    }
}
