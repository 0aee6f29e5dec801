package mintpick.engine.cache

import it.unimi.dsi.fastutil.longs.Long2IntOpenHashMap
import mintpick.core.JobId
import mintpick.wire.StoredStage

/** Jobs in a final stage, packed into a number each: they are kept for as long as users may ask for them. */
internal class FinalJobCache {
    /** Number of tasks by packed id; negative: the job was cancelled. */
    private val signedTasks = Long2IntOpenHashMap()

    /** The job [id] if it is in a final stage; null: it is not, or it is not known. */
    operator fun get(id: JobId): FinalJob? {
        val tasks = signedTasks.get(packed(id) ?: return null)
        return when {
            tasks > 0 -> FinalJob(StoredStage.DONE, tasks)
            tasks < 0 -> FinalJob(StoredStage.CANCELLED, -tasks)
            else -> null
        }
    }

    /** Adds the job [id]; one whose id does not end with a number is not kept. */
    fun put(
        id: JobId,
        job: FinalJob,
    ) {
        val key = packed(id) ?: return
        signedTasks.put(key, if (job.stage == StoredStage.DONE) job.tasks else -job.tasks)
    }

    private fun packed(id: JobId): Long? {
        val digits = id.text.substringAfterLast('-')
        return digits.toLongOrNull()?.let { it * DIGIT_COUNTS + digits.length }
    }

    private companion object {
        /** Ids differ by leading zeros too, so a key is the number and how many digits it is written with. */
        const val DIGIT_COUNTS = 20
    }
}
