package mintpick.core

/** A job's id in the platform's format. */
@JvmInline
value class JobId(
    val text: String,
)

/** A machine's id in the platform's format. */
@JvmInline
value class MachineId(
    val text: String,
)

/** A controller's id, as given in the settings. */
@JvmInline
value class NodeId(
    val text: String,
)

/** One task of a job, identified by its [index] from 0. The text form is `job/index`. */
data class TaskId(
    val job: JobId,
    val index: Int,
) {
    override fun toString(): String = "${job.text}/$index"

    companion object {
        /** Parses `job/index`; null if [text] does not end with a slash and a non-negative index. */
        fun parse(text: String): TaskId? {
            val index = text.substringAfterLast('/', "").toIntOrNull() ?: return null
            return if (index < 0) null else TaskId(JobId(text.substringBeforeLast('/')), index)
        }
    }
}
