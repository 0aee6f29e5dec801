package mintpick.engine.capacity

import mintpick.core.Micros
import mintpick.wire.JobSpec

/** Tasks of one class that were running or could have run at one time. */
class DemandSample(
    val atUs: Micros,
    val tasks: Int,
)

/** What has been seen of one class of jobs. Event-loop thread only. */
class ClassDemand(
    spec: JobSpec,
) {
    /** The latest job of the class. */
    var spec: JobSpec = spec
        private set

    /** Tasks of the largest job seen, up to [MAX_JOB_TASKS]. */
    var largestJobTasks = 1
        private set

    private val samples = ArrayDeque<DemandSample>()

    /** Tasks in the latest sample. */
    val currentTasks: Int get() = samples.lastOrNull()?.tasks ?: 0

    /** The most tasks in the samples that are kept. */
    val peakTasks: Int get() = samples.maxOfOrNull { it.tasks } ?: 0

    /** An open job of this class. */
    fun observeJob(job: JobSpec) {
        spec = job
        largestJobTasks = maxOf(largestJobTasks, minOf(job.tasks, MAX_JOB_TASKS))
    }

    /** Adds [sample] and forgets those that are more than [memoryUs] older. */
    fun addSample(
        sample: DemandSample,
        memoryUs: Micros,
    ) {
        samples.addLast(sample)
        while (samples.isNotEmpty() && sample.atUs - samples.first().atUs > memoryUs) samples.removeFirst()
    }

    private companion object {
        const val MAX_JOB_TASKS = 16
    }
}
