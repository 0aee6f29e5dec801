package mintpick.engine.cache

import kotlinx.serialization.json.JsonElement
import kotlinx.serialization.json.jsonPrimitive
import mintpick.core.JobId
import mintpick.core.JobMemory
import mintpick.store.SpecPieces
import mintpick.wire.JobSpec
import java.util.TreeMap

/**
 * Specifications that are stored in separate pieces, because they are too large for the main records of their jobs. The texts of a
 * job's pieces are kept only until they have been joined.
 */
internal class SpecPieceCache {
    /** The text of a piece is null if it is not kept any more. */
    private val piecesByJob = HashMap<JobId, TreeMap<Int, String?>>()

    /** Estimated bytes of the texts that are kept. */
    var textBytes = 0L
        private set

    /** Ids with stored pieces, whether or not a job record exists. */
    val jobs: Set<JobId> get() = piecesByJob.keys

    /** Piece [index] of [job]'s specification; null if it is unknown, or if its text is not kept any more. */
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
        val texts = pieces.values.filterNotNull()
        if (count == 0 || texts.size < count) return null
        return SpecPieces.join(texts)
    }

    /** Applies a write of a piece, or its deletion if [value] is null; throws [IllegalArgumentException] if it is not a text. */
    fun apply(
        job: JobId,
        piece: Int,
        value: JsonElement?,
    ) {
        val pieces = piecesByJob.getOrPut(job) { TreeMap() }
        textBytes -= bytesOf(pieces[piece])
        pieces.applyRecord(piece, value) { it.jsonPrimitive.content }
        textBytes += bytesOf(pieces[piece])
        if (pieces.isEmpty()) piecesByJob.remove(job)
    }

    /** Drops the texts of [job]'s pieces, which have been joined. Their numbers stay known. */
    fun releaseTexts(job: JobId) {
        val pieces = piecesByJob[job] ?: return
        for (entry in pieces) {
            textBytes -= bytesOf(entry.value)
            entry.setValue(null)
        }
    }

    private fun bytesOf(text: String?): Long = text?.let(JobMemory::textBytes) ?: 0
}
