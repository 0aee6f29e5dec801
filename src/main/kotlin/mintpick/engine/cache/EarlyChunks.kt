package mintpick.engine.cache

import kotlinx.serialization.json.JsonElement
import mintpick.core.JobId

/** The record of chunk [index] of a job, with the [version] of its key. */
internal class EarlyChunk(
    val index: Int,
    val value: JsonElement,
    val version: Long,
)

/**
 * Chunks received before their job was known: before its main record, or before all pieces of the specification that the main
 * record refers to. A load reads the records in the order of their keys, so it meets the chunks of a job before these pieces.
 */
internal class EarlyChunks {
    private val chunksByJob = HashMap<JobId, HashMap<Int, EarlyChunk>>()

    /** Number of chunks kept. */
    val size: Int get() = chunksByJob.values.sumOf { it.size }

    /** Keeps [chunk] of [job], in place of an earlier record of the same chunk. */
    fun put(
        job: JobId,
        chunk: EarlyChunk,
    ) {
        chunksByJob.getOrPut(job) { HashMap() }[chunk.index] = chunk
    }

    /** Removes and returns the chunks of [job]. */
    fun remove(job: JobId): Collection<EarlyChunk> = chunksByJob.remove(job)?.values.orEmpty()

    /** Removes chunk [index] of [job], whose record has been deleted. */
    fun remove(
        job: JobId,
        index: Int,
    ) {
        val chunks = chunksByJob[job] ?: return
        chunks.remove(index)
        if (chunks.isEmpty()) chunksByJob.remove(job)
    }
}
