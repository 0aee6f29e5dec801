package mintpick.wire

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import kotlinx.serialization.SerializationStrategy

/** State of a task in a machine's status (`stage`). */
@Serializable
enum class TaskState {
    /** Waiting for its image. */
    @SerialName("fetching")
    FETCHING,

    /** Gang task that waits until all other tasks of the gang are present. */
    @SerialName("gathering")
    GATHERING,

    @SerialName("running")
    RUNNING,

    /** Stopping by command; saves a checkpoint. */
    @SerialName("flushing")
    SAVING,

    /** Ended; [ExitCause] says why. */
    @SerialName("exited")
    EXITED,
}

/** Reason why a task has exited, in a machine's status (`cause`). */
@Serializable
enum class ExitCause {
    /** Completed. */
    @SerialName("done")
    DONE,

    /** Stopped by command; [TaskReport.saved] says whether its progress was saved. */
    @SerialName("stopped")
    STOPPED,

    /** Failed: mostly because of a faulty machine, sometimes because the job fails on every machine. */
    @SerialName("error")
    ERROR,

    /** Start refused: not enough free resources on the machine. */
    @SerialName("full")
    NO_ROOM,

    /** Start refused: the machine has another attempt of the task. */
    @SerialName("in_use")
    BUSY,

    /** Start refused: no such job or task. */
    @SerialName("unknown")
    UNKNOWN,

    @SerialName("mates_gone")
    GANG_MEMBERS_GONE,

    @SerialName("alone")
    ALONE,
}

/**
 * A task on a machine, one of `pieces` in a [MachineReport]. [attempt] (`try`) is the number of the attempt; [saved]
 * (`stored`) says whether the progress of a stopped task was saved.
 */
@Serializable
data class TaskReport(
    @SerialName("piece") val task: String,
    @SerialName("try") val attempt: Int,
    @SerialName("stage") val state: TaskState,
    @SerialName("cause") val cause: ExitCause? = null,
    @SerialName("stored") val saved: Boolean? = null,
)

/**
 * Status of a machine: sent as a heartbeat (`POST /checkin`) and as the agent's answer to `POST /commands` and
 * `GET /inspect`.
 *
 * [agentEpoch] (`shift`) increases when the agent's lease expires. Of two statuses the one with the larger pair
 * ([agentEpoch], [seq]) is the newer one. [token] (`baton`) is the highest fencing token that the agent has received.
 * [noticeS] (`warning_s`) is the time in seconds until the cloud reclaims the machine, or null if it has not announced that.
 */
@Serializable
data class MachineReport(
    @SerialName("picker") val machine: String,
    @SerialName("endpoint") val address: String,
    @SerialName("breed") val type: String,
    @SerialName("plot") val zone: String,
    @SerialName("windfall") val spot: Boolean,
    @SerialName("shift") val agentEpoch: Long,
    @SerialName("tally") val seq: Long,
    @SerialName("baton") val token: Long = 0,
    @SerialName("warning_s") val noticeS: Double? = null,
    @SerialName("pieces") val tasks: List<TaskReport> = emptyList(),
)

/** Kind of a [Command] (`verb`). */
@Serializable
enum class Verb {
    /** Start the task; no effect if the agent already has this attempt, in any state. */
    @SerialName("launch")
    START,

    /** Stop the task, after saving a checkpoint if its job has checkpoints and the grace period is long enough. */
    @SerialName("stop")
    STOP,

    /** Remove an exited task from the status. */
    @SerialName("reap")
    REMOVE,
}

/** Command to an agent, one of `orders`; [graceS] (`leeway_s`) is the time in seconds that a stopped task has to save a checkpoint. */
@Serializable
data class Command(
    @SerialName("verb") val verb: Verb,
    @SerialName("piece") val task: String,
    @SerialName("try") val attempt: Int,
    @SerialName("leeway_s") val graceS: Int? = null,
)

/** Answer 200 to `POST /checkin`; it renews the agent's lease unless the agent has received a higher fencing [token] (`baton`). */
@Serializable
data class ReportAnswer(
    @SerialName("baton") val token: Long,
    @SerialName("orders") val commands: List<Command>,
)

/** Answer 421 to `POST /checkin`: redirects the agent to the named [controller] (`foreman`), or to the next one if that is null. */
@Serializable
data class Misdirected(
    @SerialName("foreman") val controller: String? = null,
)

/**
 * Body of `POST /commands`, which a controller sends to an agent directly. The agent executes the commands only if [token]
 * (`baton`) is not lower than the highest fencing token that it has received, and [agentEpoch] (`shift`) is its current epoch.
 * The request does not renew the agent's lease.
 */
@Serializable
data class CommandBatch(
    @SerialName("baton") val token: Long,
    @SerialName("shift") val agentEpoch: Long,
    @SerialName("orders") val commands: List<Command>,
)

/** The longest id of a task: a job id of the most digits, and the last task of the largest job. */
private const val LONGEST_TASK = "req-99999999999999999/99999"

/** Bytes of a message around its tasks or commands, such as the names of a machine, its type and its zone. */
private const val MESSAGE_OVERHEAD_BYTES = 2048

/** Number of tasks that a status can certainly list within [MAX_BODY_BYTES]. */
val MAX_REPORTED_TASKS: Int =
    (MAX_BODY_BYTES - MESSAGE_OVERHEAD_BYTES) /
        bytesInList(TaskReport.serializer(), TaskReport(LONGEST_TASK, Int.MAX_VALUE, TaskState.EXITED, ExitCause.STOPPED, false))

/** Number of commands that a message can certainly hold within [MAX_BODY_BYTES]. */
val MAX_COMMANDS: Int =
    (MAX_BODY_BYTES - MESSAGE_OVERHEAD_BYTES) /
        bytesInList(Command.serializer(), Command(Verb.START, LONGEST_TASK, Int.MAX_VALUE, Int.MAX_VALUE))

/** Bytes of [value] in a JSON list, with the comma. */
private fun <T> bytesInList(
    serializer: SerializationStrategy<T>,
    value: T,
): Int = WireJson.encodeToString(serializer, value).length + 1
