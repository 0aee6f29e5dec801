package mintpick.engine.capacity

import mintpick.core.Micros
import mintpick.wire.JobSpec

/** Number of tasks of one job class that were running or could have run at one time. */
class DemandSample(
    val atUs: Micros,
    val tasks: Int,
)

/** Demand history of one job class. Event-loop thread only. */
class ClassDemand(
    spec: JobSpec,
) {
    /** The most recently observed job of the class. */
    var spec: JobSpec = spec
        private set

    /** Number of tasks of the largest observed job, capped at [MAX_JOB_TASKS]. */
    var largestJobTasks = 1
        private set

    private val samples = ArrayDeque<DemandSample>()

    /** Number of tasks in the latest sample. */
    val currentTasks: Int get() = samples.lastOrNull()?.tasks ?: 0

    /** Highest number of tasks in the retained samples. */
    val peakTasks: Int get() = samples.maxOfOrNull { it.tasks } ?: 0

    /** Updates the class from [job], an open job of this class. */
    fun observeJob(job: JobSpec) {
        spec = job
        largestJobTasks = maxOf(largestJobTasks, minOf(job.tasks, MAX_JOB_TASKS))
    }

    /** Adds [sample] and discards samples that are more than [memoryUs] older. */
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
