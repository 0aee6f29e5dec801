package mintpick.engine.transactions

import mintpick.core.AttemptId
import mintpick.core.ChunkEdit
import mintpick.core.Job
import mintpick.core.MachineId
import mintpick.core.Placement
import mintpick.core.TaskId
import mintpick.wire.Guard
import mintpick.wire.StoredStage

/** A draft of what a job is to become, with what must hold for that. Event-loop thread only. */
class JobUpdate(
    /** The job as the records show it. */
    val before: Job,
    limits: TransactionLimits,
) {
    private val edits = HashMap<Int, ChunkEdit>()
    private val machineGuards = LinkedHashSet<Guard>()
    private val newPlacements = ArrayList<Placement>()
    private val requeuedAttempts = ArrayList<AttemptId>()
    private var stage = before.stage
    private var built: Job? = before
    private var writesFinalRecord = false
    private val maxChunks = limits.maxChunks(before)
    private val maxMachineGuards = limits.maxMachineGuards(before)

    /** The job with all changes so far. */
    val job: Job get() = built ?: build().also { built = it }

    /** Indexes of the chunks that have changed. */
    val changedChunks: Set<Int> get() = edits.filterValues { it.changed }.keys

    /** What must hold beside the job's own records being unchanged. */
    val guards: Set<Guard> get() = machineGuards

    /** Placements of this update, in the order in which they were made. */
    val placed: List<Placement> get() = newPlacements

    /** Attempts that have ended and whose tasks wait again. */
    val requeued: List<AttemptId> get() = requeuedAttempts

    /** Whether there is anything to write. */
    val hasChanges: Boolean get() = writesFinalRecord || stage != before.stage || edits.values.any { it.changed }

    /** Task number [task] is done. */
    fun finish(task: Int) {
        editOf(task)?.finish(task % Job.CHUNK)
    }

    /** Task number [task] waits again: the caller has proof that [placement] runs nowhere. */
    fun requeue(
        task: Int,
        placement: Placement,
    ) {
        val edit = editOf(task) ?: return
        edit.requeue(task % Job.CHUNK, placement)
        requeuedAttempts += AttemptId(TaskId(before.id, task), placement.attempt)
    }

    /** Places task number [task]; false if it does not wait, or a transaction has no room for its chunk. */
    fun place(
        task: Int,
        machine: MachineId,
    ): Boolean {
        val placement = editOf(task)?.place(task % Job.CHUNK, machine) ?: return false
        newPlacements += placement
        return true
    }

    /** Adds what must hold; false if a transaction has no room for it, and what needs it has to wait for the next one. */
    fun addMachineGuards(added: List<Guard>): Boolean {
        if ((machineGuards + added).size > maxMachineGuards) return false
        machineGuards += added
        return true
    }

    /** Has the final record written of a cancelled job without a task left. */
    fun writeFinalRecord() {
        writesFinalRecord = true
    }

    /** Cancels the job. */
    fun cancel() {
        stage = StoredStage.CANCELLED
        built = null
    }

    private fun build(): Job = edits.entries.fold(before.with(stage = stage)) { job, (index, edit) -> job.withChunk(index, edit.build()) }

    /** The chunk of [task]; null if it is one too many for a transaction: what is left out is planned again after it. */
    private fun editOf(task: Int): ChunkEdit? {
        val index = task / Job.CHUNK
        if (index !in edits && edits.size >= maxChunks) return null
        built = null
        return edits.getOrPut(index) { before.chunk(index).edit() }
    }
}
