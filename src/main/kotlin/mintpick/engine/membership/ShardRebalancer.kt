package mintpick.engine.membership

import mintpick.core.MILLI
import mintpick.core.Micros
import mintpick.core.NodeId
import mintpick.core.SECOND
import mintpick.core.ceilDiv
import mintpick.engine.cache.Claim
import mintpick.engine.runtime.EngineContext
import mintpick.engine.state.StateStoreClient

/** Claims shards and the leadership for this controller, and balances the shards of every zone among the controllers. */
internal class ShardRebalancer(
    private val context: EngineContext,
    private val stateStore: StateStoreClient,
    private val directory: ShardDirectory,
    private val claimAges: ClaimAges,
    private val writer: ClaimWriter,
    private val connectivity: ClusterConnectivity,
) {
    private val cache get() = context.cache
    private val configuredControllers = (context.settings.peers.map { it.node } + context.settings.node).sorted().map(::NodeId)
    private val isStarting: Boolean get() = context.now - stateStore.servingSinceUs <= START_PERIOD

    /** Claims what this controller should own and does not own yet. */
    fun tick() {
        claimLeader()
        restoreShards()
        restoreBorrows()
        renewSupersededClaims()
        claimFreeShards()
        rebalance()
    }

    private fun claimLeader() {
        val leader = cache.leader
        // Other controllers do not claim the leadership while a claim of an earlier process of this one exists.
        if (leader == null || isOfEarlierProcess(leader)) {
            writer.claim(listOf(ClaimTarget.Leader(leader?.version ?: 0)), "leader")
        }
    }

    private fun isOfEarlierProcess(claim: Claim): Boolean = claim.node == context.self && claim.lease != stateStore.lease

    /** Rewrites shard claims of an earlier process of this controller, whose lease is about to expire. */
    private fun restoreShards() {
        val stale = cache.claims.filterValues(::isOfEarlierProcess)
        if (stale.isNotEmpty()) writer.claim(shardTargets(stale), "restored")
    }

    /** Rewrites borrow claims of an earlier process; see [restoreShards]. */
    private fun restoreBorrows() {
        val stale = cache.borrows.filterValues(::isOfEarlierProcess)
        val targets = stale.map { (machine, claim) -> ClaimTarget.Borrow(machine, claim.version) }
        if (targets.isNotEmpty()) writer.claim(targets, "restored")
    }

    /** Rewrites own claims that a borrowing has superseded, so that their tokens exceed the borrower's. */
    private fun renewSupersededClaims() {
        val shards =
            cache.borrowEndRevisions.keys.mapNotNullTo(HashSet()) { machine ->
                directory.shard(machine)?.takeIf { shard ->
                    val claim = cache.claims[shard]
                    claim != null && directory.isOwn(claim) && directory.isSuperseded(machine, claim)
                }
            }
        val targets = shards.map { ClaimTarget.Shard(it, cache.claims[it]?.version ?: 0) }
        if (targets.isNotEmpty()) writer.claim(targets, "superseded")
    }

    /** Claims shards without a claim, up to this controller's share of all shards. */
    private fun claimFreeShards() {
        val free = (0 until directory.shardCount).filter { it !in cache.claims }
        if (free.isEmpty()) return
        // Shortly after a start, peers are expected to join too: shards are then balanced among all configured controllers.
        val controllers = if (isStarting) configuredControllers else liveControllers()
        val owned = cache.claims.values.count { it.node == context.self }
        val share = ceilDiv(directory.shardCount, maxOf(1, controllers.size))
        val maxWait = maxWaitForBalancedOwner(controllers)
        val wanted = free.filter { balancedOwner(it, controllers) == context.self || claimAges.unclaimedForUs(it) > maxWait }
        val targets = wanted.take((share - owned).coerceAtLeast(0)).map { ClaimTarget.Shard(it, 0) }
        if (targets.isNotEmpty()) writer.claim(targets, "free")
    }

    /** How long a free shard is left to its balanced owner. Afterwards the other controllers try to claim it one after the other. */
    private fun maxWaitForBalancedOwner(controllers: List<NodeId>): Micros {
        val rank = controllers.indexOf(context.self).coerceAtLeast(0)
        return (rank + 1) * CLAIM_STAGGER + if (isStarting) START_PERIOD else 0
    }

    /** Takes over the shards whose balanced owner is this controller, if other controllers' claims are older than [MIN_CLAIM_AGE]. */
    private fun rebalance() {
        // Requires hints from all peers, so that the distribution does not change whenever a controller leaves or joins.
        if (context.now - stateStore.servingSinceUs < START_PERIOD) return
        if (!connectivity.hasHintsFromAllPeers || !connectivity.canReachAgents) return
        val misplaced = cache.claims.filter { (shard, claim) -> isMisplaced(shard, claim) }
        if (misplaced.isNotEmpty()) writer.claim(shardTargets(misplaced), "rebalanced")
    }

    private fun isMisplaced(
        shard: Int,
        claim: Claim,
    ): Boolean {
        val belongsHere = claim.node != context.self && balancedOwner(shard, configuredControllers) == context.self
        return belongsHere && (claimAges.unchangedForUs(shard) ?: 0) > MIN_CLAIM_AGE
    }

    private fun liveControllers(): List<NodeId> = cache.nodes.keys.sortedBy { it.text }

    /** The balanced owner of [shard]: the one of [controllers] that owns it when all claims are balanced. */
    private fun balancedOwner(
        shard: Int,
        controllers: List<NodeId>,
    ): NodeId? = if (controllers.isEmpty()) null else controllers[shard % ShardClaims.PARTITIONS % controllers.size]

    private fun shardTargets(claims: Map<Int, Claim>): List<ClaimTarget> =
        claims.map { (shard, claim) -> ClaimTarget.Shard(shard, claim.version) }

    private companion object {
        /** Time after this controller has joined during which other controllers are expected to join too. */
        const val START_PERIOD: Micros = 3 * SECOND

        /** Delay between the attempts of successive controllers to claim a shard whose balanced owner is another controller. */
        const val CLAIM_STAGGER: Micros = 300 * MILLI

        /** Shortest time that a claim must have been unchanged before it is rebalanced. */
        const val MIN_CLAIM_AGE: Micros = 25 * SECOND
    }
}
