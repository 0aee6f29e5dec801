package mintpick.engine.scheduling

import mintpick.core.Candidates
import mintpick.core.Job
import mintpick.core.JobId
import mintpick.core.MILLI
import mintpick.core.MachineId
import mintpick.core.Micros
import mintpick.core.TeamQuota
import mintpick.core.isProduction
import mintpick.engine.jobs.JobUpdateWriter
import mintpick.engine.runtime.EngineContext
import mintpick.engine.transactions.JobUpdate

/**
 * Places the tasks of waiting jobs on machines, in passes over the queue. [JobQueue] determines the order, [PlacementScopePolicy]
 * the jobs that this controller may place, and [CandidateFinder] the machines. [JobPlacer] places each job, and [PreemptionPlanner]
 * frees capacity where there is none. Event-loop thread only.
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

    /** Jobs that were not placed or only partially in the last pass, in queue order. */
    var notFullyPlaced: List<Job> = emptyList()
        private set

    /** Whether a job was not placed in the last pass for lack of capacity here, as opposed to lack of write budget. */
    var lacksCapacity = false
        private set

    /** Whether a job was not placed in the last pass for lack of write budget only, or its placement was not sent. */
    var lacksWriteBudget = false
        private set

    /** Records that a placement of the last pass was not sent because the limits on writes did not allow it. */
    fun onPlacementsNotWritten() {
        lacksWriteBudget = true
    }

    /** [jobs] in queue order, with the job to be placed first at the front. */
    fun inQueueOrder(jobs: Collection<Job>): List<Job> = queue.inQueueOrder(jobs)

    /** Number of waiting tasks of [job] that may start now: all, unless the job fails on every machine. */
    fun startableTasks(job: Job): Int = faultyJobThrottle.startableTasks(job)

    /** Whether [job] may currently be placed on spot machines only. */
    fun isSpotOnly(job: Job): Boolean = jobPlacer.isSpotOnly(job)

    /** Machines on which no task of [job] is placed, because it has failed there recently. */
    fun excludedMachines(job: Job): Set<MachineId> = jobPlacer.excludedMachines(job)

    /** Number of placed tasks of [job] in each zone; empty if the job has no zone constraint. */
    fun tasksPerZone(job: Job): Map<String, Int> = candidateFinder.tasksPerZone(job)

    /** Resources that teams may still use under their limits, according to the records. */
    fun teamQuota(): TeamQuota = teamLimits.quota()

    /**
     * Runs a pass if one is due. [drafts] holds the drafts of the jobs' next transactions so far. [draftOf] returns the draft of a
     * job, creating it if necessary; null if the job can't be changed now.
     */
    fun schedule(
        jobUpdates: JobUpdateWriter,
        drafts: Map<JobId, JobUpdate>,
        draftOf: (JobId) -> JobUpdate?,
    ) {
        // Requeued tasks are placed at once, in the write that requeues them. Otherwise more frequent passes find nothing new.
        val hasRequeuedTasks = drafts.values.any { it.job.waitingCount > it.before.waitingCount }
        if (!passRateLimiter.isDue && !hasRequeuedTasks) return
        passRateLimiter.onPassStarted(context.cache.waitingJobs().size, candidateFinder.ownMachineCount)
        lacksWriteBudget = false
        val waiting = waitingJobs(drafts)
        jobRecordAges.retain(waiting.keys)
        if (waiting.isEmpty()) {
            notFullyPlaced = emptyList()
            lacksCapacity = false
            return
        }
        val pass = newPass(jobUpdates, draftOf, waiting.size)
        for (job in inQueueOrder(waiting.values)) scheduleJob(job, pass)
        if (pass.hasPlacedPartially) passRateLimiter.onPartialPlacement()
        notFullyPlaced = pass.notFullyPlaced
        lacksCapacity = pass.lacksCapacity
        lacksWriteBudget = pass.lacksWriteBudget
        jobPlacer.borrowMachines(pass)
    }

    /** The jobs with waiting tasks, as they will be when [drafts] are stored. */
    private fun waitingJobs(drafts: Map<JobId, JobUpdate>): LinkedHashMap<JobId, Job> {
        val waiting = LinkedHashMap<JobId, Job>()
        for (job in context.cache.waitingJobs()) waiting[job.id] = job
        for (draft in drafts.values) {
            val job = draft.job
            if (job.waitingCount > 0) waiting[job.id] = job else waiting.remove(job.id)
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
        faultyJobThrottle.observe(job)
        if (!faultyJobThrottle.mayRetry(job.id)) return
        val startable = startableTasks(job)
        if (startable == 0) return
        val unchangedUs = jobRecordAges.observe(job)
        val isAvailable = pass.jobUpdates.isAvailable(job.id)
        // Called even if the job is not available: the call may build the view of all machines, whose order depends on when it is built.
        val candidates = placementScopePolicy.candidatesFor(job, unchangedUs, pass.candidates).takeIf { isAvailable }
        val hasWriteBudget = pass.hasWriteBudgetFor(job)
        if (!hasWriteBudget && !job.spec.isProduction) {
            // No further jobs are checked after one that could be placed.
            pass.lacksWriteBudget = pass.lacksWriteBudget || (candidates != null && jobPlacer.couldPlace(job, candidates, pass))
            pass.notFullyPlaced += job
            return
        }
        val placed = if (candidates == null) 0 else jobPlacer.place(job, startable, candidates, pass)
        if (placed >= startable) return
        pass.notFullyPlaced += job
        if (placed == 0 && candidates != null && hasWriteBudget && pass.teamAllows(job)) onNoCapacity(job, unchangedUs, candidates, pass)
    }

    private fun onNoCapacity(
        job: Job,
        unchangedUs: Micros,
        candidates: Candidates,
        pass: PlacementPass,
    ) {
        pass.lacksCapacity = true
        // Until then, another controller may place the job on free capacity, so that no task needs to be preempted.
        val isPreemptionDue = unchangedUs >= PREEMPTION_DELAY
        if (!isPreemptionDue || faultyJobThrottle.isFaulty(job)) return
        preemptionPlanner.preemptFor(job, candidates, candidateFinder.tasksPerZone(job))
    }

    private companion object {
        const val PREEMPTION_DELAY: Micros = 600 * MILLI
    }
}
