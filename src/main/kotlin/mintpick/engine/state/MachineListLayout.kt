package mintpick.engine.state

import kotlinx.serialization.json.JsonElement
import mintpick.core.MachineId
import mintpick.store.CompactNames
import mintpick.store.RecordCodec
import mintpick.store.RecordFormat
import mintpick.wire.MachineRecord
import mintpick.wire.Retiring

/**
 * The machines of one shard as records that each fit into a value of [maxBytes]. A new machine goes into the first piece
 * that has room, so that every machine of a full one can still be marked; with no such piece a new one begins. A piece that
 * has outgrown a value, as after the limits have been lowered, is split in the transaction that changes it; otherwise
 * machines do not move between pieces, so that a reader that gets them piece by piece never misses a machine. [stored] are
 * the machines by piece as they are now; records are written in [format]. Event-loop thread only.
 */
class MachineListLayout(
    stored: Map<Int, Map<MachineId, MachineRecord>>,
    private val maxBytes: Double,
    private val format: RecordFormat,
) {
    /** A piece that is to be written: the machines that it holds, those that have left it, and its record. */
    class ChangedPiece(
        val machines: Map<MachineId, MachineRecord>,
        val removed: Set<MachineId>,
        val value: JsonElement,
    )

    private inner class Piece(
        val machines: HashMap<MachineId, MachineRecord>,
    ) {
        val removed = HashSet<MachineId>()
        var isChanged = false

        /** Encoded once and then kept up to date: adding many machines must not encode the piece for each. */
        var bytes = sizeOf(machines)
    }

    private val isCompact = format >= RecordFormat.COMPACT
    private val fillBytes = maxBytes * if (isCompact) COMPACT_FILL_RATIO else VERBOSE_FILL_RATIO
    private val pieces = stored.mapValuesTo(sortedMapOf()) { (_, machines) -> Piece(HashMap(machines)) }
    private val pieceOf = indexByMachine()

    /** Numbers of all pieces, and of the one that would come next. */
    val guardedNumbers: Set<Int> get() = pieces.keys + unusedNumbers().first()

    private fun indexByMachine(): HashMap<MachineId, Piece> {
        val index = HashMap<MachineId, Piece>()
        for (piece in pieces.values) {
            piece.machines.keys.forEach { index[it] = piece }
        }
        return index
    }

    private fun unusedNumbers(): Sequence<Int> = generateSequence(0) { it + 1 }.filter { it !in pieces }

    private fun sizeOf(machines: Map<MachineId, MachineRecord>): Int = RecordCodec.machineListJson(machines, format).toString().length

    /** Adds a machine, or replaces its record in the piece that has it. */
    fun add(
        id: MachineId,
        record: MachineRecord,
    ) {
        val entryBytes = entryBytes(id, record)
        val piece = pieceOf[id] ?: pieces.values.firstOrNull { it.bytes + entryBytes < fillBytes } ?: newPiece()
        val replaced = piece.machines.put(id, record)
        if (replaced == null) piece.bytes += entryBytes
        pieceOf[id] = piece
        piece.isChanged = true
    }

    private fun newPiece(): Piece {
        val piece = Piece(HashMap())
        pieces[unusedNumbers().first()] = piece
        return piece
    }

    /** Removes a machine; one that is not listed is ignored. */
    fun remove(id: MachineId) {
        val piece = pieceOf.remove(id) ?: return
        piece.machines -= id
        piece.removed += id
        piece.isChanged = true
    }

    /** Marks a machine as [retiring]; false if the mark has no room, and waits until others of its piece are gone. */
    fun markRetiring(
        id: MachineId,
        retiring: Retiring,
    ): Boolean {
        val piece = pieceOf[id] ?: return false
        val record = piece.machines[id] ?: return false
        val markBytes = if (record.retiring == Retiring.NO && !isCompact) id.text.length + MARK_BYTES else 0
        if (!isCompact && piece.bytes + markBytes > maxBytes - SPARE_BYTES) return false
        piece.machines[id] = record.copy(retiring = retiring)
        piece.bytes += markBytes
        piece.isChanged = true
        return true
    }

    /** Pieces to be written by number, as many as fit into one transaction of [maxOps] writes and [maxTotal] bytes, but at least one. */
    fun changedPieces(
        maxOps: Int,
        maxTotal: Int,
    ): Map<Int, ChangedPiece> {
        val found = LinkedHashMap<Int, ChangedPiece>()
        var bytes = 0
        // Splitting adds pieces meanwhile.
        for (number in pieces.keys.toList()) {
            val piece = pieces.getValue(number)
            if (!piece.isChanged) continue
            val parts = split(number, piece)
            bytes += parts.values.sumOf { it.bytes }
            val isTooMuch = found.size + parts.size > maxOps || bytes > maxTotal
            if (found.isNotEmpty() && isTooMuch) break
            pieces += parts
            for ((partNumber, part) in parts) {
                found[partNumber] = ChangedPiece(part.machines, part.removed, RecordCodec.machineListJson(part.machines, format))
            }
        }
        return found
    }

    /** [piece] in halves until each fits into a value; the first keeps its [number], the others get unused ones. */
    private fun split(
        number: Int,
        piece: Piece,
    ): Map<Int, Piece> {
        val fitting = ArrayList<Piece>()
        val pending = ArrayDeque(listOf(piece))
        while (pending.isNotEmpty()) {
            val next = pending.removeFirst()
            next.bytes = sizeOf(next.machines)
            if (next.bytes <= maxBytes || next.machines.size < 2) fitting += next else pending += halves(next)
        }
        if (fitting.first() !== piece) fitting.first().removed += piece.removed
        val unused = unusedNumbers().iterator()
        return fitting.withIndex().associate { (index, part) -> (if (index == 0) number else unused.next()) to part }
    }

    private fun halves(piece: Piece): List<Piece> {
        val ordered = CompactNames.ordered(piece.machines.keys.map { it.text }).map(::MachineId)
        val size = (ordered.size + 1) / 2
        return ordered.chunked(size).map { ids -> Piece(HashMap(ids.associateWith(piece.machines::getValue))) }
    }

    private fun entryBytes(
        id: MachineId,
        record: MachineRecord,
    ): Int = if (isCompact) COMPACT_ENTRY_BYTES else id.text.length + record.address.length + ENTRY_BYTES

    private companion object {
        /** Quotes, colon and comma of an entry. */
        const val ENTRY_BYTES = 6

        /** What a machine mostly takes at most: a step between numbers, a kind, and what is new in its address. */
        const val COMPACT_ENTRY_BYTES = 16

        /** For the heads of groups, which the count of bytes leaves out. */
        const val SPARE_BYTES = 1_000

        /** The longest mark with quotes, colon and comma. */
        const val MARK_BYTES = 12

        /** How full pieces are made, as a part of a value's size: marks take room in the verbose format alone. */
        const val VERBOSE_FILL_RATIO = 0.5
        const val COMPACT_FILL_RATIO = 0.85
    }
}
