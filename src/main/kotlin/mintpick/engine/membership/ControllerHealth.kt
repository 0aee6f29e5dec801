package mintpick.engine.membership

import mintpick.core.JobId
import mintpick.core.MachineId
import mintpick.core.Micros
import mintpick.core.NodeId
import mintpick.core.SECOND
import mintpick.engine.runtime.EngineContext
import mintpick.engine.state.StateStoreClient
import mintpick.wire.PeerHint

/**
 * Whether this controller should act, judged from its own contact with the state service and its peers' hints.
 *
 * Event-loop thread only.
 */
class ControllerHealth(
    private val context: EngineContext,
    private val stateStore: StateStoreClient,
) {
    private val hints = PeerHints(context)
    private val renewals = PeerRenewals(context)
    private val cancellations = PeerCancellations(context, stateStore)
    private val stateAgeUs: Micros get() = stateStore.lastServedUs?.let { context.now - it } ?: Long.MAX_VALUE

    /** For how long agents' leases may be renewed without news of cancellations: see [mayAnswerAgents]. */
    private val maxRenewalUs: Micros = context.settings.cancelUs - context.settings.leaseUs - CANCELLATION_MARGIN

    /** To be called in each step: notes which peers the state service has no lease of any more, while it serves us. */
    fun tick() {
        cancellations.forgetRecorded()
        if (isHealthy()) {
            renewals.observeLeases()
        } else {
            renewals.clearLeases()
        }
    }

    /** [node] has answered a hint that left at [sentUs], so it had heard us by then. */
    fun onHintAcknowledged(
        node: NodeId,
        sentUs: Micros,
    ) = renewals.onHintAcknowledged(node, sentUs)

    /** A hint has come; one of a controller that is not configured is ignored. */
    fun onHint(hint: PeerHint) {
        if (context.settings.peers.none { it.node == hint.node }) return
        cancellations.onHint(hint)
        hints.onHint(hint)
    }

    /**
     * A peer's answer to a hint of ours that left at [sentUs]. Only this counts as its account of cancellations: a hint
     * that it sends by itself may have been held up on its way, and is then as old as its sending.
     */
    fun onHintAnswer(
        hint: PeerHint,
        sentUs: Micros,
    ) {
        onHint(hint)
        cancellations.onHintAnswer(hint, sentUs)
    }

    /** Whether another controller that we hear has found that [job] fails wherever it runs. */
    fun isFaultyElsewhere(job: JobId): Boolean = hints.isFaultyElsewhere(job)

    /** Whether another controller has hinted at a cancellation of [job] that our records may not show yet. */
    fun isCancelledElsewhere(job: JobId): Boolean = cancellations.isHinted(job)

    /** Images on machines that other controllers have heard from [within] this time, by their recent hints. */
    fun hintedImages(within: Micros): Map<MachineId, Set<String>> = hints.hintedImages(within)

    /** Whether [node] could not place what waits there: its hint says so, or there is no recent one. */
    fun mayLackCapacity(node: NodeId): Boolean = hints.mayLackCapacity(node)

    /** Whether there is a recent hint of [node]. */
    fun hasRecentHint(node: NodeId): Boolean = hints.hasRecentHint(node)

    /** Whether every other controller has sent a hint after [since]. */
    fun hasHintsFromAllSince(since: Micros): Boolean = hints.hasHintsFromAllSince(since)

    /**
     * Whether a controller in [zone] has sent a hint after [since], so that the way there was open. In a cut between
     * zones peers fall silent with the machines, and a machine's silence says little. For our own zone any other
     * controller will do: we may be cut off ourselves.
     */
    fun hasHintFromZone(
        zone: String?,
        since: Micros,
    ): Boolean = hints.hasHintFromZone(zone, since)

    /** Since when the way to [zone] has been open without a break, by the same peers as [hasHintFromZone]; null: it may not be. */
    fun zoneReachableSince(zone: String?): Micros? = hints.zoneReachableSince(zone)

    /**
     * Whether [machine] has sent a heartbeat to some other controller [within] this time, as far as hints show; [peer] narrows
     * it to one.
     */
    fun hasHeartbeatElsewhere(
        machine: MachineId,
        peer: NodeId? = null,
        within: Micros = context.settings.reportUs + HEARTBEAT_MARGIN,
    ): Boolean = hints.hasHeartbeatElsewhere(machine, peer, within)

    /** Whether the state service serves us and our lease holds. */
    fun isHealthy(): Boolean = stateStore.isServing && stateAgeUs < MAX_HEALTHY_STATE_AGE

    /** Whether the state service serves some peer while it does not serve us. */
    fun isAnyPeerServed(): Boolean = hints.isAnyPeerServed(since = stateStore.lastServedUs ?: 0)

    /** What `/up` says: not down in a shared outage, where no other controller would do better. */
    fun isUp(): Boolean = stateStore.isServing && (stateAgeUs < MAX_UP_STATE_AGE || !isAnyPeerServed())

    /** Whether a task may still be started: not when its cancellation may have been confirmed for longer than a moment. */
    fun mayStartTasks(): Boolean = cancellations.unknownForUs() < MAX_START_CANCELLATION_AGE

    /**
     * Whether agents may be answered, which renews their leases. Cut off from the state service it keeps its agents, unless
     * a peer could serve them, or a cancellation that we do not know of might be overdue: then their leases must expire in
     * time. No message has to arrive for that; without one the leases end.
     */
    fun mayAnswerAgents(): Boolean {
        if (cancellations.unknownForUs() >= maxRenewalUs) return false
        return stateAgeUs < MAX_KEPT_STATE_AGE || !isAnyPeerServed()
    }

    /**
     * Whether we may answer agents of our zone on behalf of [owner]: in a cut of the zone all that this controller
     * commands there would lose its leases within reach of us. Only while nobody is served whom we hear, we do not hear
     * [owner], and a cancellation that we can't know of is not overdue. [peerRenewalsUntil] is what that controller
     * takes into account for it.
     */
    fun mayAnswerAgentsOf(owner: NodeId): Boolean {
        if (stateAgeUs < MAX_KEPT_STATE_AGE || hasRecentHint(owner) || isAnyPeerServed()) return false
        val recordsKnownUs = stateStore.cacheAsOfUs ?: return false
        return context.now - recordsKnownUs < maxRenewalUs
    }

    /**
     * Until when another controller in [zone] may have renewed leases of our agents there; null: it can't be known. One
     * that has answered our hints without a break has not; one that has lost its lease could for a while only.
     */
    fun peerRenewalsUntil(zone: String?): Micros? = renewals.peerRenewalsUntil(zone, maxRenewalUs)

    /** For how long at most another controller in [zone] may renew leases of our agents on our behalf, in microseconds. */
    fun maxPeerRenewalUs(zone: String?): Micros = if (context.settings.peers.any { it.zone == zone }) maxRenewalUs else 0

    private companion object {
        /** How much later than its interval demands a heartbeat may show in a peer's hint. */
        const val HEARTBEAT_MARGIN: Micros = 6 * SECOND

        /** How long ago the state service served us at most for us to act on the records. */
        const val MAX_HEALTHY_STATE_AGE: Micros = 2_500_000

        /** How long ago the state service served us at most for agents to be kept even if a peer could serve them. */
        const val MAX_KEPT_STATE_AGE: Micros = 4 * SECOND

        /** How long ago the state service served us at most for `/up` to succeed even if a peer is served. */
        const val MAX_UP_STATE_AGE: Micros = 3 * SECOND

        /** For how long a cancellation that is not known here may have been confirmed when a task is started. */
        const val MAX_START_CANCELLATION_AGE: Micros = 4 * SECOND

        /** For a cancellation that was on its way to us when the state service last served us, and for clocks that drift. */
        const val CANCELLATION_MARGIN: Micros = 2 * SECOND
    }
}
