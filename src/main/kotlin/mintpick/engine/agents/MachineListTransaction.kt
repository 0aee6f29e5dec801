package mintpick.engine.agents

import mintpick.core.MachineId
import mintpick.engine.runtime.EngineContext
import mintpick.engine.state.MachineListLayout
import mintpick.engine.state.RecordFormatNegotiator
import mintpick.engine.state.Write
import mintpick.store.Keys
import mintpick.wire.Guard
import org.slf4j.LoggerFactory

/** A transaction that writes [MachineListChanges], or as many of them as the transaction limits allow. */
class MachineListTransaction(
    val guards: List<Guard>,
    val writes: List<Write>,
    /** The scale-in requests that the transaction fulfils when it is committed. */
    val appliedRequests: List<ScaleInRequest>,
)

/** Builds transactions that change the machine list. Event-loop thread only. */
class MachineListTransactionBuilder(
    private val context: EngineContext,
    private val formats: RecordFormatNegotiator,
) {
    private val cache get() = context.cache
    private val maxOperations get() = context.settings.limits.transactionOps

    /** The transaction for [changes], or null if none of them can be written now. */
    fun build(changes: MachineListChanges): MachineListTransaction? {
        val layout = MachineListLayout(cache.machineListsOf(changes.partition), formats.maxValueBytes, formats.current)
        val applied = applyTo(layout, changes)
        val reserved = minOf(MAX_OBSOLETE_RECORDS * 2, maxOperations / 2)
        val pieces = layout.changedPieces(maxOf(1, maxOperations - reserved), MAX_BYTES)
        if (pieces.isEmpty()) return null
        val written = pieces.values.flatMapTo(HashSet()) { it.machines.keys }
        val removed = changes.terminated.map { it.id }.filter { id -> pieces.values.any { id in it.removed } }
        val listWrites = pieces.map { (number, piece) -> Write(Keys.machineList(changes.partition, number), piece.value) }
        val borrowWrites = borrowingRemovals(removed, maxOf(0, maxOperations - pieces.size))
        val legacyCapacity = maxOf(0, maxOperations - pieces.size) - borrowWrites.size
        val moved = (changes.added.keys + changes.scaledIn.map { it.machine }).filter { it in written }
        // Borrowings go first: the cache then drops the end of a borrowing when it applies the removal of its machine.
        val writes = borrowWrites + listWrites + legacyRecordRemovals(moved + removed, legacyCapacity)
        return MachineListTransaction(guardsOf(changes.partition, layout), writes, applied.filter { it.machine in written })
    }

    /** Applies [changes] to [layout]; returns the scale-in requests that fitted in. */
    private fun applyTo(
        layout: MachineListLayout,
        changes: MachineListChanges,
    ): List<ScaleInRequest> {
        // Machines that an earlier version stored as separate records move into the list when they are marked for scale-in.
        val legacy = changes.scaledIn.mapNotNull { cache.machines[it.machine] }.filter { it.legacy }
        val records = legacy.associate { it.id to it.record } + changes.added
        records.forEach { (id, record) -> layout.add(id, record) }
        changes.terminated.forEach { layout.remove(it.id) }
        val applied = changes.scaledIn.filter { layout.markRetiring(it.machine, it.mode) }
        val waiting = changes.scaledIn.size - applied.size
        if (waiting > 0) LOG.warn("machine list full, scale-in marks postponed part={} marks={}", changes.partition, waiting)
        return applied
    }

    private fun borrowingRemovals(
        removed: List<MachineId>,
        maxRemovals: Int,
    ): List<Write> =
        removed
            .filter { it in cache.borrows }
            .take(minOf(MAX_OBSOLETE_RECORDS, maxRemovals))
            .map { Write(Keys.borrow(it.text), null) }

    private fun legacyRecordRemovals(
        machines: List<MachineId>,
        maxRemovals: Int,
    ): List<Write> =
        machines
            .filter { cache.machines[it]?.legacy == true }
            .take(minOf(MAX_OBSOLETE_RECORDS, maxRemovals))
            .map { Write(Keys.machine(it.text), null) }

    /** Guards all pieces of a partition, including those that do not exist yet, since a machine must never be listed in two of them. */
    private fun guardsOf(
        partition: Int,
        layout: MachineListLayout,
    ): List<Guard> =
        layout.guardedNumbers
            .map { Keys.machineList(partition, it) }
            .map { Guard(it, cache.version(it)) }

    private companion object {
        val LOG = LoggerFactory.getLogger(MachineListTransactionBuilder::class.java)

        /** Maximum size of the list pieces in one transaction; the rest is written with the next one. */
        const val MAX_BYTES = 40_000

        /** Maximum number of borrowings, and of records of earlier versions, that one transaction removes. */
        const val MAX_OBSOLETE_RECORDS = 3
    }
}
