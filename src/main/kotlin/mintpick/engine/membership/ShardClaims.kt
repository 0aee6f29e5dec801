package mintpick.engine.membership

import mintpick.core.JobId
import mintpick.core.MILLI
import mintpick.core.MachineId
import mintpick.core.Micros
import mintpick.core.NodeId
import mintpick.core.SECOND
import mintpick.engine.cache.Claim
import mintpick.engine.runtime.EngineContext
import mintpick.engine.state.StateStoreClient
import mintpick.wire.Guard

/**
 * Ownership of machines and jobs: which controller controls a machine, and which one places a job.
 *
 * Machines and jobs hash into a fixed number of partitions. Each partition has one shard per zone. In a network partition
 * between zones, each side can therefore claim all shards that it can reach, and only those. The claim of a shard is attached
 * to its owner's lease, and its version is the fencing token of the shard's machines. A claim may be overwritten at any time,
 * because every placement is guarded by it and agents reject lower tokens.
 *
 * Event-loop thread only.
 */
class ShardClaims(
    private val context: EngineContext,
    private val stateStore: StateStoreClient,
    connectivity: ClusterConnectivity,
) {
    private val directory = ShardDirectory(context, stateStore)
    private val claimAges = ClaimAges(context, directory.shardCount)
    private val writer = ClaimWriter(context, stateStore)
    private val rebalancer = ShardRebalancer(context, stateStore, directory, claimAges, writer, connectivity)
    private val machineControl = MachineControl(context, stateStore, directory, writer, connectivity)
    private var nextTickUs: Micros = 0

    /** Whether this controller is the leader. */
    val isLeader: Boolean get() = directory.isLeader

    /** The partition that the name of a machine or job hashes into; it is the same in every zone. */
    fun partition(name: String): Int = directory.partition(name)

    /** Records the [zone] of [machine]; later values are ignored. No controller controls a machine whose zone is unknown. */
    fun register(
        machine: MachineId,
        zone: String,
    ) = directory.register(machine, zone)

    /** Removes the zone of [machine]. */
    fun forget(machine: MachineId) = directory.forget(machine)

    /** The shard of [machine]; null if its zone is unknown. */
    fun shard(machine: MachineId): Int? = directory.shard(machine)

    /**
     * The claim that gives the right to command [machine]: its borrow claim, or else the claim of its shard. A shard claim
     * older than the end of a borrowing of the machine gives no control until it is rewritten, because commands of the
     * borrower, some possibly still in transit, have higher tokens.
     */
    fun controlClaim(machine: MachineId): Claim? = directory.controlClaim(machine)

    /** Whether this controller controls [machine]. */
    fun controls(machine: MachineId): Boolean = directory.controls(machine)

    /** Whether this process holds [claim]. Claims of an earlier process of this controller have another lease and do not count. */
    fun isOwn(claim: Claim?): Boolean = directory.isOwn(claim)

    /**
     * Whether the claim of the shard of [machine] has been unchanged long enough for the agent to have found the owner. False
     * for a borrowed machine.
     */
    fun isClaimSettled(machine: MachineId): Boolean {
        if (machine in context.cache.borrows) return false
        val unchangedForUs = directory.shard(machine)?.let(claimAges::unchangedForUs) ?: return false
        return unchangedForUs > AGENT_REDIRECT_PERIOD
    }

    /** The controller that is the first to place [job]: the owner of its partition's shard in the first zone. */
    fun preferredController(job: JobId): NodeId? = directory.preferredController(job)

    /** Whether [node] has a valid lease. */
    fun isLive(node: NodeId): Boolean = directory.isLive(node)

    /** The guards under which this controller may commit a placement on [machine]; empty if the zone of the machine is unknown. */
    fun guards(machine: MachineId): List<Guard> = directory.guards(machine)

    /**
     * The highest token that another controller may hold for [machine] besides the claim that controls it: that of the shard's
     * claim if the machine is borrowed, otherwise 0. An earlier version claims a shard without having read its borrowings.
     */
    fun otherToken(machine: MachineId): Long = directory.otherToken(machine)

    /** The guards under which an attempt on [machine] may be requeued: [guards], and the version that [otherToken] is based on. */
    fun requeueGuards(machine: MachineId): List<Guard> = directory.requeueGuards(machine)

    /** Claims the shards and the leadership that this controller should own. Must be called in each step. */
    fun tick() {
        if (!stateStore.isServing || context.now < nextTickUs) return
        nextTickUs = context.now + TICK_INTERVAL
        claimAges.observe()
        if (stateStore.isReachable) rebalancer.tick()
    }

    /**
     * Takes over a machine that its controller [from] does not serve. With [wholeShard] its whole shard is claimed, because
     * writes for each of hundreds of machines would take longer than their leases. [then] is called when the outcome is
     * known, or at once if [from] does not command the machine any more.
     */
    fun takeOver(
        machine: MachineId,
        wholeShard: Boolean,
        from: NodeId,
        reason: String,
        then: () -> Unit,
    ) = machineControl.takeOver(machine, wholeShard, from, reason, then)

    /**
     * Rewrites the claim that controls [machine], which raises its fencing token above the tokens of all earlier commands. Does
     * nothing and returns false if it is not this controller's claim, or was rewritten for this purpose within [minIntervalUs].
     */
    fun raiseToken(
        machine: MachineId,
        reason: String,
        minIntervalUs: Micros = MIN_RAISE_INTERVAL,
    ): Boolean = machineControl.raiseToken(machine, reason, minIntervalUs)

    /**
     * Borrows machines from the owners of their shards. The same transaction raises the epochs of these shards, so that
     * the guards of later placements by the owners fail. Earlier placements have a lower revision than the borrowing, so the
     * local records show all of them as soon as they show the borrowing. Only the leader borrows; [then] is called for
     * each machine when its borrowing is committed.
     */
    fun borrow(
        machines: Collection<MachineId>,
        then: (MachineId) -> Unit,
    ) = machineControl.borrow(machines, then)

    /** Returns a borrowed machine to its shard; does nothing if it is not borrowed. */
    fun returnBorrowed(machine: MachineId) = machineControl.returnBorrowed(machine)

    companion object {
        /** Number of partitions that machines and jobs hash into. It must never change, because keys and claims depend on it. */
        const val PARTITIONS = 12
        private const val TICK_INTERVAL: Micros = 100 * MILLI

        /** Shortest time between two raises of the same token. */
        const val MIN_RAISE_INTERVAL: Micros = 2 * SECOND

        /** Time within which an agent that other controllers have redirected reaches the one that commands it. */
        private const val AGENT_REDIRECT_PERIOD: Micros = 10 * SECOND
    }
}
