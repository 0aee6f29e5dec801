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
 * Decides what this controller may do, based on its own contact with the state store and the hints of its peers.
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

    /** How long agents' leases may be renewed while newly confirmed cancellations may be unknown here: see [mayAnswerAgents]. */
    private val maxRenewalUs: Micros = context.settings.cancelUs - context.settings.leaseUs - CANCELLATION_MARGIN

    /**
     * Records which peers have no lease in the state store, while the state store serves this controller. Must be called
     * in each step.
     */
    fun tick() {
        cancellations.forgetRecorded()
        if (isHealthy()) {
            renewals.observeLeases()
        } else {
            renewals.clearLeases()
        }
    }

    /** Must be called when [node] has answered a hint of this controller that was sent at [sentUs]. */
    fun onHintAcknowledged(
        node: NodeId,
        sentUs: Micros,
    ) = renewals.onHintAcknowledged(node, sentUs)

    /** Stores a received hint. Hints of controllers that are not configured as peers are ignored. */
    fun onHint(hint: PeerHint) {
        if (context.settings.peers.none { it.node == hint.node }) return
        cancellations.onHint(hint)
        hints.onHint(hint)
    }

    /**
     * Stores a peer's answer to a hint that was sent at [sentUs]. Only answers prove which cancellations the peer had
     * confirmed by a known time: a hint that a peer sends on its own may have been delayed on the way.
     */
    fun onHintAnswer(
        hint: PeerHint,
        sentUs: Micros,
    ) {
        onHint(hint)
        cancellations.onHintAnswer(hint, sentUs)
    }

    /** Whether a recent hint of a peer says that [job] fails on every machine. */
    fun isFaultyElsewhere(job: JobId): Boolean = hints.isFaultyElsewhere(job)

    /** Whether a peer has reported a cancellation of [job] that the local records may not show yet. */
    fun isCancelledElsewhere(job: JobId): Boolean = cancellations.isHinted(job)

    /** Images on the machines that have sent a heartbeat to a peer [within] this time, by the recent hints of peers. */
    fun hintedImages(within: Micros): Map<MachineId, Set<String>> = hints.hintedImages(within)

    /** Whether [node] may be unable to place its waiting jobs: its hint says so, or there is no recent hint. */
    fun mayLackCapacity(node: NodeId): Boolean = hints.mayLackCapacity(node)

    /** Whether [node] has sent a hint recently. */
    fun hasRecentHint(node: NodeId): Boolean = hints.hasRecentHint(node)

    /** Whether every peer has sent a hint after [since]. */
    fun hasHintsFromAllSince(since: Micros): Boolean = hints.hasHintsFromAllSince(since)

    /**
     * Whether a peer in [zone] has sent a hint after [since], which shows that the zone was reachable. In a network
     * partition between zones, hints from the zone stop together with its heartbeats, so missing heartbeats do not prove
     * that a machine has failed. For this controller's own zone and for zones without a peer, a hint of any peer counts,
     * because this controller may itself be disconnected. True if there are no peers.
     */
    fun hasHintFromZone(
        zone: String?,
        since: Micros,
    ): Boolean = hints.hasHintFromZone(zone, since)

    /** Since when [zone] has been reachable without a gap, by the hints of the same peers as [hasHintFromZone]; null: it may not be. */
    fun zoneReachableSince(zone: String?): Micros? = hints.zoneReachableSince(zone)

    /**
     * Whether hints show that [machine] has sent a heartbeat to [peer] [within] this time. Without [peer], a heartbeat to
     * any peer counts.
     */
    fun hasHeartbeatElsewhere(
        machine: MachineId,
        peer: NodeId? = null,
        within: Micros = context.settings.heartbeatIntervalUs + HEARTBEAT_MARGIN,
    ): Boolean = hints.hasHeartbeatElsewhere(machine, peer, within)

    /** Whether the state store serves this controller and its lease is valid. */
    fun isHealthy(): Boolean = stateStore.isServing && stateAgeUs < MAX_HEALTHY_STATE_AGE

    /** Whether the state store serves a peer, by a recent hint received since the store last served this controller. */
    fun isAnyPeerServed(): Boolean = hints.isAnyPeerServed(since = stateStore.lastServedUs ?: 0)

    /** The answer of `/up`. It stays true in an outage that affects all controllers, where no peer could serve requests instead. */
    fun isUp(): Boolean = reasonForDown() == null

    /** Why `/up` fails, as a word for the log; null if it succeeds. */
    fun reasonForDown(): String? =
        when {
            !stateStore.isServing -> stateStore.phase.name.lowercase()
            stateAgeUs >= MAX_UP_STATE_AGE && isAnyPeerServed() -> "only-peers-served"
            else -> null
        }

    /** Whether tasks may be started: not if a cancellation may have been confirmed [MAX_START_CANCELLATION_AGE] ago and be unknown here. */
    fun mayStartTasks(): Boolean = cancellations.unknownForUs() < MAX_START_CANCELLATION_AGE

    /**
     * Whether heartbeats may be answered, which renews the agents' leases. Without contact to the state store this
     * controller keeps its agents, except in two cases: a peer could serve them, or a confirmed cancellation that is
     * unknown here might become overdue. The agents' leases then expire in time, which needs no message to reach them.
     */
    fun mayAnswerAgents(): Boolean {
        if (cancellations.unknownForUs() >= maxRenewalUs) return false
        return stateAgeUs < MAX_KEPT_STATE_AGE || !isAnyPeerServed()
    }

    /**
     * Whether heartbeats of agents in this controller's zone may be answered on behalf of [owner]. If a network partition
     * separates the zone from [owner], its agents there would otherwise lose their leases although this controller can
     * reach them. Allowed only while the state store serves neither this controller nor a peer with a recent hint, while
     * [owner] has sent no recent hint, and while no cancellation unknown here can be overdue. [owner] accounts for
     * these renewals with [peerRenewalsUntil].
     */
    fun mayAnswerAgentsOf(owner: NodeId): Boolean {
        if (stateAgeUs < MAX_KEPT_STATE_AGE || hasRecentHint(owner) || isAnyPeerServed()) return false
        val cacheAsOfUs = stateStore.cacheAsOfUs ?: return false
        return context.now - cacheAsOfUs < maxRenewalUs
    }

    /**
     * Until when a peer in [zone] may have renewed leases of this controller's agents there, in microseconds of the
     * monotonic clock; null: unknown. A peer that answers this controller's hints without a gap has renewed none since the
     * first of them. A peer without a lease in the state store could renew them for a limited time only.
     */
    fun peerRenewalsUntil(zone: String?): Micros? = renewals.peerRenewalsUntil(zone, maxRenewalUs)

    /** How long at most peers in [zone] may renew leases of agents on behalf of this controller, in microseconds. */
    fun maxPeerRenewalUs(zone: String?): Micros = if (context.settings.peers.any { it.zone == zone }) maxRenewalUs else 0

    private companion object {
        /** How much later than the heartbeat interval a heartbeat may show up in a peer's hint. */
        const val HEARTBEAT_MARGIN: Micros = 6 * SECOND

        /** Longest time since the state store last served this controller for it to act on the records. */
        const val MAX_HEALTHY_STATE_AGE: Micros = 2_500_000

        /** Longest time since the state store last served this controller for it to keep agents that a peer could serve. */
        const val MAX_KEPT_STATE_AGE: Micros = 4 * SECOND

        /** Longest time since the state store last served this controller for `/up` to succeed while a peer is served. */
        const val MAX_UP_STATE_AGE: Micros = 3 * SECOND

        /** Longest time that a cancellation unknown here may have been confirmed when a task is started. */
        const val MAX_START_CANCELLATION_AGE: Micros = 4 * SECOND

        /** Covers cancellations that were in transit when the state store last served this controller, and clock drift. */
        const val CANCELLATION_MARGIN: Micros = 2 * SECOND
    }
}
