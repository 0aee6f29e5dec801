package mintpick.engine

import mintpick.core.MILLI
import mintpick.core.MachineId
import mintpick.core.Micros
import mintpick.core.SECOND
import mintpick.store.Keys
import mintpick.store.RecordCodec
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
class Roster(
    private val kernel: Kernel,
    private val link: StateLink,
    private val ownership: Ownership,
    private val fleet: Fleet,
    private val observer: Observer,
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
    private val share = kernel.settings.limits.writeRps / (kernel.settings.peers.size + 1) * WRITE_PART
    private val writes = Bucket(share, maxOf(2.0, share * 2))

    private val replica get() = kernel.replica

    /** Marks a machine as one to be emptied, or to be given up at once. */
    fun retire(
        id: MachineId,
        how: Retiring,
        reason: String,
    ) {
        val known = replica.machines[id] ?: return
        if (known.record.retiring == how || known.record.retiring == Retiring.NOW || marks[id]?.how == Retiring.NOW) return
        marks[id] = Mark(how, reason)
        // What is lost is not to wait for others.
        if (how == Retiring.NOW) nextUs[ownership.part(id.text)] = 0
        nextTickUs = minOf(nextTickUs, kernel.now + GATHER)
    }

    /** Whether [id] waits to be written down as one to be given up. */
    fun isMarked(id: MachineId): Boolean = id in marks

    fun tick() {
        if (!link.serving || !link.reachable || kernel.now < nextTickUs) return
        nextTickUs = kernel.now + TICK
        val added = HashMap<Int, MutableMap<MachineId, MachineRecord>>()
        for (view in fleet.views()) {
            val report = view.latest ?: continue
            val known = replica.machines[view.id]
            if ((known != null && !known.legacy) || observer.isGone(view.id) || !fleet.isConfirmed(view) || !fleet.isFresh(view)) continue
            added.getOrPut(ownership.part(view.id.text)) { HashMap() }[view.id] =
                known?.record ?: MachineRecord(report.type, report.zone, report.spot, report.address)
        }
        val dropped =
            replica.machines.values
                .filter { observer.isGone(it.id) && replica.tasksOn(it.id).isEmpty() }
                .groupBy { ownership.part(it.id.text) }
        // Only its controller judges a machine to be lost: another's silence says nothing.
        marks.entries.removeIf { (id, mark) ->
            id !in replica.machines ||
                observer.isGone(id) ||
                (mark.how == Retiring.NOW && !ownership.controls(id))
        }
        val marked = marks.entries.groupBy { ownership.part(it.key.text) }
        for (part in added.keys + marked.keys + dropped.keys) {
            val hurry = marked[part].orEmpty().any { it.value.how == Retiring.NOW }
            if (part in busy || (!hurry && kernel.now < (nextUs[part] ?: 0)) || link.writesAllowed() < 1) continue
            // Gone machines harm nobody by being listed: they alone are reason enough only now and then.
            if (part !in added && part !in marked && kernel.now < (nextUs[part] ?: 0) + DROP_WAIT) continue
            if (hurry) {
                writes.force(kernel.now, 1.0)
            } else if (!writes.take(kernel.now, 1.0)) {
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
        val table = HashMap(replica.tableOf(part))
        table += added
        marked.forEach { (id, mark) -> (table[id] ?: replica.machines[id]?.record)?.let { table[id] = it.copy(retiring = mark.how) } }
        dropped.forEach { table.remove(it.id) }
        val key = Keys.fleet(part)
        val value = RecordCodec.fleetJson(table)
        if (value.toString().length > kernel.settings.limits.valueKb * KB) {
            LOG.error("fleet record full part={} machines={}", part, table.size)
            nextUs[part] = kernel.now + FULL_WAIT
            return
        }
        busy += part
        nextUs[part] = kernel.now + EVERY
        val old = (added.keys + marked.keys + dropped.map { it.id }).filter { replica.machines[it]?.legacy == true }.take(MAX_OLD)
        val borrows = dropped.filter { it.id in replica.borrows }.take(MAX_OLD).map { Keys.borrow(it.id.text) }
        // Borrowings first: of a machine that is struck out after them no end of a borrowing has to be kept.
        val writes = borrows.map { Write(it, null) } + listOf(Write(key, value)) + old.map { Write(Keys.machine(it.text), null) }
        link.transact(listOf(Guard(key, replica.version(key))), writes) { result ->
            busy -= part
            if (result is TransactionResult.Committed) {
                for ((id, mark) in marked) {
                    marks.remove(id, mark)
                    LOG.info("retire machine={} type={} how={} reason={}", id.text, table[id]?.type, mark.how, mark.reason)
                }
            } else {
                nextUs[part] = kernel.now + RETRY
                link.caughtUp { }
            }
        }
    }

    companion object {
        private val LOG = LoggerFactory.getLogger(Roster::class.java)
        private const val KB = 1000
        private const val TICK: Micros = 400 * MILLI
        private const val GATHER: Micros = 20 * MILLI
        private const val EVERY: Micros = 800 * MILLI
        private const val WRITE_PART = 0.2
        private const val RETRY: Micros = 200 * MILLI
        private const val DROP_WAIT: Micros = 3 * SECOND
        private const val FULL_WAIT: Micros = 10 * SECOND
        private const val MAX_OLD = 3
    }
}
