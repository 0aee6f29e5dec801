package mintpick.engine.membership

import com.google.common.hash.Hashing
import kotlinx.serialization.json.JsonElement
import mintpick.core.JobId
import mintpick.core.MILLI
import mintpick.core.MachineId
import mintpick.core.Micros
import mintpick.core.NodeId
import mintpick.core.SECOND
import mintpick.engine.cache.Claim
import mintpick.engine.runtime.EngineContext
import mintpick.engine.state.StateStoreClient
import mintpick.engine.state.Write
import mintpick.store.Keys
import mintpick.store.TransactionResult
import mintpick.wire.ClaimRecord
import mintpick.wire.Guard
import mintpick.wire.WireJson
import org.slf4j.LoggerFactory

/**
 * Who may command which machine and place which job. Machines and jobs hash into fixed parts; a part of a zone
 * is a shard, so that in a cut between zones each side can take what it reaches as a whole, and nothing else. A
 * claim of a shard hangs on its controller's lease and its version is the fencing token of the shard's machines.
 * A claim may be overwritten at any time: every placement is guarded by it, and workers drop lower tokens.
 */
class ShardClaims(
    private val context: EngineContext,
    private val stateStore: StateStoreClient,
) {
    private class Seen(
        val version: Long,
        val sinceUs: Micros,
    )

    private val zones = context.settings.zones
    private val shards = PARTITIONS * zones.size
    private val seen = HashMap<Int, Seen>()
    private val absentSince = HashMap<Int, Micros>()
    private val busy = HashSet<String>()
    private val raises = HashMap<String, Micros>()
    private val shardOf = HashMap<MachineId, Int>()
    private val takeovers = HashMap<Int, MutableList<() -> Unit>>()
    private var nextTickUs: Micros = 0

    /** Whether all controllers are in touch, so that parts may go back to where they belong. */
    var allPeersInTouch: () -> Boolean = { true }

    /** Whether our calls reach the workers, so that what we take from others is served. */
    var reachesAgents: () -> Boolean = { true }

    private val cache get() = context.cache

    /** The part of the cluster that a machine or job hashes into, in every zone. */
    fun part(name: String): Int = Math.floorMod(Hashing.murmur3_32_fixed().hashUnencodedChars(name).asInt(), PARTITIONS)

    /** Notes where a machine is; before that nobody commands it. */
    fun register(
        machine: MachineId,
        zone: String,
    ) {
        shardOf.getOrPut(machine) { maxOf(0, zones.indexOf(zone)) * PARTITIONS + part(machine.text) }
    }

    fun forget(machine: MachineId) {
        shardOf.remove(machine)
    }

    fun shard(machine: MachineId): Int? {
        shardOf[machine]?.let { return it }
        register(machine, cache.machines[machine]?.record?.zone ?: return null)
        return shardOf[machine]
    }

    /**
     * The record that gives the right to command [machine]: a borrowing, else its shard's claim. A claim that is older
     * than the end of a borrowing gives none until it is written anew: commands of the borrower, some of them perhaps
     * still on their way, have higher tokens.
     */
    fun control(machine: MachineId): Claim? =
        cache.borrows[machine] ?: shard(machine)?.let { cache.claims[it] }?.takeIf { !isSuperseded(machine, it) }

    private fun isSuperseded(
        machine: MachineId,
        claim: Claim,
    ): Boolean = claim.version < (cache.borrowEnds[machine] ?: 0)

    /** Whether the claim that commands [machine] is older than what a worker needs to find its way there. */
    fun isSettled(machine: MachineId): Boolean {
        if (machine in cache.borrows) return false
        val claim = shard(machine)?.let { seen[it] } ?: return false
        return context.now - claim.sinceUs > FIND_WAY
    }

    private fun controlKey(machine: MachineId): String? =
        if (machine in cache.borrows) Keys.borrow(machine.text) else shard(machine)?.let { Keys.shard(it) }

    fun isMine(claim: Claim?): Boolean = claim != null && claim.node == context.me && claim.lease == stateStore.lease

    fun controls(machine: MachineId): Boolean = isMine(control(machine))

    /** The controller that places a job first: the holder of its part in the first zone. */
    fun preferredController(job: JobId): NodeId? = cache.claims[part(job.text)]?.node

    val isLeader: Boolean get() = isMine(cache.leader)

    fun isLive(node: NodeId): Boolean = node == context.me || node in cache.nodes

    /** What must hold for a placement on [machine] to be this controller's to make. */
    fun guards(machine: MachineId): List<Guard> {
        val borrow = cache.borrows[machine]
        if (borrow != null) return listOf(Guard(Keys.borrow(machine.text), borrow.version))
        val shard = shard(machine) ?: return emptyList()
        return listOf(
            Guard(Keys.shard(shard), cache.claims[shard]?.version ?: 0),
            Guard(Keys.epoch(shard), cache.version(Keys.epoch(shard))),
        )
    }

    fun tick() {
        if (!stateStore.serving || context.now < nextTickUs) return
        nextTickUs = context.now + TICK
        observe()
        if (!stateStore.reachable) return
        claimLeader()
        restore()
        renewSuperseded()
        claimFree()
        rebalance()
    }

    private fun observe() {
        for (shard in 0 until shards) {
            val claim = cache.claims[shard]
            if (claim == null) {
                absentSince.putIfAbsent(shard, context.now)
                seen.remove(shard)
            } else {
                absentSince.remove(shard)
                if (seen[shard]?.version != claim.version) seen[shard] = Seen(claim.version, context.now)
            }
        }
    }

    private fun claimLeader() {
        val leader = cache.leader
        // Our own earlier process held it: nobody else can.
        if (leader == null || (leader.node == context.me && leader.lease != stateStore.lease)) {
            claim(listOf(Keys.LEADER to (leader?.version ?: 0)), "leader")
        }
    }

    /** Claims of this node's earlier process are written anew: their lease is about to end. */
    private fun restore() {
        val stale = cache.claims.filterValues { it.node == context.me && it.lease != stateStore.lease }
        if (stale.isNotEmpty()) claim(stale.map { (shard, claim) -> Keys.shard(shard) to claim.version }, "restored")
        val borrowed = cache.borrows.filterValues { it.node == context.me && it.lease != stateStore.lease }
        if (borrowed.isNotEmpty()) claim(borrowed.map { (machine, claim) -> Keys.borrow(machine.text) to claim.version }, "restored")
    }

    /** Claims of ours that a borrowing has outbid are written anew, so that their token exceeds the borrower's. */
    private fun renewSuperseded() {
        val shards =
            cache.borrowEnds.keys.mapNotNullTo(HashSet()) { machine ->
                shard(machine)?.takeIf { shard -> cache.claims[shard]?.let { isMine(it) && isSuperseded(machine, it) } ?: false }
            }
        if (shards.isNotEmpty()) claim(shards.map { Keys.shard(it) to (cache.claims[it]?.version ?: 0) }, "outbid")
    }

    private val everybody = (context.settings.peers.map { it.node } + context.settings.node).sorted().map(::NodeId)

    private fun live(): List<NodeId> = cache.nodes.keys.sortedBy { it.text }

    /** Who holds a part when all is well. */
    private fun holder(
        shard: Int,
        live: List<NodeId>,
    ): NodeId? = if (live.isEmpty()) null else live[shard % PARTITIONS % live.size]

    private fun claimFree() {
        val free = (0 until shards).filter { it !in cache.claims }
        if (free.isEmpty()) return
        val mine = cache.claims.values.count { it.node == context.me }
        // Just after a start the others are about to come, too: each takes what will be its own.
        val settled = context.now - stateStore.servingSinceUs > SETTLE
        val live = if (settled) live() else everybody
        val share = ceilDiv(shards, maxOf(1, live.size))
        val rank = live.indexOf(context.me).coerceAtLeast(0)
        val wanted =
            free.filter { shard ->
                val waited = context.now - (absentSince[shard] ?: context.now)
                holder(shard, live) == context.me || waited > rank * STAGGER + STAGGER + if (settled) 0 else SETTLE
            }
        val take = wanted.take((share - mine).coerceAtLeast(0))
        if (take.isNotEmpty()) claim(take.map { Keys.shard(it) to 0L }, "free")
    }

    /** Takes old claims back to where they belong, so that each controller has its part in every zone. */
    private fun rebalance() {
        // Only while all are in touch, so what each is to hold does not change with those that come and go.
        if (context.now - stateStore.servingSinceUs < SETTLE || !allPeersInTouch() || !reachesAgents()) return
        val wrong =
            cache.claims.filter { (shard, claim) ->
                claim.node != context.me &&
                    holder(shard, everybody) == context.me &&
                    context.now - (seen[shard]?.sinceUs ?: context.now) > KEEP
            }
        if (wrong.isNotEmpty()) claim(wrong.map { (shard, claim) -> Keys.shard(shard) to claim.version }, "rebalanced")
    }

    /**
     * Takes over a machine whose controller does not serve it, and runs [then] when that is decided: with its
     * whole shard if [whole], since a write for each of hundreds of machines would take longer than their leases.
     */
    fun takeOver(
        machine: MachineId,
        whole: Boolean,
        from: NodeId,
        reason: String,
        then: () -> Unit,
    ) {
        val claim = control(machine)
        val shard = shard(machine)
        // Somebody else may have taken it over while we asked the machine.
        if (claim == null || shard == null || claim.node != from) return then()
        if (!whole || machine in cache.borrows) {
            val targets = listOf(Keys.borrow(machine.text) to (cache.borrows[machine]?.version ?: 0))
            return claim(targets, reason, setOf(shard)) { then() }
        }
        val waiting = takeovers.getOrPut(shard) { ArrayList() }
        waiting += then
        if (waiting.size > 1) return
        claim(listOf(Keys.shard(shard) to claim.version), reason) { takeovers.remove(shard)?.forEach { it() } }
    }

    /** Writes the record that commands [machine] anew, so that its token rises above all that was sent before. */
    fun raise(
        machine: MachineId,
        reason: String,
    ) {
        val claim = control(machine)
        val key = controlKey(machine)
        if (claim == null || key == null || !isMine(claim) || context.now - (raises[key] ?: -RAISE_EVERY) < RAISE_EVERY) return
        raises[key] = context.now
        claim(listOf(key to claim.version), reason)
    }

    private fun record(): JsonElement? =
        stateStore.lease?.let { WireJson.encodeToJsonElement(ClaimRecord.serializer(), ClaimRecord(context.me.text, it)) }

    /**
     * Takes machines from their shards' owners, whose guards fail from the write on: it raises their shards'
     * epochs. What they placed before has a lower revision, so once our records are as new as the borrowing,
     * they show all of it.
     */
    fun borrow(
        machines: Collection<MachineId>,
        then: (MachineId) -> Unit,
    ) {
        if (!isLeader || !reachesAgents()) return
        // One that another controller has adopted is taken from it in the same way.
        val free = machines.filter { !controls(it) && shard(it) != null }.take(maxOf(1, context.settings.limits.transactionOps / 2))
        if (free.isEmpty()) return
        val targets = free.map { Keys.borrow(it.text) to (cache.borrows[it]?.version ?: 0L) }
        claim(targets, "borrowed", free.mapNotNullTo(HashSet()) { shard(it) }) { done ->
            if (done) {
                stateStore.caughtUp { }
                free.forEach(then)
            }
        }
    }

    /** Returns a borrowed machine to its shard. */
    fun giveBack(machine: MachineId) {
        val borrow = cache.borrows[machine] ?: return
        val key = Keys.borrow(machine.text)
        if (!busy.add(key)) return
        stateStore.transact(listOf(Guard(key, borrow.version)), listOf(Write(key, null))) { busy.remove(key) }
    }

    private fun claim(
        targets: List<Pair<String, Long>>,
        reason: String,
        epochs: Set<Int> = emptySet(),
        then: (Boolean) -> Unit = {},
    ) {
        val record = record() ?: return then(false)
        val open = targets.filter { it.first !in busy }.take(maxOf(1, context.settings.limits.transactionOps - epochs.size))
        if (open.isEmpty() || stateStore.writesAllowed() < 1) return then(false)
        busy += open.map { it.first }
        val writes = open.map { Write(it.first, record, leased = true) } + epochs.map { Write(Keys.epoch(it), record) }
        stateStore.transact(open.map { Guard(it.first, it.second) }, writes) { result ->
            busy -= open.map { it.first }.toSet()
            if (result is TransactionResult.Committed) {
                LOG.info("claimed keys={} token={} reason={}", open.map { it.first.removePrefix(Keys.ROOT) }, result.revision, reason)
            }
            then(result is TransactionResult.Committed)
        }
    }

    private fun ceilDiv(
        a: Int,
        b: Int,
    ) = (a + b - 1) / b

    companion object {
        private val LOG = LoggerFactory.getLogger(ShardClaims::class.java)
        const val PARTITIONS = 12
        private const val TICK: Micros = 100 * MILLI
        private const val SETTLE: Micros = 3 * SECOND
        private const val STAGGER: Micros = 300 * MILLI
        private const val KEEP: Micros = 25 * SECOND
        private const val FIND_WAY: Micros = 10 * SECOND
        private const val RAISE_EVERY: Micros = 2 * SECOND
    }
}
