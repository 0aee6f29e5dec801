package mintpick.engine.membership

import mintpick.config.Peer
import mintpick.core.JobId
import mintpick.core.MachineId
import mintpick.core.Micros
import mintpick.core.NodeId
import mintpick.core.SECOND
import mintpick.engine.runtime.EngineContext
import mintpick.wire.PeerHint

/**
 * The newest hint of each peer. A hint is recent for [HINT_VALIDITY]; older ones are ignored where recent hints are required.
 * [ControllerHealth] documents the functions without a comment here.
 */
internal class PeerHints(
    private val context: EngineContext,
) {
    /** A machine as listed in a peer's hint. */
    private class HintedMachine(
        /** When it last sent a heartbeat to that peer, by the monotonic clock of this controller. */
        val heartbeatUs: Micros,
        val images: Set<String>,
    )

    private class ReceivedHint(
        val atUs: Micros,
        /** Since when the peer's hints have arrived without a gap. */
        val unbrokenSinceUs: Micros,
        val hint: PeerHint,
        /** The machines in the newest hint that listed machines, by identifier. */
        val machines: Map<String, HintedMachine>,
    ) {
        val faultyJobs: Set<String> = hint.faultyJobs.toSet()
    }

    private val received = HashMap<NodeId, ReceivedHint>()

    /** Stores the hint of a configured peer. */
    fun onHint(hint: PeerHint) {
        val node = NodeId(hint.node)
        val before = received[node]
        val unbrokenSinceUs = if (before != null && before.isRecent()) before.unbrokenSinceUs else context.now
        val machines = if (hint.listsMachines || before == null) machinesIn(hint) else before.machines
        received[node] = ReceivedHint(context.now, unbrokenSinceUs, hint, machines)
    }

    private fun machinesIn(hint: PeerHint): Map<String, HintedMachine> =
        hint.machines.associate { it.machine to HintedMachine(context.now - it.ageUs, hint.imagesOn(it)) }

    private fun ReceivedHint.isRecent(): Boolean = context.now - atUs < HINT_VALIDITY

    fun isFaultyElsewhere(job: JobId): Boolean = received.values.any { job.text in it.faultyJobs && it.isRecent() }

    fun hintedImages(within: Micros): Map<MachineId, Set<String>> {
        val images = HashMap<MachineId, Set<String>>()
        for (peer in received.values.filter { it.isRecent() }) {
            for ((id, machine) in peer.machines) {
                if (context.now - machine.heartbeatUs < within) images[MachineId(id)] = machine.images
            }
        }
        return images
    }

    fun mayLackCapacity(node: NodeId): Boolean = !hasRecentHint(node) || received[node]?.hint?.lacksRoom == true

    fun hasRecentHint(node: NodeId): Boolean = received[node]?.isRecent() ?: false

    fun hasHintsFromAllSince(since: Micros): Boolean = context.settings.peers.all { hasHintSince(it, since) }

    private fun hasHintSince(
        peer: Peer,
        since: Micros,
    ): Boolean = (received[NodeId(peer.node)]?.atUs ?: 0) > since

    fun hasHintFromZone(
        zone: String?,
        since: Micros,
    ): Boolean {
        val evidencePeers = evidencePeers(zone)
        return evidencePeers.isEmpty() || evidencePeers.any { hasHintSince(it, since) }
    }

    fun zoneReachableSince(zone: String?): Micros? {
        val evidencePeers = evidencePeers(zone)
        if (evidencePeers.isEmpty()) return 0
        return evidencePeers.mapNotNull { received[NodeId(it.node)] }.filter { it.isRecent() }.minOfOrNull { it.unbrokenSinceUs }
    }

    /**
     * Peers whose hints show that [zone] is reachable. For this controller's own zone these are all peers, because this
     * controller may itself be disconnected; likewise for a zone without peers.
     */
    private fun evidencePeers(zone: String?): List<Peer> {
        val inZone = context.settings.peers.filter { it.zone == zone }
        return if (zone == context.settings.zone || inZone.isEmpty()) context.settings.peers else inZone
    }

    fun hasHeartbeatElsewhere(
        machine: MachineId,
        peer: NodeId?,
        within: Micros,
    ): Boolean =
        received.any { (node, latest) ->
            val heartbeatUs = latest.machines[machine.text]?.heartbeatUs
            (peer == null || peer == node) && heartbeatUs != null && context.now - heartbeatUs < within
        }

    /** Whether the state store serves a peer, by a recent hint received after [since]. */
    fun isAnyPeerServed(since: Micros): Boolean =
        received.values.any { it.isRecent() && it.hint.stateAgeUs in 0..MAX_SERVED_AGE && it.atUs > since }

    companion object {
        /** How long a hint counts as recent. Peers send one each second, and some may be lost. */
        const val HINT_VALIDITY: Micros = 3 * SECOND

        /** Longest time since the state store last served a peer for the peer to count as served. */
        private const val MAX_SERVED_AGE: Micros = 1_500_000
    }
}
