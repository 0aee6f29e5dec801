package mintpick.engine.membership

import mintpick.core.MachineId
import mintpick.core.Micros
import mintpick.core.NodeId
import mintpick.engine.runtime.EngineContext
import mintpick.engine.state.StateStoreClient

/** Takes over and borrows machines, raises their fencing tokens and returns borrowed machines; [ShardClaims] documents each function. */
internal class MachineControl(
    private val context: EngineContext,
    private val stateStore: StateStoreClient,
    private val directory: ShardDirectory,
    private val writer: ClaimWriter,
    private val connectivity: ClusterConnectivity,
) {
    private val lastRaiseUs = HashMap<String, Micros>()

    /** Callbacks that wait for the outcome of the takeover in flight, by shard. */
    private val takeoverWaiters = HashMap<Int, MutableList<() -> Unit>>()
    private val cache get() = context.cache

    /** See [ShardClaims.takeOver]. */
    fun takeOver(
        machine: MachineId,
        wholeShard: Boolean,
        from: NodeId,
        reason: String,
        then: () -> Unit,
    ) {
        val claim = directory.controlClaim(machine)
        val shard = directory.shard(machine)
        // Another controller may have taken the machine over since the caller checked it.
        if (claim == null || shard == null || claim.node != from) return then()
        if (!wholeShard || machine in cache.borrows) {
            writer.claim(listOf(borrowTarget(machine)), reason, setOf(shard)) { then() }
        } else {
            takeOverShard(ClaimTarget.Shard(shard, claim.version), reason, then)
        }
    }

    /** Takes over a whole shard. Hundreds of its machines may need it at the same time; one transaction serves all of them. */
    private fun takeOverShard(
        target: ClaimTarget.Shard,
        reason: String,
        then: () -> Unit,
    ) {
        val waiters = takeoverWaiters.getOrPut(target.shard) { ArrayList() }
        waiters += then
        if (waiters.size > 1) return
        writer.claim(listOf(target), reason) {
            takeoverWaiters.remove(target.shard)?.forEach { it() }
        }
    }

    /** See [ShardClaims.raiseToken]. */
    fun raiseToken(
        machine: MachineId,
        reason: String,
        minIntervalUs: Micros,
    ): Boolean {
        val target = directory.controlTarget(machine)
        if (target == null || !directory.isOwn(directory.controlClaim(machine))) return false
        if (context.now - (lastRaiseUs[target.key] ?: -minIntervalUs) < minIntervalUs) return false
        lastRaiseUs[target.key] = context.now
        writer.claim(listOf(target), reason)
        return true
    }

    /** See [ShardClaims.borrow]. */
    fun borrow(
        machines: Collection<MachineId>,
        then: (MachineId) -> Unit,
    ) {
        if (!directory.isLeader || !connectivity.canReachAgents) return
        // Each machine needs up to two writes: its own and its shard's epoch.
        val maxMachines = maxOf(1, context.settings.limits.transactionOps / 2)
        // Includes machines that another controller has borrowed: their borrow claims are overwritten.
        val wanted = machines.filter { !directory.controls(it) && directory.shard(it) != null }.take(maxMachines)
        if (wanted.isEmpty()) return
        val shards = wanted.mapNotNullTo(HashSet()) { directory.shard(it) }
        writer.claim(wanted.map(::borrowTarget), "borrowed", shards) { isCommitted ->
            if (isCommitted) {
                // Reads the state store up to now, so that the cache soon shows all placements that the owners made there.
                stateStore.afterCatchUp { }
                wanted.forEach(then)
            }
        }
    }

    /** See [ShardClaims.returnBorrowed]. */
    fun returnBorrowed(machine: MachineId) {
        if (machine in cache.borrows) writer.delete(borrowTarget(machine))
    }

    private fun borrowTarget(machine: MachineId) = ClaimTarget.Borrow(machine, cache.borrows[machine]?.version ?: 0)
}
