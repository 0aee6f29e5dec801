package mintpick.engine

import mintpick.core.MachineId
import mintpick.core.Micros
import mintpick.core.NodeId
import mintpick.core.SECOND
import mintpick.wire.PeerHint

/** Whether this controller should act, judged from its own contact with the state service and its peers' hints. */
class Standing(
    private val kernel: Kernel,
    private val link: StateLink,
) {
    private class Heard(
        val atUs: Micros,
        val hint: PeerHint,
        /** Its machines as of the last hint that listed them, with when each last reported, on our clock. */
        val machines: Map<String, Micros>,
        val images: Map<String, Set<String>>,
    )

    private val peers = HashMap<NodeId, Heard>()

    fun onHint(hint: PeerHint) {
        if (kernel.settings.peers.none { it.node == hint.node }) return
        val node = NodeId(hint.node)
        val before = peers[node]
        peers[node] =
            if (hint.listsMachines || before == null) {
                Heard(
                    kernel.now,
                    hint,
                    hint.machines.associate { it.machine to kernel.now - it.ageUs },
                    hint.machines.associate { it.machine to it.images.toSet() },
                )
            } else {
                Heard(kernel.now, hint, before.machines, before.images)
            }
    }

    /** Images on machines that other controllers have heard from lately. */
    fun hintedImages(within: Micros): Map<MachineId, Set<String>> {
        val hinted = HashMap<MachineId, Set<String>>()
        for (heard in peers.values) {
            if (kernel.now - heard.atUs >= FRESH) continue
            for ((machine, at) in heard.machines) if (kernel.now - at < within) hinted[MachineId(machine)] = heard.images[machine].orEmpty()
        }
        return hinted
    }

    private val stateAgeUs: Micros get() = link.lastServedUs?.let { kernel.now - it } ?: Long.MAX_VALUE

    /** Whether [node] could not place what waits there: it says so, or says nothing. */
    fun lacksRoom(node: NodeId): Boolean = !hears(node) || peers[node]?.hint?.lacksRoom == true

    /** Whether [node] has spoken to us lately. */
    fun hears(node: NodeId): Boolean = peers[node]?.let { kernel.now - it.atUs < FRESH } ?: false

    /** Whether every other controller has spoken to us after [since]. */
    fun heardAllSince(since: Micros): Boolean = kernel.settings.peers.all { heardSince(it.node, since) }

    private fun heardSince(
        node: String,
        since: Micros,
    ): Boolean = (peers[NodeId(node)]?.atUs ?: 0) > since

    /**
     * Whether a controller in [zone] has spoken to us after [since], so that the way there was open. In a cut between
     * zones peers fall silent with the machines, and a machine's silence says little. For our own zone any other
     * controller will do: we may be cut off ourselves.
     */
    fun heardFromZone(
        zone: String?,
        since: Micros,
    ): Boolean {
        val there = kernel.settings.peers.filter { it.zone == zone }
        val witnesses = if (zone == kernel.settings.zone || there.isEmpty()) kernel.settings.peers else there
        return witnesses.isEmpty() || witnesses.any { heardSince(it.node, since) }
    }

    /** Whether [machine] reports to some other controller, as far as hints tell; [to] narrows it to one. */
    fun heardElsewhere(
        machine: MachineId,
        to: NodeId? = null,
        within: Micros = kernel.settings.reportUs + HEARD,
    ): Boolean =
        peers.any { (node, heard) ->
            val at = heard.machines[machine.text]
            (to == null || to == node) && at != null && kernel.now - at < within
        }

    /** The state service serves us and our lease holds. */
    fun healthy(): Boolean = link.serving && stateAgeUs < HEALTHY_AGE

    /** Some peer is served while we are not. */
    fun peersServed(): Boolean =
        peers.values.any { kernel.now - it.atUs < FRESH && it.hint.stateAgeUs in 0..SERVED_AGE && it.atUs > (link.lastServedUs ?: 0) }

    /**
     * Cut off from the state service we keep our workers, unless a peer could serve them, or a cancellation
     * that we can't hear of might be overdue: then their leases must lapse in time.
     */
    fun mayAnswerWorkers(): Boolean {
        if (stateAgeUs < HAND_OVER_AGE) return true
        if (peersServed()) return false
        val contact = maxOf(link.lastServedUs ?: 0, peers.values.maxOfOrNull { it.atUs } ?: 0)
        val blind = kernel.now - contact
        return blind < kernel.settings.cancelUs - kernel.settings.leaseUs - CANCEL_MARGIN
    }

    /** What `/up` says: not in a shared outage, where no other controller would do better. */
    fun up(): Boolean = link.serving && (stateAgeUs < DOWN_AGE || !peersServed())

    companion object {
        private const val FRESH: Micros = 3 * SECOND
        private const val HEARD: Micros = 6 * SECOND
        private const val SERVED_AGE: Micros = 1_500_000
        private const val HEALTHY_AGE: Micros = 2_500_000
        private const val HAND_OVER_AGE: Micros = 4 * SECOND
        private const val DOWN_AGE: Micros = 3 * SECOND
        private const val CANCEL_MARGIN: Micros = 4 * SECOND
    }
}
