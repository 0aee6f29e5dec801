package mintpick.engine.state

import kotlinx.serialization.json.JsonElement
import mintpick.core.MachineId
import mintpick.store.CompactNames
import mintpick.store.RecordCodec
import mintpick.store.RecordFormat
import mintpick.wire.MachineRecord
import mintpick.wire.Retiring

/**
 * The machines of one part as records that each fit into a value of the state service. A new machine goes into the first
 * piece that has room, so that every machine of a full one can still be marked; with no such piece a new one begins. A
 * piece that has outgrown a value, as after the limits have been lowered, is split in the transaction that changes it;
 * otherwise machines do not move between pieces, so that what is read piece by piece is never a machine short.
 */
class MachineListLayout(
    before: Map<Int, Map<MachineId, MachineRecord>>,
    private val maxBytes: Double,
    private val format: RecordFormat,
) {
    /** A piece that is to be written: what it holds, what has left it, and its record. */
    class Changed(
        val machines: Map<MachineId, MachineRecord>,
        val removed: Set<MachineId>,
        val value: JsonElement,
    )

    private inner class Piece(
        val machines: HashMap<MachineId, MachineRecord>,
    ) {
        val removed = HashSet<MachineId>()
        var isChanged = false

        /** Worked out once and then kept up to date: adding many machines must not encode the piece for each. */
        var bytes = sizeOf(machines)
    }

    private val isCompact = format >= RecordFormat.COMPACT
    private val fillTo = maxBytes * if (isCompact) COMPACT_FILL else VERBOSE_FILL
    private val pieces = before.mapValuesTo(sortedMapOf()) { (_, machines) -> Piece(HashMap(machines)) }
    private val pieceOf = HashMap<MachineId, Piece>().apply { pieces.values.forEach { p -> p.machines.keys.forEach { put(it, p) } } }

    /** Numbers of all pieces, and of the one that would come next. */
    val numbers: Set<Int> get() = pieces.keys + nextNumber()

    private fun nextNumber(): Int = generateSequence(0) { it + 1 }.first { it !in pieces }

    private fun sizeOf(machines: Map<MachineId, MachineRecord>): Int = RecordCodec.machineListJson(machines, format).toString().length

    fun add(
        id: MachineId,
        record: MachineRecord,
    ) {
        val known = pieceOf[id]
        val size = bytesOf(id, record)
        val piece = known ?: pieces.values.firstOrNull { it.bytes + size < fillTo } ?: newPiece()
        if (piece.machines.put(id, record) == null) piece.bytes += size
        pieceOf[id] = piece
        piece.isChanged = true
    }

    private fun newPiece(): Piece = Piece(HashMap()).also { pieces[nextNumber()] = it }

    fun remove(id: MachineId) {
        val piece = pieceOf.remove(id) ?: return
        piece.machines -= id
        piece.removed += id
        piece.isChanged = true
    }

    /** Whether the mark found room; one that does not waits until others of its piece are gone. */
    fun mark(
        id: MachineId,
        how: Retiring,
    ): Boolean {
        val piece = pieceOf[id] ?: return false
        val record = piece.machines[id] ?: return false
        val size = if (record.retiring == Retiring.NO && !isCompact) id.text.length + MARK_BYTES else 0
        if (!isCompact && piece.bytes + size > maxBytes - SPARE_BYTES) return false
        piece.machines[id] = record.copy(retiring = how)
        piece.bytes += size
        piece.isChanged = true
        return true
    }

    /** Pieces to be written, as many as fit into one transaction of [maxOps] writes and [maxTotal] bytes. */
    fun changed(
        maxOps: Int,
        maxTotal: Int,
    ): Map<Int, Changed> {
        val found = LinkedHashMap<Int, Changed>()
        var bytes = 0
        for ((number, piece) in pieces.entries.map { it.key to it.value }) {
            if (!piece.isChanged) continue
            val parts = split(number, piece)
            bytes += parts.values.sumOf { it.bytes }
            if (found.isNotEmpty() && (found.size + parts.size > maxOps || bytes > maxTotal)) break
            pieces += parts
            for ((part, kept) in parts) {
                found[part] = Changed(kept.machines, kept.removed, RecordCodec.machineListJson(kept.machines, format))
            }
        }
        return found
    }

    /** [piece] in halves until each fits into a value; what it loses goes to pieces that do not exist yet. */
    private fun split(
        number: Int,
        piece: Piece,
    ): Map<Int, Piece> {
        val fitting = ArrayList<Piece>()
        val open = ArrayDeque(listOf(piece))
        while (open.isNotEmpty()) {
            val next = open.removeFirst()
            next.bytes = sizeOf(next.machines)
            if (next.bytes <= maxBytes || next.machines.size < 2) {
                fitting += next
            } else {
                val ordered = CompactNames.ordered(next.machines.keys.map { it.text }).map(::MachineId)
                val (first, second) = ordered.chunked((ordered.size + 1) / 2)
                open += Piece(HashMap(first.associateWith(next.machines::getValue)))
                open += Piece(HashMap(second.associateWith(next.machines::getValue)))
            }
        }
        if (fitting.first() !== piece) fitting.first().removed += piece.removed
        val free = generateSequence(0) { it + 1 }.filter { it !in pieces }.iterator()
        return fitting.withIndex().associate { (i, part) -> (if (i == 0) number else free.next()) to part }
    }

    private fun bytesOf(
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

        /** How full pieces are made: marks take room in the verbose format alone. */
        const val VERBOSE_FILL = 0.5
        const val COMPACT_FILL = 0.85
    }
}
