package mintpick.engine.scheduling

import mintpick.core.Job
import mintpick.core.JobId
import mintpick.core.Micros
import mintpick.engine.runtime.EngineContext

/** Tracks how long this controller has seen the records of waiting jobs unchanged. Event-loop thread only. */
internal class JobRecordAges(
    private val context: EngineContext,
) {
    private class Observation(
        val version: Long,
        val firstSeenUs: Micros,
    )

    private val observations = HashMap<JobId, Observation>()

    /** Records the version of [job], and returns how long its record has been unchanged. */
    fun observe(job: Job): Micros {
        val earlier = observations[job.id]
        if (earlier?.version == job.version) return context.now - earlier.firstSeenUs
        observations[job.id] = Observation(job.version, context.now)
        return 0
    }

    /** Forgets all jobs but [jobs]. */
    fun retain(jobs: Set<JobId>) {
        observations.keys.retainAll(jobs)
    }
}
