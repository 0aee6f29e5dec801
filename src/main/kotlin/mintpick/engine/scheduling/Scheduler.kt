package mintpick.engine.scheduling

import mintpick.core.Candidates
import mintpick.core.Job
import mintpick.core.JobId
import mintpick.core.MILLI
import mintpick.core.Micros
import mintpick.core.TeamQuota
import mintpick.core.isProduction
import mintpick.engine.jobs.JobUpdates
import mintpick.engine.runtime.EngineContext
import mintpick.engine.transactions.JobUpdate

/**
 * Assigns the tasks of waiting jobs to machines, in passes over the queue: [JobQueue] says in which order,
 * [ControllerSelection] which jobs are this controller's to place, [MachineCandidates] on which machines, and [JobPlacer]
 * places each. Event-loop thread only.
 */
class Scheduler(
    private val context: EngineContext,
    private val queue: JobQueue,
    private val controllerSelection: ControllerSelection,
    private val machineCandidates: MachineCandidates,
    private val faultyJobs: FaultyJobs,
    private val jobPlacer: JobPlacer,
    private val preemptionPlanner: PreemptionPlanner,
) {
    private val teamLimits = TeamLimits(context)
    private val pacing = PassPacing(context)
    private val unchangedJobs = UnchangedJobs(context)

    /** Jobs that were not placed, or not whole, in the last pass; in the order of the queue. */
    var unschedulable: List<Job> = emptyList()
        private set

    /** Whether some of them found no room here, as against no write. */
    var lacksCapacity = false
        private set

    /** Whether a job could have been placed in the last pass, but for a write. */
    var lacksWrites = false
        private set

    /** What the last pass placed could not be written. */
    fun onPlacementsNotWritten() {
        lacksWrites = true
    }

    /** [jobs] in the order of the queue, first the one to be served first. */
    fun order(jobs: Collection<Job>): List<Job> = queue.inOrder(jobs)

    /** How many of the waiting tasks of [job] may start now: all, unless it fails wherever it runs. */
    fun startable(job: Job): Int = faultyJobs.startable(job)

    /** Whether [job] may be placed on spot machines only, for now. */
    fun keepsToSpot(job: Job): Boolean = jobPlacer.keepsToSpot(job)

    /** How many placed tasks of [job] each zone holds; empty if the job has no rule about zones. */
    fun zonesOf(job: Job): Map<String, Int> = machineCandidates.zonesOf(job)

    /** What teams may still use under their limits as the records stand. */
    fun teamQuota(): TeamQuota = teamLimits.quota()

    /**
     * Runs a pass if one is due. [drafts] are the jobs' next transactions so far, by job; [draftOf] returns the draft of a job,
     * making one where there is none, or null if the job can't be changed now.
     */
    fun schedule(
        jobUpdates: JobUpdates,
        drafts: Map<JobId, JobUpdate>,
        draftOf: (JobId) -> JobUpdate?,
    ) {
        // What was just observed moves in the same write; otherwise planning more often than this finds nothing new.
        val hasRequeued = drafts.values.any { it.job.waiting > it.before.waiting }
        if (!pacing.isDue && !hasRequeued) return
        pacing.passStarted(context.cache.waitingJobs().size, machineCandidates.ownMachineCount)
        lacksWrites = false
        val waiting = waitingJobs(drafts)
        unchangedJobs.retain(waiting.keys)
        if (waiting.isEmpty()) {
            unschedulable = emptyList()
            lacksCapacity = false
            return
        }
        val pass = newPass(jobUpdates, draftOf, waiting.size)
        for (job in order(waiting.values)) serve(job, pass)
        if (pass.hasPlacedParts) pacing.partsPlaced()
        unschedulable = pass.unschedulable
        lacksCapacity = pass.lacksCapacity
        lacksWrites = pass.lacksWrites
        jobPlacer.borrowFor(pass)
    }

    /** The jobs that wait once [drafts] are stored; jobs with a draft as they are to become. */
    private fun waitingJobs(drafts: Map<JobId, JobUpdate>): LinkedHashMap<JobId, Job> {
        val waiting = LinkedHashMap<JobId, Job>()
        for (job in context.cache.waitingJobs()) waiting[job.id] = job
        for (draft in drafts.values) {
            val job = draft.job
            if (job.waiting > 0) waiting[job.id] = job else waiting.remove(job.id)
        }
        return waiting
    }

    private fun newPass(
        jobUpdates: JobUpdates,
        draftOf: (JobId) -> JobUpdate?,
        waitingJobs: Int,
    ): PlacementPass {
        val own = Candidates.of(machineCandidates.ownCandidates(jobUpdates))
        val writeBudget = jobUpdates.writeBudget()
        return PlacementPass(
            jobUpdates,
            draftOf,
            PassCandidates(own) { machineCandidates.othersCandidates(jobUpdates) },
            teamQuota(),
            isOverloaded = pacing.isOverloaded(waitingJobs),
            mayPlaceParts = pacing.mayPlaceParts(writeBudget),
            writeBudget,
        )
    }

    private fun serve(
        job: Job,
        pass: PlacementPass,
    ) {
        if (!faultyJobs.mayRetry(job.id)) return
        val startable = startable(job)
        if (startable == 0) return
        val unchangedUs = unchangedJobs.observe(job)
        val isFree = pass.jobUpdates.isFree(job.id)
        // Asked for also while the job is not free: that may build the view of all machines, whose order depends on when.
        val candidates = controllerSelection.candidatesFor(job, unchangedUs, pass.candidates).takeIf { isFree }
        val hasWrite = pass.hasWriteFor(job)
        if (!hasWrite && !job.spec.isProduction) {
            // One job that could be placed is enough to know.
            pass.lacksWrites = pass.lacksWrites || (candidates != null && jobPlacer.couldPlace(job, candidates, pass))
            pass.unschedulable += job
            return
        }
        val placed = if (candidates == null) 0 else jobPlacer.place(job, startable, candidates, pass)
        if (placed >= startable) return
        pass.unschedulable += job
        if (placed == 0 && candidates != null && hasWrite && pass.teamMayPlace(job)) onNoRoom(job, unchangedUs, candidates, pass)
    }

    private fun onNoRoom(
        job: Job,
        unchangedUs: Micros,
        candidates: Candidates,
        pass: PlacementPass,
    ) {
        pass.lacksCapacity = true
        // Another controller may have room, for which nobody has to be preempted.
        val hasWaited = unchangedUs >= PREEMPT_AFTER
        if (hasWaited && !faultyJobs.isFaulty(job)) preemptionPlanner.preemptFor(job, candidates, machineCandidates.zonesOf(job))
    }

    private companion object {
        const val PREEMPT_AFTER: Micros = 600 * MILLI
    }
}
