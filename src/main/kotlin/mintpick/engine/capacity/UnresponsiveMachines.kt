package mintpick.engine.capacity

import mintpick.core.MILLI
import mintpick.core.MachineView
import mintpick.core.Micros
import mintpick.core.Resources
import mintpick.core.SECOND
import mintpick.engine.agents.AgentRegistry
import mintpick.engine.agents.MachineRegistry
import mintpick.engine.membership.ControllerHealth
import mintpick.engine.membership.ShardClaims
import mintpick.engine.runtime.EngineContext
import mintpick.engine.state.StateStoreClient
import mintpick.wire.Retiring

/**
 * Probes this controller's machines whose heartbeats are late, and marks unresponsive ones for release. The release proves that
 * they are terminated. Event-loop thread only.
 */
class UnresponsiveMachines(
    private val context: EngineContext,
    private val stateStore: StateStoreClient,
    private val shardClaims: ShardClaims,
    private val agents: AgentRegistry,
    private val health: ControllerHealth,
    private val machineRegistry: MachineRegistry,
) {
    /** The [monitored] machines to which calls fail. */
    private inner class UnreachableMachines(
        monitored: List<MachineView>,
    ) {
        private val views = monitored.filter { agents.isUnreachable(it.id) }
        private val countByZone = views.groupingBy(::zoneOf).eachCount()

        /** Whether so large a part of the machines is unreachable that the fault may be in this controller's own network. */
        val isWidespread =
            views.size > maxOf(UNREACHABLE_LIMIT, monitored.size / UNREACHABLE_SHARE_DIVISOR) ||
                (views.size == monitored.size && monitored.size > 1)

        /**
         * Whether this controller may be separated by a network partition from the zone of [view]: other machines there are
         * unreachable too, and no call to the zone has succeeded since [failingSinceUs]. Without this check, a leader that was
         * separated by a network partition only from its agents released 72 live machines within seconds, those of services
         * first.
         */
        fun mayBeZonePartition(
            view: MachineView,
            failingSinceUs: Micros,
        ): Boolean {
            val count = countByZone[zoneOf(view)] ?: 0
            return count > 1 && agents.lastReachedInZone(zoneOf(view)) < failingSinceUs
        }
    }

    /** Upper bound of the time between two heartbeats. */
    private val maxHeartbeatGapUs: Micros = context.settings.heartbeatIntervalUs * 5 / 4 + HEARTBEAT_DELAY_MARGIN

    private val cache get() = context.cache

    /** Probes machines with late heartbeats, and marks machines for release that have been unresponsive for too long. */
    fun check() {
        if (context.now - stateStore.servingSinceUs < STARTUP_GRACE_PERIOD) return
        val monitored = agents.controlledMachines.mapNotNull(agents::view).filter(::isMonitored)
        val serviceMachines = monitored.filterTo(HashSet(), ::runsServices)
        probeLateMachines(monitored, serviceMachines)
        val unresponsive = monitored.filter { hasLostContact(it, it in serviceMachines) || hasOneWayConnectivity(it) }
        if (unresponsive.isEmpty()) return
        val unreachable = UnreachableMachines(monitored)
        unresponsive.forEach { releaseIfOverdue(it, unreachable) }
    }

    /**
     * Whether the health of [view]'s machine is checked. A machine that is being scaled in and has no tasks is excluded, because it
     * is terminated before its record is removed.
     */
    private fun isMonitored(view: MachineView): Boolean {
        if (view.token <= 0 || !shardClaims.controls(view.id)) return false
        val record = cache.machines[view.id]?.record ?: return false
        return record.retiring == Retiring.NO || cache.tasksOn(view.id).isNotEmpty()
    }

    private fun runsServices(view: MachineView): Boolean = cache.usedByServicesOn(view.id).cpus > Resources.EPSILON

    private fun probeLateMachines(
        monitored: List<MachineView>,
        serviceMachines: Set<MachineView>,
    ) {
        // Probing hundreds of machines every second would cost more than it is worth.
        val probeInterval = maxOf(SERVICE_PROBE_INTERVAL, serviceMachines.size * SECOND / MAX_PROBES_PER_SECOND)
        val late = monitored.filter { timeSinceContact(it) > if (it in serviceMachines) probeInterval else maxHeartbeatGapUs }
        val (inReachableZones, inUnreachableZones) = late.partition { health.hasHintFromZone(zoneOf(it), context.now - ZONE_HINT_TIMEOUT) }
        (inReachableZones + probeSample(inUnreachableZones)).forEach { agents.probe(it.id) }
    }

    /** Random sample of [machines] in unreachable zones. A few probes are enough to detect the end of a network partition. */
    private fun probeSample(machines: List<MachineView>): List<MachineView> {
        if (machines.isEmpty()) return emptyList()
        return List(PARTITION_PROBE_COUNT) { machines[context.random.nextInt(machines.size)] }
    }

    private fun releaseIfOverdue(
        view: MachineView,
        unreachable: UnreachableMachines,
    ) {
        val failingSinceUs = agents.unreachableSince(view.id) ?: return
        val hasOneWayConnectivity = hasOneWayConnectivity(view)
        val sinceUs = if (hasOneWayConnectivity) failingSinceUs else agents.noContactSince(view.id)
        val mayBeOwnNetworkFault = unreachable.isWidespread || unreachable.mayBeZonePartition(view, failingSinceUs)
        // A peer hint from the zone after the first failed call shows that the zone was reachable while the machine was not.
        val wasZoneReachable = health.hasHintFromZone(zoneOf(view), failingSinceUs) && isZoneReachable(view)
        val isOverdue = context.now - sinceUs > releaseDelay(view, mayBeOwnNetworkFault, wasZoneReachable)
        if (isOverdue) machineRegistry.markForScaleIn(view.id, Retiring.NOW, if (hasOneWayConnectivity) "one-way" else "silent")
    }

    /**
     * Whether the zone of [view] has been reachable for long enough to evaluate its machines. After a network partition they are
     * probed again first: releasing all machines of a zone as soon as its first controller was reachable again removed live
     * machines, because their calls had failed during the partition.
     */
    private fun isZoneReachable(view: MachineView): Boolean {
        val sinceUs = health.zoneReachableSince(zoneOf(view)) ?: return false
        return sinceUs == 0L || context.now - sinceUs > maxHeartbeatGapUs
    }

    /**
     * How long a machine must be unresponsive before it is released, in microseconds.
     *
     * If the machine's zone may be unreachable, a network partition is the likelier fault. A machine is then released only after
     * [PARTITION_LEASE_MULTIPLE] leases, when its agent has certainly killed its tasks. A controller inside the unreachable zone
     * may renew the lease for a limited time, which is added.
     *
     * If many machines are unresponsive at once, this controller itself may be separated from them by a network partition. Their
     * agents then send heartbeats to another controller, which this controller learns from peer hints.
     */
    private fun releaseDelay(
        view: MachineView,
        mayBeOwnNetworkFault: Boolean,
        wasZoneReachable: Boolean,
    ): Micros {
        val leaseUs = context.settings.leaseUs
        return when {
            !wasZoneReachable -> leaseUs * PARTITION_LEASE_MULTIPLE + LEASE_MARGIN + health.maxPeerRenewalUs(zoneOf(view))
            // While isolated, this controller waits one lease: controllers that can reach the machines take them over within that time.
            agents.isIsolatedFromAgents -> leaseUs + LEASE_MARGIN
            // Within this time a controller that can reach the machines takes them over.
            mayBeOwnNetworkFault -> minOf(maxHeartbeatGapUs + TAKEOVER_TIME, leaseUs)
            else -> 0
        }
    }

    /**
     * Whether [view]'s machine neither answers calls nor sends heartbeats to any controller. Machines that run services are probed
     * between heartbeats, so their failure is detected earlier; others are probed only after a heartbeat is late.
     */
    private fun hasLostContact(
        view: MachineView,
        runsServices: Boolean,
    ): Boolean {
        val failedCalls = agents.failedCalls(view.id)
        val sinceContactUs = timeSinceContact(view)
        if (failedCalls == 0 || health.hasHeartbeatElsewhere(view.id, within = sinceContactUs)) return false
        if (!runsServices) return sinceContactUs > maxHeartbeatGapUs + SERVICE_PROBE_INTERVAL
        return failedCalls >= MIN_FAILED_CALLS && sinceContactUs > SERVICE_PROBE_INTERVAL * 2
    }

    /**
     * Whether calls to [view]'s machine fail although its heartbeats may still arrive: its lease is not renewed and it executes
     * no commands. A controller that could reach the machine would have taken it over by now, so waiting longer is useless.
     */
    private fun hasOneWayConnectivity(view: MachineView): Boolean {
        val sinceUs = agents.unreachableSince(view.id) ?: return false
        return agents.failedCalls(view.id) > MIN_FAILED_CALLS && context.now - sinceUs > maxHeartbeatGapUs + TAKEOVER_TIME
    }

    private fun zoneOf(view: MachineView): String? = cache.machines[view.id]?.record?.zone

    private fun timeSinceContact(view: MachineView): Micros = context.now - agents.noContactSince(view.id)

    private companion object {
        /** Up to this number of unreachable machines are not a widespread fault, unless all monitored machines are unreachable. */
        const val UNREACHABLE_LIMIT = 2

        /** A fault is widespread above this part of the monitored machines: their number divided by this. */
        const val UNREACHABLE_SHARE_DIVISOR = 4

        /** How late a heartbeat may be before it counts as missing. */
        const val HEARTBEAT_DELAY_MARGIN: Micros = 600 * MILLI
        const val SERVICE_PROBE_INTERVAL: Micros = SECOND
        const val MIN_FAILED_CALLS = 2
        const val MAX_PROBES_PER_SECOND = 25

        /** An agent's heartbeat times out after 4 s, and the next controller that it contacts answers a second later. */
        const val TAKEOVER_TIME: Micros = 6 * SECOND

        /** A zone counts as unreachable if none of its controllers has sent a peer hint for this long. */
        const val ZONE_HINT_TIMEOUT: Micros = 3 * SECOND
        const val PARTITION_PROBE_COUNT = 2

        /**
         * Number of leases after which machines in an unreachable zone are released. Lease expiry already proves that their tasks
         * have ended, and after the partition the machines are available sooner than new ones would boot. A release after one
         * lease lost 170 machines seconds before the end of a partition.
         */
        const val PARTITION_LEASE_MULTIPLE = 2
        const val LEASE_MARGIN: Micros = 2 * SECOND

        /** How long the state store must have served this controller before it evaluates machine health. */
        const val STARTUP_GRACE_PERIOD: Micros = 6 * SECOND
    }
}
