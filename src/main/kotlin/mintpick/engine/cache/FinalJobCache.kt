package mintpick.engine.cache

import it.unimi.dsi.fastutil.longs.Long2IntOpenHashMap
import mintpick.core.JobId
import mintpick.wire.StoredStage

/** Jobs in a final stage, stored compactly, because they are kept for as long as users may request them. */
internal class FinalJobCache {
    /** Number of tasks by packed id; negative if the job was cancelled. */
    private val signedTaskCounts = Long2IntOpenHashMap()

    /** The job [id] if it is in a final stage; null if it is not, or if it is unknown. */
    operator fun get(id: JobId): FinalJob? {
        val tasks = signedTaskCounts.get(packed(id) ?: return null)
        return when {
            tasks > 0 -> FinalJob(StoredStage.DONE, tasks)
            tasks < 0 -> FinalJob(StoredStage.CANCELLED, -tasks)
            else -> null
        }
    }

    /** Adds the job [id]. A job whose id does not end with a number is ignored. */
    fun put(
        id: JobId,
        job: FinalJob,
    ) {
        val key = packed(id) ?: return
        signedTaskCounts.put(key, if (job.stage == StoredStage.DONE) job.tasks else -job.tasks)
    }

    private fun packed(id: JobId): Long? {
        val digits = id.text.substringAfterLast('-')
        return digits.toLongOrNull()?.let { it * DIGIT_COUNT_RADIX + digits.length }
    }

    private companion object {
        /** Greater than any count of digits. Ids may differ only in leading zeros, so a packed id combines number and digit count. */
        const val DIGIT_COUNT_RADIX = 20
    }
}
