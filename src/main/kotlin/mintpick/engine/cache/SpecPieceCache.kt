package mintpick.engine.cache

import kotlinx.serialization.json.JsonElement
import kotlinx.serialization.json.jsonPrimitive
import mintpick.core.JobId
import mintpick.store.SpecPieces
import mintpick.wire.JobSpec
import java.util.TreeMap

/** Specifications that are stored in pieces of their own, since they are too large for their jobs' main records. */
internal class SpecPieceCache {
    private val piecesByJob = HashMap<JobId, TreeMap<Int, String>>()

    /** Jobs with stored pieces, whether there is such a job or not. */
    val jobs: Set<JobId> get() = piecesByJob.keys

    /** Piece [index] of [job]'s specification; null: not known. */
    fun piece(
        job: JobId,
        index: Int,
    ): String? = piecesByJob[job]?.get(index)

    /** Numbers of the known pieces of [job]'s specification. */
    fun pieceNumbers(job: JobId): Set<Int> = piecesByJob[job]?.keys.orEmpty()

    /** The specification of [job] in [count] pieces; null: they are not all known, or there are none. */
    fun join(
        job: JobId,
        count: Int,
    ): JobSpec? {
        val pieces = piecesByJob[job]?.headMap(count) ?: return null
        if (count == 0 || pieces.size < count) return null
        return SpecPieces.join(pieces.values)
    }

    /** A piece was written, or deleted if [value] is null; throws [IllegalArgumentException] if it is no text. */
    fun apply(
        job: JobId,
        piece: Int,
        value: JsonElement?,
    ) {
        val pieces = piecesByJob.getOrPut(job) { TreeMap() }
        pieces.applyRecord(piece, value) { it.jsonPrimitive.content }
        if (pieces.isEmpty()) piecesByJob.remove(job)
    }
}
