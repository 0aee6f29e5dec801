package mintpick.engine.cache

import kotlinx.serialization.json.JsonElement
import kotlinx.serialization.json.jsonPrimitive
import mintpick.core.JobId
import mintpick.store.SpecPieces
import mintpick.wire.JobSpec
import java.util.TreeMap

/** Specifications that are stored in separate pieces, because they are too large for the main records of their jobs. */
internal class SpecPieceCache {
    private val piecesByJob = HashMap<JobId, TreeMap<Int, String>>()

    /** Ids with stored pieces, whether or not a job record exists. */
    val jobs: Set<JobId> get() = piecesByJob.keys

    /** Piece [index] of [job]'s specification; null if it is unknown. */
    fun piece(
        job: JobId,
        index: Int,
    ): String? = piecesByJob[job]?.get(index)

    /** Numbers of the known pieces of [job]'s specification. */
    fun pieceNumbers(job: JobId): Set<Int> = piecesByJob[job]?.keys.orEmpty()

    /** Joins the [count] pieces of [job]'s specification; null if not all of them are known, or if [count] is 0. */
    fun join(
        job: JobId,
        count: Int,
    ): JobSpec? {
        val pieces = piecesByJob[job]?.headMap(count) ?: return null
        if (count == 0 || pieces.size < count) return null
        return SpecPieces.join(pieces.values)
    }

    /** Applies a write of a piece, or its deletion if [value] is null; throws [IllegalArgumentException] if it is not a text. */
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
