package mintpick.engine.scheduling

import mintpick.core.CandidateMachine
import mintpick.core.Candidates
import mintpick.core.Job
import mintpick.core.JobId
import mintpick.core.MachineId
import mintpick.core.TeamQuota
import mintpick.core.isGang
import mintpick.core.isProduction
import mintpick.engine.jobs.JobUpdateWriter
import mintpick.engine.transactions.JobUpdate

/** The candidates of one pass, in two views. Capacity taken from a machine in one view is also taken in the other. */
class PassCandidates(
    /** The machines of this controller's shards, and those that it has borrowed. */
    val own: Candidates,
    peers: () -> List<CandidateMachine>,
) {
    /**
     * The machines of all controllers. Built on first use, because only the leader needs them, and only for jobs that one
     * controller's machines can't hold. Sorted by the capacity that is free at that moment.
     */
    val all: Candidates by lazy { own.with(peers()) }
}

/** Inputs of one scheduling pass, and its results so far. */
class PlacementPass(
    val jobUpdates: JobUpdateWriter,
    /** Returns the draft of a job's next transaction; null if the job can't be changed now. */
    val draftOf: (JobId) -> JobUpdate?,
    val candidates: PassCandidates,
    val teamQuota: TeamQuota,
    /** Whether the queue is so long that placement examines only a sample of the machines. */
    val isOverloaded: Boolean,
    /** Whether jobs may be placed partially in this pass. */
    val mayPlacePartially: Boolean,
    /** Maximum number of writes for the drafts of this pass. */
    private val writeBudget: Int,
) {
    /** Machines of other controllers on which tasks of this pass would fit. */
    val machinesToBorrow = LinkedHashSet<MachineId>()

    /** Jobs that were not placed or only partially, in queue order. */
    val notFullyPlaced = ArrayList<Job>()

    /** Number of writes that the placements of this pass need so far. */
    var writesUsed = 0

    /** Number of tasks placed so far. */
    var tasksPlaced = 0

    /** Whether any job was placed partially. */
    var hasPlacedPartially = false

    /** Whether a job was not placed for lack of capacity, as opposed to lack of write budget. */
    var lacksCapacity = false

    /** Whether a job was not placed for lack of write budget only. */
    var lacksWriteBudget = false

    /**
     * Whether write budget is left for [job]. A part of the budget is reserved for batch jobs, because one write starts many of
     * their tasks.
     */
    fun hasWriteBudgetFor(job: Job): Boolean {
        val maxWrites = if (job.spec.isProduction) maxOf(1, (writeBudget * PRODUCTION_WRITES_FRACTION).toInt()) else writeBudget
        return writesUsed < maxWrites
    }

    /**
     * Whether the team of [job] may place it now: the team's limit allows it, and no placement that raises the team's reservation
     * is in flight. No tasks are preempted for a job that is delayed by its team's limit.
     */
    fun teamAllows(job: Job): Boolean {
        val minTasks = if (job.spec.isGang) job.waitingCount else 1
        return jobUpdates.isTeamAvailable(job.spec.team) && teamQuota.remainingTasks(job.spec) >= minTasks
    }

    private companion object {
        const val PRODUCTION_WRITES_FRACTION = 0.6
    }
}
