package mintpick.engine.transactions

import mintpick.core.AttemptId
import mintpick.core.ChunkEdit
import mintpick.core.Job
import mintpick.core.MachineId
import mintpick.core.Placement
import mintpick.core.TaskId
import mintpick.wire.Guard
import mintpick.wire.StoredStage

/** A job as it is to become, with what must hold for that. */
class JobUpdate(
    val before: Job,
    private val limits: TransactionLimits,
) {
    private val edits = HashMap<Int, ChunkEdit>()
    private var stage = before.stage
    private var built: Job? = before
    private var isClosing = false
    private val mostChunks = limits.chunksOf(before)
    private val mostGuards = limits.guardsOf(before)

    /** The job with all changes so far. */
    val job: Job get() = built ?: build().also { built = it }
    val touched: Set<Int> get() = edits.filterValues { it.changed }.keys
    val guards = LinkedHashSet<Guard>()
    val placed = ArrayList<Pair<AttemptId, MachineId>>()

    /** Attempts that are over and make way for others. */
    val requeued = ArrayList<AttemptId>()
    val changed: Boolean get() = isClosing || stage != before.stage || edits.values.any { it.changed }

    private fun build(): Job =
        edits.entries.fold(before.with(stage = stage)) { job, (index, edit) -> job.with(chunk = index to edit.build()) }

    /** The chunk of [task]; null if it is one too many for a transaction: what is left out is planned again after it. */
    private fun edit(task: Int): ChunkEdit? {
        val index = task / Job.CHUNK
        if (index !in edits && edits.size >= mostChunks) return null
        built = null
        return edits.getOrPut(index) { before.chunk(index).edit() }
    }

    fun finish(task: Int) {
        edit(task)?.finish(task % Job.CHUNK)
    }

    fun requeue(
        task: Int,
        placement: Placement,
    ) {
        val edit = edit(task) ?: return
        edit.requeue(task % Job.CHUNK, placement)
        requeued += AttemptId(TaskId(before.id, task), placement.attempt)
    }

    /** Whether [task] was placed. */
    fun place(
        task: Int,
        machine: MachineId,
    ): Boolean {
        val placement = edit(task)?.place(task % Job.CHUNK, machine) ?: return false
        placed += AttemptId(TaskId(before.id, task), placement.attempt) to machine
        return true
    }

    /** Adds what must hold; false if a transaction has no room for it, and what needs it has to wait for the next. */
    fun guard(added: List<Guard>): Boolean {
        if ((guards + added).size > mostGuards) return false
        guards += added
        return true
    }

    /** A job that is over by what has become of others gets its final record. */
    fun close() {
        isClosing = true
    }

    fun cancel() {
        stage = StoredStage.CANCELLED
        built = null
    }
}
