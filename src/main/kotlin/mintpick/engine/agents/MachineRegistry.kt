package mintpick.engine.agents

import mintpick.core.MILLI
import mintpick.core.MachineId
import mintpick.core.Micros
import mintpick.core.SECOND
import mintpick.engine.cache.KnownMachine
import mintpick.engine.membership.ShardClaims
import mintpick.engine.runtime.EngineContext
import mintpick.engine.runtime.TokenBucket
import mintpick.engine.state.FormatGate
import mintpick.engine.state.MachineListLayout
import mintpick.engine.state.StateStoreClient
import mintpick.engine.state.Write
import mintpick.store.Keys
import mintpick.store.TransactionResult
import mintpick.wire.Guard
import mintpick.wire.MachineRecord
import mintpick.wire.Retiring
import org.slf4j.LoggerFactory

/**
 * The durable list of machines, one record for each part: writes down machines that have reported, marks the
 * ones to be given up, and strikes out those proven gone. What comes within a moment goes in one write, since a
 * fleet that boots or is taken back in a wave would otherwise use up the writes that jobs need.
 */
class MachineRegistry(
    private val context: EngineContext,
    private val stateStore: StateStoreClient,
    private val shardClaims: ShardClaims,
    private val agents: AgentRegistry,
    private val reconciler: Reconciler,
    private val formats: FormatGate,
) {
    private class Mark(
        val how: Retiring,
        val reason: String,
    )

    private val marks = LinkedHashMap<MachineId, Mark>()
    private val busy = HashSet<Int>()
    private val nextUs = HashMap<Int, Micros>()
    private var nextTickUs: Micros = 0

    /** What is written down about machines may use this much of the limits; the rest is for jobs. */
    private val share = context.settings.limits.writeRps / (context.settings.peers.size + 1) * WRITE_PART
    private val writes = TokenBucket(share, maxOf(2.0, share * 2))

    private val cache get() = context.cache

    /** Marks a machine as one to be emptied, or to be given up at once. */
    fun retire(
        id: MachineId,
        how: Retiring,
        reason: String,
    ) {
        val known = cache.machines[id] ?: return
        if (known.record.retiring == how || known.record.retiring == Retiring.NOW || marks[id]?.how == Retiring.NOW) return
        marks[id] = Mark(how, reason)
        // What is lost is not to wait for others.
        if (how == Retiring.NOW) nextUs[shardClaims.part(id.text)] = 0
        nextTickUs = minOf(nextTickUs, context.now + GATHER)
    }

    /** Whether [id] waits to be written down as one to be given up. */
    fun isMarked(id: MachineId): Boolean = id in marks

    fun tick() {
        if (!stateStore.serving || !stateStore.reachable || context.now < nextTickUs) return
        nextTickUs = context.now + TICK
        val added = HashMap<Int, MutableMap<MachineId, MachineRecord>>()
        for (view in agents.views()) {
            val report = view.latest ?: continue
            val known = cache.machines[view.id]
            if ((known != null && !known.legacy) ||
                reconciler.isGone(view.id) ||
                !agents.isConfirmed(view) ||
                !agents.isFresh(view)
            ) {
                continue
            }
            added.getOrPut(shardClaims.part(view.id.text)) { HashMap() }[view.id] =
                known?.record ?: MachineRecord(report.type, report.zone, report.spot, report.address)
        }
        val dropped =
            cache.machines.values
                .filter { reconciler.isGone(it.id) && cache.tasksOn(it.id).isEmpty() }
                .groupBy { shardClaims.part(it.id.text) }
        // Only its controller judges a machine to be lost: another's silence says nothing.
        marks.entries.removeIf { (id, mark) ->
            id !in cache.machines ||
                reconciler.isGone(id) ||
                (mark.how == Retiring.NOW && !shardClaims.controls(id))
        }
        val marked = marks.entries.groupBy { shardClaims.part(it.key.text) }
        // The longest waiting first: otherwise the same few would take all writes while a fleet boots.
        for (part in (added.keys + marked.keys + dropped.keys).sortedBy { nextUs[it] ?: 0 }) {
            val hurry = marked[part].orEmpty().any { it.value.how == Retiring.NOW }
            // Its own part of the writes is enough: what places tasks would leave none, and an unlisted machine takes no task.
            if (part in busy || (!hurry && context.now < (nextUs[part] ?: 0)) || !stateStore.mayWrite) continue
            // Gone machines harm nobody by being listed: they alone are reason enough only now and then.
            if (part !in added && part !in marked && context.now < (nextUs[part] ?: 0) + DROP_WAIT) continue
            if (hurry) {
                writes.force(context.now, 1.0)
            } else if (!writes.take(context.now, 1.0)) {
                continue
            }
            store(part, added[part].orEmpty(), marked[part].orEmpty().associate { it.key to it.value }, dropped[part].orEmpty())
        }
    }

    private fun store(
        part: Int,
        added: Map<MachineId, MachineRecord>,
        marked: Map<MachineId, Mark>,
        dropped: List<KnownMachine>,
    ) {
        val pieces = MachineListLayout(cache.tablesOf(part), formats.valueBytes, formats.current)
        // What an earlier version stored in records of their own moves over with its mark.
        val legacyMarked = marked.keys.mapNotNull { cache.machines[it] }.filter { it.legacy }
        (legacyMarked.associate { it.id to it.record } + added).forEach { (id, record) -> pieces.add(id, record) }
        dropped.forEach { pieces.remove(it.id) }
        val written = marked.filter { (id, mark) -> pieces.mark(id, mark.how) }
        if (written.size < marked.size) LOG.warn("fleet record full part={} marks={} waiting", part, marked.size - written.size)
        val ops = context.settings.limits.transactionOps
        val changed = pieces.changed(maxOf(1, ops - minOf(MAX_OLD * 2, ops / 2)), MAX_BYTES)
        nextUs[part] = context.now + EVERY
        if (changed.isEmpty()) return
        busy += part
        val machines = changed.values.flatMapTo(HashSet()) { it.machines.keys }
        val gone = dropped.filter { known -> changed.values.any { known.id in it.removed } }.map { it.id }
        val old = (added.keys + marked.keys).filter { it in machines } + gone
        val left = maxOf(0, ops - changed.size)
        val borrows = gone.filter { it in cache.borrows }.take(minOf(MAX_OLD, left)).map { Write(Keys.borrow(it.text), null) }
        val legacyKeys = old.filter { cache.machines[it]?.legacy == true }.map { Keys.machine(it.text) }
        val legacy = legacyKeys.take(minOf(MAX_OLD, left - borrows.size)).map { Write(it, null) }
        // Borrowings first: of a machine that is struck out after them no end of a borrowing has to be kept.
        val writes = borrows + changed.map { (piece, table) -> Write(Keys.machineList(part, piece), table.value) } + legacy
        this.writes.force(context.now, (writes.size - 1).toDouble())
        stateStore.transact(guardsOf(part, pieces), writes) { result ->
            busy -= part
            if (result is TransactionResult.Committed) {
                for ((id, mark) in written) {
                    if (id !in machines) continue
                    marks.remove(id, mark)
                    LOG.info("retire machine={} type={} how={} reason={}", id.text, typeOf(id), mark.how, mark.reason)
                }
            } else {
                nextUs[part] = context.now + RETRY
                stateStore.caughtUp { }
            }
        }
    }

    private fun typeOf(machine: MachineId): String? = cache.machines[machine]?.record?.type

    /** All pieces of a part, also those that do not exist yet: a machine must never be listed in two of them. */
    private fun guardsOf(
        part: Int,
        pieces: MachineListLayout,
    ): List<Guard> = pieces.numbers.map { Keys.machineList(part, it) }.map { Guard(it, cache.version(it)) }

    companion object {
        private val LOG = LoggerFactory.getLogger(MachineRegistry::class.java)
        private const val TICK: Micros = 400 * MILLI
        private const val GATHER: Micros = 20 * MILLI
        private const val EVERY: Micros = 800 * MILLI
        private const val WRITE_PART = 0.2
        private const val RETRY: Micros = 200 * MILLI
        private const val DROP_WAIT: Micros = 3 * SECOND

        /** Bytes of the pieces that one transaction may carry; the rest is written with the next. */
        private const val MAX_BYTES = 40_000
        private const val MAX_OLD = 3
    }
}
