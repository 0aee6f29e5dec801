package mintpick.core

/** A job's id, as the platform writes it. */
@JvmInline
value class JobId(
    val text: String,
)

/** A machine's id, as the platform writes it. */
@JvmInline
value class MachineId(
    val text: String,
)

/** A controller's id, as the settings name it. */
@JvmInline
value class NodeId(
    val text: String,
)

/** One task of a job, by its [index] from 0 on; the platform writes it `job/index`. */
data class TaskId(
    val job: JobId,
    val index: Int,
) {
    override fun toString(): String = "${job.text}/$index"

    companion object {
        /** The task that [text] names; null if it does not end with a slash and an index that is not negative. */
        fun parse(text: String): TaskId? {
            val index = text.substringAfterLast('/', "").toIntOrNull() ?: return null
            return if (index < 0) null else TaskId(JobId(text.substringBeforeLast('/')), index)
        }
    }
}
