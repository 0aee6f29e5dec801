package mintpick.engine.membership

import mintpick.config.Peer
import mintpick.core.JobId
import mintpick.core.MachineId
import mintpick.core.Micros
import mintpick.core.NodeId
import mintpick.core.SECOND
import mintpick.engine.runtime.EngineContext
import mintpick.engine.state.StateStoreClient
import mintpick.wire.PeerHint

/** Whether this controller should act, judged from its own contact with the state service and its peers' hints. */
class ControllerHealth(
    private val context: EngineContext,
    private val stateStore: StateStoreClient,
) {
    private class Heard(
        val atUs: Micros,
        /** Since when it has been heard without a break. */
        val sinceUs: Micros,
        val hint: PeerHint,
        /** Its machines as of the last hint that listed them, with when each last reported, on our clock. */
        val machines: Map<String, Micros>,
        val images: Map<String, Set<String>>,
    ) {
        val faultyJobs: Set<String> = hint.faultyJobs.toSet()
    }

    /** Hints of ours that a peer has answered one soon after the other, by when they left. */
    private class Contact(
        val sinceUs: Micros,
        val lastUs: Micros,
    )

    private val peers = HashMap<NodeId, Heard>()
    private val contacts = HashMap<NodeId, Contact>()

    /** Cancelled jobs that other controllers told of, by when we were told. */
    private val cancelledElsewhere = HashMap<JobId, Micros>()

    /**
     * By controller, when our newest question left that it answered with all cancellations that its records show. A
     * controller confirms a cancellation only once its own records show it, so none that it confirmed before is unknown here.
     */
    private val cancellationsKnownFrom = HashMap<NodeId, Micros>()
    private val absentSince = HashMap<NodeId, Micros>()

    /** [node] has answered a hint that left at [sentUs], so it had heard us by then. */
    fun answeredBy(
        node: NodeId,
        sentUs: Micros,
    ) {
        val before = contacts[node]
        // By now it has read this one; if that is soon after the one before left, it has heard us all the time.
        val unbroken = before != null && context.now - before.lastUs < FRESH - HINT_DRIFT
        contacts[node] = Contact(if (before != null && unbroken) before.sinceUs else sentUs, sentUs)
    }

    /** To be called in each step: notes which peers the state service has no lease of any more, while it serves us. */
    fun tick() {
        forgetCancelledElsewhere()
        if (!healthy()) return absentSince.clear()
        for (peer in context.settings.peers) {
            val node = NodeId(peer.node)
            if (node in context.cache.nodes) absentSince.remove(node) else absentSince.putIfAbsent(node, context.now)
        }
    }

    /** What our own records are new enough to show needs no word of others any more. */
    private fun forgetCancelledElsewhere() {
        val known = stateStore.recordsKnownUs ?: return
        if (cancelledElsewhere.isNotEmpty()) cancelledElsewhere.values.removeIf { it < known }
    }

    /** Whether another controller that we hear has found that [job] fails wherever it runs. */
    fun isFaultyElsewhere(job: JobId): Boolean = peers.values.any { job.text in it.faultyJobs && context.now - it.atUs < FRESH }

    /** Whether another controller has told us of a cancellation of [job] that our records may not show yet. */
    fun cancelledElsewhere(job: JobId): Boolean = job in cancelledElsewhere

    /**
     * A peer's answer to a hint of ours that left at [sentUs]. Only this counts as its account of cancellations: a hint
     * that it sends by itself may have been held up on its way, and is then as old as its sending.
     */
    fun onAnsweredHint(
        hint: PeerHint,
        sentUs: Micros,
    ) {
        onHint(hint)
        if (hint.cancelledIsComplete) cancellationsKnownFrom.merge(NodeId(hint.node), sentUs, ::maxOf)
    }

    /**
     * No controller confirmed a cancellation before this time that we do not know of: by our own records, or by what
     * every other controller has answered since. A controller that was not heard, or that has started anew and could not
     * load the records yet, may have confirmed any.
     */
    private fun cancellationsKnownUs(): Micros {
        val told = context.settings.peers.minOfOrNull { cancellationsKnownFrom[NodeId(it.node)] ?: 0 } ?: context.now
        return maxOf(stateStore.recordsKnownUs ?: 0, told)
    }

    /** Whether a task may still be started: not when its cancellation may have been confirmed for longer than a moment. */
    fun mayStartTasks(): Boolean = context.now - cancellationsKnownUs() < HAND_OVER_AGE

    fun onHint(hint: PeerHint) {
        if (context.settings.peers.none { it.node == hint.node }) return
        hint.cancelled.forEach { cancelledElsewhere[JobId(it)] = context.now }
        val node = NodeId(hint.node)
        val before = peers[node]
        val since = if (before != null && context.now - before.atUs < FRESH) before.sinceUs else context.now
        peers[node] =
            if (hint.listsMachines || before == null) {
                Heard(
                    context.now,
                    since,
                    hint,
                    hint.machines.associate { it.machine to context.now - it.ageUs },
                    hint.machines.associate { it.machine to hint.imagesOn(it) },
                )
            } else {
                Heard(context.now, since, hint, before.machines, before.images)
            }
    }

    /** Images on machines that other controllers have heard from lately. */
    fun hintedImages(within: Micros): Map<MachineId, Set<String>> {
        val hinted = HashMap<MachineId, Set<String>>()
        for (heard in peers.values) {
            if (context.now - heard.atUs >= FRESH) continue
            for ((machine, at) in heard.machines) {
                if (context.now - at <
                    within
                ) {
                    hinted[MachineId(machine)] = heard.images[machine].orEmpty()
                }
            }
        }
        return hinted
    }

    private val stateAgeUs: Micros get() = stateStore.lastServedUs?.let { context.now - it } ?: Long.MAX_VALUE

    /** Whether [node] could not place what waits there: it says so, or says nothing. */
    fun lacksRoom(node: NodeId): Boolean = !hears(node) || peers[node]?.hint?.lacksRoom == true

    /** Whether [node] has spoken to us lately. */
    fun hears(node: NodeId): Boolean = peers[node]?.let { context.now - it.atUs < FRESH } ?: false

    /** Whether every other controller has spoken to us after [since]. */
    fun heardAllSince(since: Micros): Boolean = context.settings.peers.all { heardSince(it.node, since) }

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
        val witnesses = witnesses(zone)
        return witnesses.isEmpty() || witnesses.any { heardSince(it.node, since) }
    }

    /** Since when the way to [zone] has been open without a break, by the same witnesses; null: it is not known to be. */
    fun openSince(zone: String?): Micros? {
        val witnesses = witnesses(zone)
        if (witnesses.isEmpty()) return 0
        return witnesses.mapNotNull { peers[NodeId(it.node)] }.filter { context.now - it.atUs < FRESH }.minOfOrNull { it.sinceUs }
    }

    private fun witnesses(zone: String?): List<Peer> {
        val there = context.settings.peers.filter { it.zone == zone }
        return if (zone == context.settings.zone || there.isEmpty()) context.settings.peers else there
    }

    /** Whether [machine] reports to some other controller, as far as hints tell; [to] narrows it to one. */
    fun heardElsewhere(
        machine: MachineId,
        to: NodeId? = null,
        within: Micros = context.settings.reportUs + HEARD,
    ): Boolean =
        peers.any { (node, heard) ->
            val at = heard.machines[machine.text]
            (to == null || to == node) && at != null && context.now - at < within
        }

    /** The state service serves us and our lease holds. */
    fun healthy(): Boolean = stateStore.serving && stateAgeUs < HEALTHY_AGE

    /** Some peer is served while we are not. */
    fun peersServed(): Boolean =
        peers.values.any {
            context.now - it.atUs < FRESH && it.hint.stateAgeUs in 0..SERVED_AGE && it.atUs > (stateStore.lastServedUs ?: 0)
        }

    /**
     * Cut off from the state service we keep our workers, unless a peer could serve them, or a cancellation that we do
     * not know of might be overdue: then their leases must lapse in time. No message has to arrive for that; without one
     * the leases end.
     */
    fun mayAnswerWorkers(): Boolean {
        if (context.now - cancellationsKnownUs() >= blindUs) return false
        return stateAgeUs < HAND_OVER_AGE || !peersServed()
    }

    /** For how long leases may be renewed without news of cancellations: see [mayAnswerWorkers]. */
    private val blindUs: Micros = context.settings.cancelUs - context.settings.leaseUs - CANCEL_MARGIN

    /**
     * Whether we may answer workers of our zone for [eventLoop]: in a cut of the zone all that [eventLoop] commands there would
     * lose its leases within reach of us. Only while nobody is served whom we hear, we do not hear [eventLoop], and a
     * cancellation that we can't know of is not overdue. [answeredOnBehalfUntil] is what [eventLoop] takes into account for it.
     */
    fun mayAnswerFor(eventLoop: NodeId): Boolean {
        if (stateAgeUs < HAND_OVER_AGE || hears(eventLoop) || peersServed()) return false
        return context.now - (stateStore.recordsKnownUs ?: return false) < blindUs
    }

    /**
     * Until when another controller in [zone] may have renewed leases of ours there; null: nobody can tell. One that has
     * answered our hints without a break has not; one that has lost its lease could for a while only.
     */
    fun answeredOnBehalfUntil(zone: String?): Micros? {
        var until: Micros = 0
        for (peer in context.settings.peers) {
            if (peer.zone != zone) continue
            val node = NodeId(peer.node)
            val contact = contacts[node]
            val last =
                if (contact != null && context.now - contact.lastUs < FRESH - HINT_DRIFT) {
                    contact.sinceUs
                } else {
                    (absentSince[node] ?: return null) + blindUs
                }
            until = maxOf(until, last)
        }
        return until
    }

    /** For how long a controller in [zone] other than us may stand in for us at most. */
    fun standInSpan(zone: String?): Micros = if (context.settings.peers.any { it.zone == zone }) blindUs else 0

    /** What `/up` says: not in a shared outage, where no other controller would do better. */
    fun up(): Boolean = stateStore.serving && (stateAgeUs < DOWN_AGE || !peersServed())

    companion object {
        private const val FRESH: Micros = 3 * SECOND

        /** Longer than what clocks drift apart between two hints, and than a hint takes to be read. */
        private const val HINT_DRIFT: Micros = 200_000
        private const val HEARD: Micros = 6 * SECOND
        private const val SERVED_AGE: Micros = 1_500_000
        private const val HEALTHY_AGE: Micros = 2_500_000
        private const val HAND_OVER_AGE: Micros = 4 * SECOND
        private const val DOWN_AGE: Micros = 3 * SECOND

        /** For a cancellation that was on its way to us when the state service last served us, and for clocks that drift. */
        private const val CANCEL_MARGIN: Micros = 2 * SECOND
    }
}
