package mintpick.engine.jobs

import mintpick.core.Job
import mintpick.core.JobId
import mintpick.core.Micros
import mintpick.core.SECOND
import mintpick.dependencies.CriticalPaths
import mintpick.dependencies.JobRequirements
import mintpick.dependencies.Urgency
import mintpick.engine.runtime.EngineContext

/**
 * Computes the urgency of jobs from their own priorities and deadlines and from those of their successors. Event-loop thread only.
 */
class JobUrgency(
    private val context: EngineContext,
) {
    private var cache = context.cache
    private var criticalPaths = newCriticalPaths()

    /** Wall-clock time at which this controller first saw that all predecessors of a job are done. */
    private val predecessorsDoneUs = HashMap<JobId, Micros>()

    /** The urgency of [job]. Its latest start is a wall-clock time. */
    fun of(job: Job): Urgency {
        resetIfCacheReplaced()
        val hasSuccessors = context.cache.dependencies.hasSuccessors(job.id)
        val inherited = if (hasSuccessors) criticalPaths.urgency(job.id) else null
        return inherited ?: requirements(job).ownUrgency()
    }

    /**
     * Wall-clock time since which [job] has been waiting for machines only: the time of its submission or, if it has
     * predecessors, the time at which this controller first saw that all of them are done.
     */
    fun readySinceUs(job: Job): Micros {
        if (job.spec.predecessors.isNullOrEmpty()) return job.submittedUs
        if (predecessorsDoneUs.size > MAX_READY_JOBS) predecessorsDoneUs.keys.removeIf { context.cache.job(it) == null }
        return predecessorsDoneUs.getOrPut(job.id) { context.wallClockUs }
    }

    /** Starts over after a reload of the records, which replaces the cache and its dependency graph. */
    private fun resetIfCacheReplaced() {
        if (cache === context.cache) return
        cache = context.cache
        criticalPaths = newCriticalPaths()
    }

    private fun newCriticalPaths() = CriticalPaths(context.cache.dependencies) { id -> context.cache.job(id)?.let(::requirements) }

    private fun requirements(job: Job) =
        JobRequirements(
            job.spec.priority,
            job.spec.deadlineS?.let { job.submittedUs + (it * SECOND).toLong() },
            (job.spec.estimateS * SECOND).toLong(),
        )

    private fun JobRequirements.ownUrgency() = Urgency(priority, deadlineUs?.minus(expectedRunUs))

    private companion object {
        /** Above this number of entries, those of jobs that have ended are removed. */
        const val MAX_READY_JOBS = 2_000
    }
}
