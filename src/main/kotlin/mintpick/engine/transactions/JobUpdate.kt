package mintpick.engine.transactions

import mintpick.core.AttemptId
import mintpick.core.ChunkEdit
import mintpick.core.Job
import mintpick.core.MachineId
import mintpick.core.Placement
import mintpick.core.TaskId
import mintpick.wire.Guard
import mintpick.wire.StoredStage

/** A draft of changes to one job, with the guards that they require. Event-loop thread only. */
class JobUpdate(
    /** The job as recorded, without the changes. */
    val before: Job,
    limits: TransactionLimits,
) {
    private val edits = HashMap<Int, ChunkEdit>()
    private val machineGuards = LinkedHashSet<Guard>()
    private val newPlacements = ArrayList<Placement>()
    private val requeuedAttempts = ArrayList<AttemptId>()
    private var stage = before.stage
    private var cachedJob: Job? = before
    private var writesFinalRecord = false
    private val maxChunks = limits.maxChunks(before)
    private val maxMachineGuards = limits.maxMachineGuards(before)

    /** The job with all changes made so far. */
    val job: Job get() = cachedJob ?: build().also { cachedJob = it }

    /** Indexes of the changed chunks. */
    val changedChunks: Set<Int> get() = edits.filterValues { it.changed }.keys

    /** Guards in addition to those that require the job's own records to be unchanged. */
    val guards: Set<Guard> get() = machineGuards

    /** Placements of this update, in the order in which they were made. */
    val placed: List<Placement> get() = newPlacements

    /** Attempts that have ended and whose tasks are waiting again. */
    val requeued: List<AttemptId> get() = requeuedAttempts

    /** Whether there is anything to write. */
    val hasChanges: Boolean get() = writesFinalRecord || stage != before.stage || edits.values.any { it.changed }

    /** Marks task number [task] as done. */
    fun finish(task: Int) {
        editOf(task)?.finish(task % Job.TASKS_PER_CHUNK)
    }

    /** Makes task number [task] wait again. The caller must have proof that [placement] runs on no machine. */
    fun requeue(
        task: Int,
        placement: Placement,
    ) {
        val edit = editOf(task) ?: return
        edit.requeue(task % Job.TASKS_PER_CHUNK, placement)
        requeuedAttempts += AttemptId(TaskId(before.id, task), placement.attempt)
    }

    /** Places task number [task] on [machine]. Returns false if it is not waiting, or if its chunk does not fit into the transaction. */
    fun place(
        task: Int,
        machine: MachineId,
    ): Boolean {
        val placement = editOf(task)?.place(task % Job.TASKS_PER_CHUNK, machine) ?: return false
        newPlacements += placement
        return true
    }

    /**
     * Adds guards for machines. Returns false if they do not fit into the transaction; the changes that need them then have to
     * wait for the next one.
     */
    fun addMachineGuards(added: List<Guard>): Boolean {
        if ((machineGuards + added).size > maxMachineGuards) return false
        machineGuards += added
        return true
    }

    /** Requests that the final record be written. Only for an open job whose tasks are all done, or a cancelled one without placed tasks. */
    fun writeFinalRecord() {
        writesFinalRecord = true
    }

    /** Cancels the job. */
    fun cancel() {
        stage = StoredStage.CANCELLED
        cachedJob = null
    }

    private fun build(): Job = edits.entries.fold(before.with(stage = stage)) { job, (index, edit) -> job.withChunk(index, edit.build()) }

    /**
     * The edit of the chunk of [task]; null if the update already changes as many chunks as a transaction can carry. Omitted
     * changes are planned again after this transaction.
     */
    private fun editOf(task: Int): ChunkEdit? {
        val index = task / Job.TASKS_PER_CHUNK
        if (index !in edits && edits.size >= maxChunks) return null
        cachedJob = null
        return edits.getOrPut(index) { before.chunk(index).edit() }
    }
}
