package mintpick.engine.scheduling

import mintpick.core.Candidates
import mintpick.core.Job
import mintpick.core.JobId
import mintpick.core.MILLI
import mintpick.core.Micros
import mintpick.core.TeamQuota
import mintpick.core.isProduction
import mintpick.engine.jobs.JobUpdateWriter
import mintpick.engine.runtime.EngineContext
import mintpick.engine.transactions.JobUpdate

/**
 * Assigns the tasks of waiting jobs to machines, in passes over the queue: [JobQueue] says in which order,
 * [PlacementScopePolicy] which jobs are this controller's to place, [CandidateFinder] on which machines, and [JobPlacer]
 * places each. Event-loop thread only.
 */
class Scheduler(
    private val context: EngineContext,
    private val queue: JobQueue,
    private val placementScopePolicy: PlacementScopePolicy,
    private val candidateFinder: CandidateFinder,
    private val faultyJobThrottle: FaultyJobThrottle,
    private val jobPlacer: JobPlacer,
    private val preemptionPlanner: PreemptionPlanner,
) {
    private val teamLimits = TeamLimits(context)
    private val passRateLimiter = PassRateLimiter(context)
    private val jobRecordAges = JobRecordAges(context)

    /** Jobs that were not placed, or not whole, in the last pass; in the order of the queue. */
    var unschedulable: List<Job> = emptyList()
        private set

    /** Whether some of them found no room here, as against no write. */
    var lacksCapacity = false
        private set

    /** Whether a job could have been placed in the last pass, but for a write. */
    var lacksWriteBudget = false
        private set

    /** What the last pass placed could not be written. */
    fun onPlacementsNotWritten() {
        lacksWriteBudget = true
    }

    /** [jobs] in the order of the queue, first the one to be served first. */
    fun inQueueOrder(jobs: Collection<Job>): List<Job> = queue.inQueueOrder(jobs)

    /** How many of the waiting tasks of [job] may start now: all, unless it fails wherever it runs. */
    fun startableTasks(job: Job): Int = faultyJobThrottle.startableTasks(job)

    /** Whether [job] may be placed on spot machines only, for now. */
    fun isSpotOnly(job: Job): Boolean = jobPlacer.isSpotOnly(job)

    /** How many placed tasks of [job] each zone holds; empty if the job has no rule about zones. */
    fun tasksPerZone(job: Job): Map<String, Int> = candidateFinder.tasksPerZone(job)

    /** What teams may still use under their limits as the records stand. */
    fun teamQuota(): TeamQuota = teamLimits.quota()

    /**
     * Runs a pass if one is due. [drafts] are the jobs' next transactions so far, by job; [draftOf] returns the draft of a job,
     * making one where there is none, or null if the job can't be changed now.
     */
    fun schedule(
        jobUpdates: JobUpdateWriter,
        drafts: Map<JobId, JobUpdate>,
        draftOf: (JobId) -> JobUpdate?,
    ) {
        // What was just observed moves in the same write; otherwise planning more often than this finds nothing new.
        val hasRequeuedTasks = drafts.values.any { it.job.waiting > it.before.waiting }
        if (!passRateLimiter.isDue && !hasRequeuedTasks) return
        passRateLimiter.onPassStarted(context.cache.waitingJobs().size, candidateFinder.ownMachineCount)
        lacksWriteBudget = false
        val waiting = waitingJobs(drafts)
        jobRecordAges.retain(waiting.keys)
        if (waiting.isEmpty()) {
            unschedulable = emptyList()
            lacksCapacity = false
            return
        }
        val pass = newPass(jobUpdates, draftOf, waiting.size)
        for (job in inQueueOrder(waiting.values)) scheduleJob(job, pass)
        if (pass.hasPlacedPartially) passRateLimiter.onPartialPlacement()
        unschedulable = pass.unschedulable
        lacksCapacity = pass.lacksCapacity
        lacksWriteBudget = pass.lacksWriteBudget
        jobPlacer.borrowMachines(pass)
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
        jobUpdates: JobUpdateWriter,
        draftOf: (JobId) -> JobUpdate?,
        waitingJobCount: Int,
    ): PlacementPass {
        val own = Candidates.of(candidateFinder.ownCandidates(jobUpdates))
        val writeBudget = jobUpdates.writeBudget()
        return PlacementPass(
            jobUpdates,
            draftOf,
            PassCandidates(own) { candidateFinder.peerCandidates(jobUpdates) },
            teamQuota(),
            isOverloaded = passRateLimiter.isOverloaded(waitingJobCount),
            mayPlacePartially = passRateLimiter.mayPlacePartially(writeBudget),
            writeBudget,
        )
    }

    private fun scheduleJob(
        job: Job,
        pass: PlacementPass,
    ) {
        if (!faultyJobThrottle.mayRetry(job.id)) return
        val startable = startableTasks(job)
        if (startable == 0) return
        val unchangedUs = jobRecordAges.observe(job)
        val isFree = pass.jobUpdates.isAvailable(job.id)
        // Asked for also while the job is not free: that may build the view of all machines, whose order depends on when.
        val candidates = placementScopePolicy.candidatesFor(job, unchangedUs, pass.candidates).takeIf { isFree }
        val hasWriteBudget = pass.hasWriteBudgetFor(job)
        if (!hasWriteBudget && !job.spec.isProduction) {
            // One job that could be placed is enough to know.
            pass.lacksWriteBudget = pass.lacksWriteBudget || (candidates != null && jobPlacer.couldPlace(job, candidates, pass))
            pass.unschedulable += job
            return
        }
        val placed = if (candidates == null) 0 else jobPlacer.place(job, startable, candidates, pass)
        if (placed >= startable) return
        pass.unschedulable += job
        if (placed == 0 && candidates != null && hasWriteBudget && pass.teamAllows(job)) onNoCapacity(job, unchangedUs, candidates, pass)
    }

    private fun onNoCapacity(
        job: Job,
        unchangedUs: Micros,
        candidates: Candidates,
        pass: PlacementPass,
    ) {
        pass.lacksCapacity = true
        // Another controller may have room, for which nobody has to be preempted.
        val isPreemptionDue = unchangedUs >= PREEMPTION_DELAY
        if (isPreemptionDue &&
            !faultyJobThrottle.isFaulty(job)
        ) {
            preemptionPlanner.preemptFor(job, candidates, candidateFinder.tasksPerZone(job))
        }
    }

    private companion object {
        const val PREEMPTION_DELAY: Micros = 600 * MILLI
    }
}
