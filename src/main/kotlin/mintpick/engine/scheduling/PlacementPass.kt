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

/** The machines that one pass may place tasks on. What is taken of a machine is taken in both views. */
class PassCandidates(
    /** The machines of this controller's shards and those that it borrows. */
    val own: Candidates,
    peers: () -> List<CandidateMachine>,
) {
    /**
     * Every controller's machines. Built only when asked for: only the leader needs them, and only for what no shard can hold.
     * It is sorted by what is free when it is first asked for.
     */
    val all: Candidates by lazy { own.with(peers()) }
}

/** What one scheduling pass works with, and what has come of it so far. */
class PlacementPass(
    val jobUpdates: JobUpdateWriter,
    /** The draft of a job's next transaction; null if the job can't be changed now. */
    val draftOf: (JobId) -> JobUpdate?,
    val candidates: PassCandidates,
    val teamQuota: TeamQuota,
    /** So much waits that a sample of the machines has to do. */
    val isOverloaded: Boolean,
    /** Whether jobs may be placed in part in this pass. */
    val mayPlacePartially: Boolean,
    /** Most writes that the drafts of this pass may need. */
    private val writeBudget: Int,
) {
    /** Machines of other controllers on which tasks of this pass would fit. */
    val machinesToBorrow = LinkedHashSet<MachineId>()

    /** Jobs that were not placed, or not whole, in the order of the queue. */
    val unschedulable = ArrayList<Job>()

    /** Writes that the placements of this pass need so far. */
    var writesUsed = 0

    /** Whether any job was placed in part. */
    var hasPlacedPartially = false

    /** Whether a job found no room, as against no write. */
    var lacksCapacity = false

    /** Whether a job could have been placed, but for a write. */
    var lacksWriteBudget = false

    /** Whether a write is left for [job]. Batch jobs keep a part of them from production: one write starts many of their tasks. */
    fun hasWriteBudgetFor(job: Job): Boolean {
        val maxWrites = if (job.spec.isProduction) maxOf(1, (writeBudget * PRODUCTION_WRITES_FRACTION).toInt()) else writeBudget
        return writesUsed < maxWrites
    }

    /** Whether nothing but room is missing for [job]. For what its team's limit holds back nobody has to be preempted. */
    fun teamAllows(job: Job): Boolean {
        val minTasks = if (job.spec.isGang) job.waiting else 1
        return jobUpdates.isTeamAvailable(job.spec.team) && teamQuota.tasks(job.spec) >= minTasks
    }

    private companion object {
        const val PRODUCTION_WRITES_FRACTION = 0.6
    }
}
