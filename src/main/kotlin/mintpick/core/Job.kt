package mintpick.core

import mintpick.wire.JobSpec
import mintpick.wire.StoredStage
import kotlin.math.min

/** A placed task, by its index in its job, with its current assignment. */
data class AssignedTask(
    val task: Int,
    val placement: Placement,
)

/** How a job is stored. */
data class JobRecordInfo(
    /** The version of the main record; 0 if it is not stored yet. */
    val version: Long,
    /** Records that hold the specification apart from the main one; 0: it is in the main record. */
    val specPieceCount: Int = 0,
)

/**
 * A job that is not final, or is cancelled while reports do not yet prove that all its tasks have ended. Immutable. Tasks are numbered from 0 on and kept in
 * chunks of [TASKS_PER_CHUNK].
 *
 * @param submittedUs when the job was submitted: a time of day in microseconds
 * @param chunks the chunks that are stored, by index; all tasks of the others wait
 */
class Job(
    val id: JobId,
    val spec: JobSpec,
    val stage: StoredStage,
    val submittedUs: Micros,
    private val record: JobRecordInfo,
    private val chunks: Map<Int, Chunk>,
    /** Whether all jobs that it waits for are done; before that none of its tasks may start. Derived, never stored. */
    val arePredecessorsDone: Boolean = true,
) {
    /** The version of the main record; 0 if it is not stored yet. */
    val version: Long get() = record.version

    /** Records that hold the specification apart from the main one; 0: it is in the main record. */
    val specPieceCount: Int get() = record.specPieceCount

    /** Number of chunks, stored or not. */
    val chunkCount: Int get() = (spec.tasks + TASKS_PER_CHUNK - 1) / TASKS_PER_CHUNK

    /** Number of tasks that are done. */
    val doneCount: Int = chunks.values.sumOf { it.doneCount }

    /** Number of tasks that are assigned to a machine. */
    val placedCount: Int = chunks.values.sumOf { it.placed.size }

    /** Number of tasks that wait for a machine; none while the job itself waits for others. */
    val waitingCount: Int get() = if (stage == StoredStage.OPEN && arePredecessorsDone) spec.tasks - doneCount - placedCount else 0

    /** The chunk [index]; an empty one if it is not stored. */
    fun chunk(index: Int): Chunk = chunks[index] ?: Chunk.empty(chunkSize(index))

    /** The chunk that holds [task]. */
    fun chunkOf(task: Int): Chunk = chunk(task / TASKS_PER_CHUNK)

    /** Whether [task] is done; false for one that the job does not have. */
    fun isDone(task: Int): Boolean = task in 0 until spec.tasks && chunkOf(task).isDone(task % TASKS_PER_CHUNK)

    /** The current assignment of [task]; null if it is not placed or the job does not have it. */
    fun placement(task: Int): Placement? = if (task in 0 until spec.tasks) chunkOf(task).placed[task % TASKS_PER_CHUNK] else null

    /** The placed tasks with their assignments, chunk by chunk. */
    fun placements(): Sequence<AssignedTask> =
        chunks.asSequence().flatMap { (index, chunk) ->
            chunk.placed.asSequence().map { (task, placement) -> AssignedTask(index * TASKS_PER_CHUNK + task, placement) }
        }

    /** The tasks that wait for a machine, lowest first; none while the job itself waits for others. */
    fun waitingTasks(): Sequence<Int> {
        if (waitingCount == 0) return emptySequence()
        return (0 until chunkCount).asSequence().flatMap { index -> chunk(index).waiting().map { index * TASKS_PER_CHUNK + it } }
    }

    /** The job with the given properties changed. */
    fun with(
        version: Long = this.version,
        stage: StoredStage = this.stage,
        arePredecessorsDone: Boolean = this.arePredecessorsDone,
        specPieceCount: Int = this.specPieceCount,
    ): Job = Job(id, spec, stage, submittedUs, JobRecordInfo(version, specPieceCount), chunks, arePredecessorsDone)

    /** The job with [chunk] in place of its chunk [index]. */
    fun withChunk(
        index: Int,
        chunk: Chunk,
    ): Job = Job(id, spec, stage, submittedUs, record, chunks + (index to chunk), arePredecessorsDone)

    /** Number of tasks in the chunk [index]. */
    fun chunkSize(index: Int): Int = min(TASKS_PER_CHUNK, spec.tasks - index * TASKS_PER_CHUNK)

    companion object {
        /** Tasks per record; a chunk whose tasks all sit on machines of their own stays below the smallest value limit. */
        const val TASKS_PER_CHUNK = 256
    }
}
