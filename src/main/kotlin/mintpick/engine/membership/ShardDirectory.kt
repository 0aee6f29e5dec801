package mintpick.engine.membership

import com.google.common.hash.Hashing
import mintpick.core.JobId
import mintpick.core.MachineId
import mintpick.core.NodeId
import mintpick.engine.cache.Claim
import mintpick.engine.runtime.EngineContext
import mintpick.engine.state.StateStoreClient
import mintpick.store.Keys
import mintpick.wire.Guard

/** Maps machines to shards, and shards to their owners by the committed claims. */
internal class ShardDirectory(
    private val context: EngineContext,
    private val stateStore: StateStoreClient,
) {
    private val zones = context.settings.zones
    private val shardByMachine = HashMap<MachineId, Int>()
    private val cache get() = context.cache

    /** Number of shards: each partition has one in every zone. */
    val shardCount: Int = ShardClaims.PARTITIONS * zones.size

    /** Whether this controller is the leader. */
    val isLeader: Boolean get() = isOwn(cache.leader)

    /** The partition that the name of a machine or job hashes into; it is the same in every zone. */
    fun partition(name: String): Int = Math.floorMod(Hashing.murmur3_32_fixed().hashUnencodedChars(name).asInt(), ShardClaims.PARTITIONS)

    /** See [ShardClaims.register]. */
    fun register(
        machine: MachineId,
        zone: String,
    ) {
        shardByMachine.getOrPut(machine) { maxOf(0, zones.indexOf(zone)) * ShardClaims.PARTITIONS + partition(machine.text) }
    }

    /** Removes the zone of [machine]. */
    fun forget(machine: MachineId) {
        shardByMachine.remove(machine)
    }

    /** The shard of [machine]; null if its zone is unknown. */
    fun shard(machine: MachineId): Int? {
        shardByMachine[machine]?.let { return it }
        register(machine, cache.machines[machine]?.record?.zone ?: return null)
        return shardByMachine[machine]
    }

    /** See [ShardClaims.controlClaim]. */
    fun controlClaim(machine: MachineId): Claim? {
        cache.borrows[machine]?.let { return it }
        val claim = shard(machine)?.let { cache.claims[it] } ?: return null
        return claim.takeUnless { isSuperseded(machine, it) }
    }

    /** Whether [claim], the claim of the shard of [machine], is older than the end of a borrowing of the machine. */
    fun isSuperseded(
        machine: MachineId,
        claim: Claim,
    ): Boolean = claim.version < (cache.borrowEndRevisions[machine] ?: 0)

    /** The claim record that controls [machine], as it is to be rewritten; null if no claim controls the machine. */
    fun controlTarget(machine: MachineId): ClaimTarget? {
        val claim = controlClaim(machine) ?: return null
        if (machine in cache.borrows) return ClaimTarget.Borrow(machine, claim.version)
        return shard(machine)?.let { ClaimTarget.Shard(it, claim.version) }
    }

    /** See [ShardClaims.isOwn]. */
    fun isOwn(claim: Claim?): Boolean = claim != null && claim.node == context.self && claim.lease == stateStore.lease

    /** Whether this controller controls [machine]. */
    fun controls(machine: MachineId): Boolean = isOwn(controlClaim(machine))

    /** See [ShardClaims.preferredController]. */
    fun preferredController(job: JobId): NodeId? = cache.claims[partition(job.text)]?.node

    /** Whether [node] has a valid lease. */
    fun isLive(node: NodeId): Boolean = node == context.self || node in cache.nodes

    /** See [ShardClaims.otherToken]. */
    fun otherToken(machine: MachineId): Long {
        if (machine !in cache.borrows) return 0
        return shard(machine)?.let { cache.claims[it]?.version } ?: 0
    }

    /** See [ShardClaims.requeueGuards]. */
    fun requeueGuards(machine: MachineId): List<Guard> {
        val shard = shard(machine)
        if (machine !in cache.borrows || shard == null) return guards(machine)
        return guards(machine) + Guard(Keys.shard(shard), cache.claims[shard]?.version ?: 0)
    }

    /** See [ShardClaims.guards]. */
    fun guards(machine: MachineId): List<Guard> {
        val borrow = cache.borrows[machine]
        if (borrow != null) return listOf(Guard(Keys.borrow(machine.text), borrow.version))
        val shard = shard(machine) ?: return emptyList()
        return listOf(
            Guard(Keys.shard(shard), cache.claims[shard]?.version ?: 0),
            Guard(Keys.shardEpoch(shard), cache.version(Keys.shardEpoch(shard))),
        )
    }
}
