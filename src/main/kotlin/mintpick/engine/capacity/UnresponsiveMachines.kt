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
 * Probes this controller's machines whose reports are late, and has those released that do not respond: their release proves
 * that they are terminated. Event-loop thread only.
 */
class UnresponsiveMachines(
    private val context: EngineContext,
    private val stateStore: StateStoreClient,
    private val shardClaims: ShardClaims,
    private val agents: AgentRegistry,
    private val health: ControllerHealth,
    private val machineRegistry: MachineRegistry,
) {
    /** The machines that calls do not reach, among the [monitored] ones. */
    private inner class UnreachableMachines(
        monitored: List<MachineView>,
    ) {
        private val views = monitored.filter { agents.isUnreachable(it.id) }
        private val countByZone = views.groupingBy(::zoneOf).eachCount()

        /** So many, or all of several, that the fault may be this controller's own network. */
        val isWidespread =
            views.size > maxOf(UNREACHABLE_LIMIT, monitored.size / UNREACHABLE_SHARE_DIVISOR) ||
                (views.size == monitored.size && monitored.size > 1)

        /**
         * Whether others in the zone of [view] are unreachable too and no call has got through there since [failingSinceUs]:
         * then it may be this controller that does not reach them. Cut off from its workers alone, a leader once returned
         * 72 live machines within seconds, those of the services first.
         */
        fun mayBeZonePartition(
            view: MachineView,
            failingSinceUs: Micros,
        ): Boolean {
            val count = countByZone[zoneOf(view)] ?: 0
            return count > 1 && agents.lastReachedInZone(zoneOf(view)) < failingSinceUs
        }
    }

    /** Longer than any pause between two reports. */
    private val maxHeartbeatGapUs: Micros = context.settings.heartbeatIntervalUs * 5 / 4 + HEARTBEAT_DELAY_MARGIN

    private val cache get() = context.cache

    /** Probes late machines and marks those for release that have been unresponsive for long enough. */
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

    /** One that is being scaled in with nothing left on it is terminated before its record is removed. */
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
        // Probing hundreds of machines every second would cost more than what it finds out.
        val probeInterval = maxOf(SERVICE_PROBE_INTERVAL, serviceMachines.size * SECOND / MAX_PROBES_PER_SECOND)
        val late = monitored.filter { timeSinceContact(it) > if (it in serviceMachines) probeInterval else maxHeartbeatGapUs }
        val (reachable, partitioned) = late.partition { health.hasHintFromZone(zoneOf(it), context.now - ZONE_HINT_TIMEOUT) }
        (reachable + probeSample(partitioned)).forEach { agents.probe(it.id) }
    }

    /** Beyond a network partition a few probes are enough to see when it ends. */
    private fun probeSample(partitioned: List<MachineView>): List<MachineView> {
        if (partitioned.isEmpty()) return emptyList()
        return List(PARTITION_PROBE_COUNT) { partitioned[context.random.nextInt(partitioned.size)] }
    }

    private fun releaseIfOverdue(
        view: MachineView,
        unreachable: UnreachableMachines,
    ) {
        val failingSinceUs = agents.unreachableSince(view.id) ?: return
        val hasOneWayConnectivity = hasOneWayConnectivity(view)
        val sinceUs = if (hasOneWayConnectivity) failingSinceUs else agents.noContactSince(view.id)
        val mayBeOwnNetworkFault = unreachable.isWidespread || unreachable.mayBeZonePartition(view, failingSinceUs)
        // Peers heard after the first call that failed: the way to the machine's zone was open when it did not respond.
        val wasZoneReachable = health.hasHintFromZone(zoneOf(view), failingSinceUs) && isZoneReachable(view)
        val isOverdue = context.now - sinceUs > releaseDelay(view, mayBeOwnNetworkFault, wasZoneReachable)
        if (isOverdue) machineRegistry.markForScaleIn(view.id, Retiring.NOW, if (hasOneWayConnectivity) "one-way" else "silent")
    }

    /**
     * After a network partition machines are probed again before they are judged: once all that a zone had were released the
     * moment the first of its controllers was heard again, for calls that had failed during the partition.
     */
    private fun isZoneReachable(view: MachineView): Boolean {
        val sinceUs = health.zoneReachableSince(zoneOf(view)) ?: return false
        return sinceUs == 0L || context.now - sinceUs > maxHeartbeatGapUs
    }

    /**
     * How long a machine has to be unresponsive before it is released, in microseconds. With a controller of its zone out of
     * reach the network is the likelier fault: only what has been silent for longer than its lease, and so has lost its tasks
     * anyway, is released. Many machines at once may be this controller's own partition from them; but then they turn to
     * another controller, which this one would hear of. In the partition of a zone a controller there may keep their leases
     * for a while.
     */
    private fun releaseDelay(
        view: MachineView,
        mayBeOwnNetworkFault: Boolean,
        wasZoneReachable: Boolean,
    ): Micros {
        val leaseUs = context.settings.leaseUs
        return when {
            !wasZoneReachable -> leaseUs * PARTITION_LEASE_MULTIPLE + LEASE_MARGIN + health.maxPeerRenewalUs(zoneOf(view))
            // A controller that reaches them adopts them by then.
            agents.isIsolatedFromAgents -> leaseUs + LEASE_MARGIN
            mayBeOwnNetworkFault -> minOf(maxHeartbeatGapUs + ADOPTION_TIME, leaseUs)
            else -> 0
        }
    }

    /** Machines that serve users are probed between their reports; others only once a report is late. */
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
     * Its reports come but nothing reaches it: no answer has renewed its lease and no command is executed. Another controller
     * that does reach it would have adopted it by now, and if none does, none should wait for it.
     */
    private fun hasOneWayConnectivity(view: MachineView): Boolean {
        val sinceUs = agents.unreachableSince(view.id) ?: return false
        return agents.failedCalls(view.id) > MIN_FAILED_CALLS && context.now - sinceUs > maxHeartbeatGapUs + ADOPTION_TIME
    }

    private fun zoneOf(view: MachineView): String? = cache.machines[view.id]?.record?.zone

    private fun timeSinceContact(view: MachineView): Micros = context.now - agents.noContactSince(view.id)

    private companion object {
        /** Up to so many unreachable machines are not many, however few are monitored. */
        const val UNREACHABLE_LIMIT = 2

        /** More than this part of the monitored machines are many. */
        const val UNREACHABLE_SHARE_DIVISOR = 4

        /** How late a report may come without being missed. */
        const val HEARTBEAT_DELAY_MARGIN: Micros = 600 * MILLI
        const val SERVICE_PROBE_INTERVAL: Micros = SECOND
        const val MIN_FAILED_CALLS = 2
        const val MAX_PROBES_PER_SECOND = 25

        /** A worker gives up a report after 4 s, and its next controller answers a second later. */
        const val ADOPTION_TIME: Micros = 6 * SECOND

        /** A zone none of whose controllers was heard for so long counts as partitioned. */
        const val ZONE_HINT_TIMEOUT: Micros = 3 * SECOND
        const val PARTITION_PROBE_COUNT = 2

        /**
         * Beyond a network partition tasks are proven to have ended by lease expiry alone; the machines are there again when
         * it ends, sooner than others would boot. Released after one lease, 170 of them were lost seconds before its end.
         */
        const val PARTITION_LEASE_MULTIPLE = 2
        const val LEASE_MARGIN: Micros = 2 * SECOND

        /** How long the state service has to have served this controller before it judges machines. */
        const val STARTUP_GRACE_PERIOD: Micros = 6 * SECOND
    }
}
