package mintpick.core

import mintpick.wire.JobSpec

/**
 * Division of a process's heap into bounded parts for what grows with the requests of users and agents and with the answers of the
 * state store. What exceeds a part is refused, so that it can't take the memory that answers and leases need. Immutable.
 *
 * @param heapBytes largest size of the heap, in bytes
 */
data class MemoryBudget(
    val heapBytes: Long = DEFAULT_HEAP_BYTES,
) {
    /** Estimated bytes of all open jobs, with their names and dependencies. */
    val openJobBytes: Long = heapBytes / PARTS_FOR_JOBS

    /** Number of placed tasks of all jobs. */
    val placedTasks: Int = (heapBytes / PARTS_FOR_TASKS / TaskMemory.PLACED_TASK_BYTES).toInt()

    /** Bytes of the users' requests that wait for an answer, and of what is decoded from them. */
    val userRequestBytes: Long = heapBytes / PARTS_FOR_REQUESTS

    /** Bytes of the heartbeats that wait for an answer, and of what is decoded from them. */
    val heartbeatBytes: Long = heapBytes / PARTS_FOR_REQUESTS

    /** Bytes of one answer that this process has requested. Decoding it takes several times as much. */
    val answerBytes: Int = (heapBytes / PARTS_FOR_ANSWER).toInt()

    companion object {
        private const val MEBIBYTE = 1024L * 1024

        /** Where the size of the heap is not given. */
        const val DEFAULT_HEAP_BYTES = 96 * MEBIBYTE
        private const val PARTS_FOR_JOBS = 4
        private const val PARTS_FOR_TASKS = 3
        private const val PARTS_FOR_REQUESTS = 16
        private const val PARTS_FOR_ANSWER = 32
    }
}

/** Estimated heap of tasks on one controller, in bytes. `docs/limits.md` has the measurements. */
object TaskMemory {
    /** A placed task: its record, the indexes over it, and its status from the agent. */
    const val PLACED_TASK_BYTES = 512
}

/** Estimated heap of open jobs on one controller, in bytes, never below the real one. `docs/limits.md` has the measurements. */
object JobMemory {
    /** Dependency of a waiting job on one that has not ended. */
    const val EDGE_BYTES = 128

    /** An open job with one task, without names. */
    private const val JOB_BYTES = 512

    /** 256 tasks of a job, whose records may be stored separately. */
    private const val CHUNK_BYTES = 448

    /** That a job has predecessors at all. */
    private const val DEPENDENT_BYTES = 256

    /** One id in a list of predecessors. */
    private const val PREDECESSOR_BYTES = 8

    /** A text without its characters. */
    private const val TEXT_BYTES = 64
    private const val BYTES_PER_CHARACTER = 2

    /** Bytes of the records of [spec] as long as the job is open, without dependencies and placed tasks. */
    fun openJobBytes(spec: JobSpec): Long {
        val chunks = (spec.tasks + Job.TASKS_PER_CHUNK - 1) / Job.TASKS_PER_CHUNK
        val dependentBytes = if (spec.predecessors.isNullOrEmpty()) 0 else DEPENDENT_BYTES
        val texts = listOfNotNull(spec.id, spec.jobClass, spec.team, spec.image, spec.zone) + spec.types.orEmpty()
        return JOB_BYTES + dependentBytes + chunks * CHUNK_BYTES.toLong() + texts.sumOf(::textBytes) +
            spec.predecessors.orEmpty().size * PREDECESSOR_BYTES.toLong()
    }

    /** Bytes of [text]. */
    fun textBytes(text: String): Long = TEXT_BYTES + text.length * BYTES_PER_CHARACTER.toLong()
}
