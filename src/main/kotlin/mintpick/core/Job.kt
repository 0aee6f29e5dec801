package mintpick.core

import mintpick.wire.JobSpec
import mintpick.wire.StoredStage
import kotlin.math.min

/** A placed task, identified by its index in its job, and its current placement. */
data class TaskPlacement(
    val task: Int,
    val placement: Placement,
)

/** Version and layout of a job's stored records. */
data class JobRecordInfo(
    /** Version of the main record; 0 if it is not stored yet. */
    val version: Long,
    /** Number of separate records that hold the specification; 0 if the main record holds it. */
    val specPieceCount: Int = 0,
)

/**
 * A job that is not final yet. A cancelled job stays one until heartbeats prove that all its tasks have ended. Immutable.
 * Tasks are numbered from 0 and divided into chunks of [TASKS_PER_CHUNK].
 *
 * @param submittedUs wall-clock time of the submission, in microseconds
 * @param chunks the stored chunks by index; all tasks of the other chunks are waiting
 */
class Job(
    val id: JobId,
    val spec: JobSpec,
    val stage: StoredStage,
    val submittedUs: Micros,
    private val record: JobRecordInfo,
    private val chunks: Map<Int, Chunk>,
    /** Whether all predecessors are done. No task may start before that. Derived, never stored. */
    val arePredecessorsDone: Boolean = true,
) {
    /** Version of the main record; 0 if it is not stored yet. */
    val version: Long get() = record.version

    /** Number of separate records that hold the specification; 0 if the main record holds it. */
    val specPieceCount: Int get() = record.specPieceCount

    /** Number of chunks, stored or not. */
    val chunkCount: Int get() = (spec.tasks + TASKS_PER_CHUNK - 1) / TASKS_PER_CHUNK

    /** Number of tasks that are done. */
    val doneCount: Int = chunks.values.sumOf { it.doneCount }

    /** Number of tasks that are placed on a machine. */
    val placedCount: Int = chunks.values.sumOf { it.placed.size }

    /** Number of tasks that wait for a machine; 0 while the job waits for predecessors or if it is not open. */
    val waitingCount: Int get() = if (stage == StoredStage.OPEN && arePredecessorsDone) spec.tasks - doneCount - placedCount else 0

    /** The chunk [index]; if it is not stored, one whose tasks are all waiting. */
    fun chunk(index: Int): Chunk = chunks[index] ?: Chunk.empty(chunkSize(index))

    /** The chunk that contains [task]. */
    fun chunkOf(task: Int): Chunk = chunk(task / TASKS_PER_CHUNK)

    /** Whether [task] is done; false for an index outside the job. */
    fun isDone(task: Int): Boolean = task in 0 until spec.tasks && chunkOf(task).isDone(task % TASKS_PER_CHUNK)

    /** The current placement of [task]; null if it is not placed or its index is outside the job. */
    fun placement(task: Int): Placement? = if (task in 0 until spec.tasks) chunkOf(task).placed[task % TASKS_PER_CHUNK] else null

    /** The placed tasks and their placements, chunk by chunk. */
    fun placements(): Sequence<TaskPlacement> =
        chunks.asSequence().flatMap { (index, chunk) ->
            chunk.placed.asSequence().map { (task, placement) -> TaskPlacement(index * TASKS_PER_CHUNK + task, placement) }
        }

    /** The tasks counted by [waitingCount], in ascending order. */
    fun waitingTasks(): Sequence<Int> {
        if (waitingCount == 0) return emptySequence()
        return (0 until chunkCount).asSequence().flatMap { index -> chunk(index).waiting().map { index * TASKS_PER_CHUNK + it } }
    }

    /** A copy of the job with the given properties changed. */
    fun with(
        version: Long = this.version,
        stage: StoredStage = this.stage,
        arePredecessorsDone: Boolean = this.arePredecessorsDone,
        specPieceCount: Int = this.specPieceCount,
    ): Job = Job(id, spec, stage, submittedUs, JobRecordInfo(version, specPieceCount), chunks, arePredecessorsDone)

    /** A copy of the job with chunk [index] replaced by [chunk]. */
    fun withChunk(
        index: Int,
        chunk: Chunk,
    ): Job = Job(id, spec, stage, submittedUs, record, chunks + (index to chunk), arePredecessorsDone)

    /** Number of tasks in the chunk [index]. */
    fun chunkSize(index: Int): Int = min(TASKS_PER_CHUNK, spec.tasks - index * TASKS_PER_CHUNK)

    companion object {
        /** Tasks per chunk record. Even with each task on a different machine, the record stays below the smallest value size limit. */
        const val TASKS_PER_CHUNK = 256
    }
}
