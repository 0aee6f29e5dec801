package mintpick.engine.jobs

import mintpick.core.Job
import mintpick.core.JobId
import mintpick.core.Micros
import mintpick.core.SECOND
import mintpick.core.predecessorIds
import mintpick.dependencies.CriticalPaths
import mintpick.dependencies.JobRequirements
import mintpick.dependencies.Urgency
import mintpick.engine.runtime.EngineContext

/** How urgent jobs are by their own deadlines and priorities and by those of their successors. Event-loop thread only. */
class JobUrgency(
    private val context: EngineContext,
) {
    private var cache = context.cache
    private var criticalPaths = newCriticalPaths()

    /** When each released job was first seen to be so, time of day. */
    private val releasedSinceUs = HashMap<JobId, Micros>()

    /** The urgency of [job]; its latest start is a time of day. */
    fun of(job: Job): Urgency {
        resetIfCacheReplaced()
        val hasSuccessors =
            context.cache.dependencies
                .successors(job.id)
                .isNotEmpty()
        val inherited = if (hasSuccessors) criticalPaths.urgency(job.id) else null
        return inherited ?: requirements(job).ownUrgency()
    }

    /**
     * Time of day since when nothing but machines holds [job] back: its submission, or, as far as this controller has
     * seen it wait for others, the moment when the last of those was done.
     */
    fun readySinceUs(job: Job): Micros {
        if (job.spec.predecessorIds.isEmpty()) return job.submittedUs
        if (releasedSinceUs.size > MAX_RELEASED_JOBS) releasedSinceUs.keys.removeIf { context.cache.job(it) == null }
        return releasedSinceUs.getOrPut(job.id) { context.wallClockUs }
    }

    /** The records may have been read anew, with a new graph. */
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
        /** Beyond it jobs that are over are forgotten. */
        const val MAX_RELEASED_JOBS = 2_000
    }
}
