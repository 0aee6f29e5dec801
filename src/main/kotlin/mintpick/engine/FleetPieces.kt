package mintpick.engine

import kotlinx.serialization.json.JsonElement
import mintpick.core.MachineId
import mintpick.store.RecordCodec
import mintpick.wire.MachineRecord
import mintpick.wire.Retiring

/**
 * The machines of one part as records that each fit into a value of the state service. A new machine goes into the first
 * piece that is less than half full, so that every machine of a full one can still be marked; with no such piece a new
 * one begins. Machines do not move between pieces, so that what is read piece by piece is never a machine short.
 */
class FleetPieces(
    before: Map<Int, Map<MachineId, MachineRecord>>,
    private val maxBytes: Double,
) {
    /** A piece that is to be written: what it holds, what has left it, and its record. */
    class Changed(
        val machines: Map<MachineId, MachineRecord>,
        val removed: Set<MachineId>,
        val value: JsonElement,
    )

    private class Piece(
        val machines: HashMap<MachineId, MachineRecord>,
    ) {
        val removed = HashSet<MachineId>()
        var isChanged = false

        /** Worked out once and then kept up to date: adding many machines must not encode the piece for each. */
        var bytes = RecordCodec.fleetJson(machines).toString().length
    }

    private val pieces = before.mapValuesTo(sortedMapOf()) { (_, machines) -> Piece(HashMap(machines)) }
    private val pieceOf = HashMap<MachineId, Piece>().apply { pieces.values.forEach { p -> p.machines.keys.forEach { put(it, p) } } }

    /** Numbers of all pieces, and of the one that would come next. */
    val numbers: Set<Int> get() = pieces.keys + nextNumber()

    private fun nextNumber(): Int = generateSequence(0) { it + 1 }.first { it !in pieces }

    fun add(
        id: MachineId,
        record: MachineRecord,
    ) {
        val known = pieceOf[id]
        val size = bytesOf(id, record)
        val piece = known ?: pieces.values.firstOrNull { it.bytes + size < maxBytes / 2 } ?: newPiece()
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
        val size = if (record.retiring == Retiring.NO) id.text.length + MARK_BYTES else 0
        if (piece.bytes + size > maxBytes - SPARE_BYTES) return false
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
        for ((number, piece) in pieces) {
            if (!piece.isChanged) continue
            bytes += piece.bytes
            if (found.isNotEmpty() && (found.size >= maxOps || bytes > maxTotal)) break
            found[number] = Changed(piece.machines, piece.removed, RecordCodec.fleetJson(piece.machines))
        }
        return found
    }

    private fun bytesOf(
        id: MachineId,
        record: MachineRecord,
    ): Int = id.text.length + record.address.length + ENTRY_BYTES

    private companion object {
        /** Quotes, colon and comma of an entry. */
        const val ENTRY_BYTES = 6

        /** For the heads of groups, which the count of bytes leaves out. */
        const val SPARE_BYTES = 1_000

        /** The longest mark with quotes, colon and comma. */
        const val MARK_BYTES = 12
    }
}
