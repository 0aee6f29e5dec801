package mintpick.engine.state

import kotlinx.serialization.json.JsonElement
import mintpick.core.MachineId
import mintpick.store.CompactNames
import mintpick.store.RecordCodec
import mintpick.store.RecordFormat
import mintpick.wire.MachineRecord
import mintpick.wire.Retiring

/**
 * Distributes the machine list of one partition over records (pieces) that each fit into a value of [maxBytes].
 *
 * A new machine is added to the first piece with space for it, or to a new piece if there is none. Pieces are not filled
 * completely, so that each of their machines can still be marked as retiring. A piece that exceeds the size of a value, for
 * example after the limits were lowered, is split in the transaction that changes it. Otherwise machines never move between
 * pieces, so a reader that receives the pieces one at a time never misses a machine.
 *
 * [stored] holds the current machines by piece; records are written in [format]. Event-loop thread only.
 */
class MachineListLayout(
    stored: Map<Int, Map<MachineId, MachineRecord>>,
    private val maxBytes: Double,
    private val format: RecordFormat,
) {
    /** A piece to be written: its machines, the machines removed from it, and its encoded record. */
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

        /** Encoded size. Computed once and then kept up to date, because encoding the piece for each added machine is too slow. */
        var bytes = sizeOf(machines)
    }

    private val isCompact = format >= RecordFormat.COMPACT
    private val fillBytes = maxBytes * if (isCompact) COMPACT_FILL_RATIO else VERBOSE_FILL_RATIO
    private val pieces = stored.mapValuesTo(sortedMapOf()) { (_, machines) -> Piece(HashMap(machines)) }
    private val pieceOf = indexByMachine()

    /** Numbers of the pieces that guard a write: all existing ones and the next new one. */
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

    /** Adds a machine, or replaces its record in the piece that contains it. */
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

    /** Removes a machine. Does nothing if it is not listed. */
    fun remove(id: MachineId) {
        val piece = pieceOf.remove(id) ?: return
        piece.machines -= id
        piece.removed += id
        piece.isChanged = true
    }

    /**
     * Marks a machine as [retiring]. Returns false if the machine is not listed, or if the mark does not fit into its
     * piece until other machines of the piece have been removed.
     */
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

    /**
     * Changed pieces by number: as many as fit into one transaction of [maxOps] writes and [maxTotalBytes], but at least one if
     * any piece has changed.
     */
    fun changedPieces(
        maxOps: Int,
        maxTotalBytes: Int,
    ): Map<Int, ChangedPiece> {
        val found = LinkedHashMap<Int, ChangedPiece>()
        var bytes = 0
        // A copy of the numbers, because splitting adds pieces during the iteration.
        for (number in pieces.keys.toList()) {
            val piece = pieces.getValue(number)
            if (!piece.isChanged) continue
            val parts = split(number, piece)
            bytes += parts.values.sumOf { it.bytes }
            val exceedsLimits = found.size + parts.size > maxOps || bytes > maxTotalBytes
            if (found.isNotEmpty() && exceedsLimits) break
            pieces += parts
            for ((partNumber, part) in parts) {
                found[partNumber] = ChangedPiece(part.machines, part.removed, RecordCodec.machineListJson(part.machines, format))
            }
        }
        return found
    }

    /** Halves [piece] until each part fits into a value. The first part keeps [number]; the others get unused numbers. */
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

        /** Upper bound for most machines: the difference to the previous number, a machine kind, and the new part of the address. */
        const val COMPACT_ENTRY_BYTES = 16

        /** Reserved for the headers of groups, which the byte count does not include. */
        const val SPARE_BYTES = 1_000

        /** The longest retiring mark, with quotes, colon and comma. */
        const val MARK_BYTES = 12

        /** How far new machines may fill a piece, as a fraction of a value's size. Only in the verbose format do marks need extra space. */
        const val VERBOSE_FILL_RATIO = 0.5
        const val COMPACT_FILL_RATIO = 0.85
    }
}
