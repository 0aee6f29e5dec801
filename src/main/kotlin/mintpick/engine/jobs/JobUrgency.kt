package mintpick.engine.jobs

import mintpick.core.Job
import mintpick.core.JobId
import mintpick.core.Micros
import mintpick.core.SECOND
import mintpick.core.predecessorIds
import mintpick.dependencies.CriticalPaths
import mintpick.dependencies.JobDemand
import mintpick.dependencies.Urgency
import mintpick.engine.runtime.EngineContext

/** How urgent jobs are by their own deadlines and priorities and by those of the jobs that wait for them. */
class JobUrgency(
    private val context: EngineContext,
) {
    private var cache = context.cache
    private var paths = paths()

    /** When each released job was first seen to be so: its waits count from then on. */
    private val readySince = HashMap<JobId, Micros>()

    private fun paths() = CriticalPaths(context.cache.dependencies) { id -> context.cache.job(id)?.let(::demand) }

    private fun demand(job: Job) =
        JobDemand(
            job.spec.priority,
            job.spec.deadlineS?.let { job.submittedUs + (it * SECOND).toLong() },
            (job.spec.estimateS * SECOND).toLong(),
        )

    fun of(job: Job): Urgency {
        // The records may have been read anew.
        if (cache !== context.cache) {
            cache = context.cache
            paths = paths()
        }
        val isNeeded =
            context.cache.dependencies
                .successors(job.id)
                .isNotEmpty()
        return paths.takeIf { isNeeded }?.urgency(job.id) ?: demand(job).let { Urgency(it.priority, it.dueUs?.minus(it.runUs)) }
    }

    /**
     * Time of day since when nothing but machines holds [job] back: its submission, or, as far as this controller has
     * seen it wait for others, the moment when the last of those was done.
     */
    fun readySinceUs(job: Job): Micros {
        if (job.spec.predecessorIds.isEmpty()) return job.submittedUs
        if (readySince.size > MOST_KNOWN) readySince.keys.removeIf { context.cache.job(it) == null }
        return readySince.getOrPut(job.id) { context.wall }
    }

    private companion object {
        const val MOST_KNOWN = 2_000
    }
}
