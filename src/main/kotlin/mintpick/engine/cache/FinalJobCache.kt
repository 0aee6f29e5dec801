package mintpick.engine.cache

import it.unimi.dsi.fastutil.longs.Long2IntOpenHashMap
import mintpick.core.JobId
import mintpick.wire.PackedJobId
import mintpick.wire.StoredStage

/** Jobs in a final stage, stored compactly, because they are kept for as long as users may request them. */
internal class FinalJobCache {
    /** Number of tasks by packed id; negative if the job was cancelled. */
    private val signedTaskCounts = Long2IntOpenHashMap()

    /** The job [id] if it is in a final stage; null if it is not, or if it is unknown. */
    operator fun get(id: JobId): FinalJob? {
        val tasks = signedTaskCounts.get(PackedJobId.pack(id.text) ?: return null)
        return when {
            tasks > 0 -> FinalJob(StoredStage.DONE, tasks)
            tasks < 0 -> FinalJob(StoredStage.CANCELLED, -tasks)
            else -> null
        }
    }

    /** Adds the job [id]. An id that does not have the form of a job id is ignored. */
    fun put(
        id: JobId,
        job: FinalJob,
    ) {
        val key = PackedJobId.pack(id.text) ?: return
        signedTaskCounts.put(key, if (job.stage == StoredStage.DONE) job.tasks else -job.tasks)
    }
}
