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
 * Who may command which machine and place which job. Machines and jobs hash into fixed partitions; a partition of a zone
 * is a shard, so that in a cut between zones each side can take what it reaches as a whole, and nothing else. A
 * claim of a shard hangs on its controller's lease and its version is the fencing token of the shard's machines.
 * A claim may be overwritten at any time: every placement is guarded by it, and agents refuse lower tokens.
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

    /** The partition that a machine or job hashes into, in every zone. */
    fun partition(name: String): Int = directory.partition(name)

    /** Notes the zone of [machine], which it keeps; before that nobody commands it. */
    fun register(
        machine: MachineId,
        zone: String,
    ) = directory.register(machine, zone)

    /** Forgets the zone of [machine]. */
    fun forget(machine: MachineId) = directory.forget(machine)

    /** The shard of [machine]; null: its zone is not known. */
    fun shard(machine: MachineId): Int? = directory.shard(machine)

    /**
     * The claim that gives the right to command [machine]: a borrowing, else its shard's claim. A claim that is older
     * than the end of a borrowing gives none until it is written anew: commands of the borrower, some of them perhaps
     * still on their way, have higher tokens.
     */
    fun controlClaim(machine: MachineId): Claim? = directory.controlClaim(machine)

    /** Whether this controller commands [machine]. */
    fun controls(machine: MachineId): Boolean = directory.controls(machine)

    /** Whether [claim] is held by this process: not one of an earlier process under the same name, whose lease differs. */
    fun isOwn(claim: Claim?): Boolean = directory.isOwn(claim)

    /** Whether the claim that commands [machine] is older than an agent needs to find its controller. */
    fun isClaimSettled(machine: MachineId): Boolean {
        if (machine in context.cache.borrows) return false
        val unchangedForUs = directory.shard(machine)?.let(claimAges::unchangedForUs) ?: return false
        return unchangedForUs > AGENT_REDIRECT_PERIOD
    }

    /** The controller that places [job] first: the holder of its partition in the first zone. */
    fun preferredController(job: JobId): NodeId? = directory.preferredController(job)

    /** Whether the lease of [node] holds. */
    fun isLive(node: NodeId): Boolean = directory.isLive(node)

    /** What must hold for a placement on [machine] to be this controller's to make; empty: its zone is not known. */
    fun guards(machine: MachineId): List<Guard> = directory.guards(machine)

    /** Claims what this controller is to hold; to be called in each step. */
    fun tick() {
        if (!stateStore.isServing || context.now < nextTickUs) return
        nextTickUs = context.now + TICK_INTERVAL
        claimAges.observe()
        if (stateStore.isReachable) rebalancer.tick()
    }

    /**
     * Takes over a machine that its controller [from] does not serve, and runs [then] when that is decided, or at once if
     * [from] does not command it any more: with its whole shard if [wholeShard], since a write for each of hundreds of machines
     * would take longer than their leases.
     */
    fun takeOver(
        machine: MachineId,
        wholeShard: Boolean,
        from: NodeId,
        reason: String,
        then: () -> Unit,
    ) = machineControl.takeOver(machine, wholeShard, from, reason, then)

    /** Writes the record that commands [machine] anew, so that its token rises above all that was sent before. */
    fun raiseToken(
        machine: MachineId,
        reason: String,
    ) = machineControl.raiseToken(machine, reason)

    /**
     * Takes machines from their shards' owners, whose guards fail from the write on: it raises their shards'
     * epochs. What they placed before has a lower revision, so once our records are as new as the borrowing,
     * they show all of it. Only the leader borrows; [then] runs for each machine once its borrowing is committed.
     */
    fun borrow(
        machines: Collection<MachineId>,
        then: (MachineId) -> Unit,
    ) = machineControl.borrow(machines, then)

    /** Returns a borrowed machine to its shard; does nothing if it is not borrowed. */
    fun returnBorrowed(machine: MachineId) = machineControl.returnBorrowed(machine)

    companion object {
        /** Into how many partitions machines and jobs hash; fixed for ever, since keys and claims depend on it. */
        const val PARTITIONS = 12
        private const val TICK_INTERVAL: Micros = 100 * MILLI

        /** Within it an agent that was refused by other controllers reaches the one that commands it. */
        private const val AGENT_REDIRECT_PERIOD: Micros = 10 * SECOND
    }
}
