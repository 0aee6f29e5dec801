package mintpick.wire

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** `stage` of a task in a worker's report. */
@Serializable
enum class TaskState {
    /** Waits for its image. */
    @SerialName("fetching")
    FETCHING,

    /** A gang's task while the others of the gang are not all there yet. */
    @SerialName("gathering")
    GATHERING,

    @SerialName("running")
    RUNNING,

    /** Has got the command to stop and saves a checkpoint. */
    @SerialName("flushing")
    SAVING,

    /** Ended; see [ExitCause]. */
    @SerialName("exited")
    EXITED,
}

/** `cause` of a task that has exited, in a worker's report. */
@Serializable
enum class ExitCause {
    /** Completed. */
    @SerialName("done")
    DONE,

    /** Stopped by command; [TaskReport.saved] says whether its progress was saved. */
    @SerialName("stopped")
    STOPPED,

    /** Failed: mostly a faulty machine, sometimes a job that fails everywhere. */
    @SerialName("error")
    ERROR,

    /** Start refused: not enough free resources on the machine. */
    @SerialName("full")
    NO_ROOM,

    /** Start refused: the task is on this machine with another attempt. */
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
 * One of `pieces` in a [MachineReport]: a task on the machine with its [attempt] (`try`); [saved] (`stored`) says of a
 * stopped one whether its progress was saved.
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
 * What a worker says of its machine: body of `POST /checkin`, and of its answers to `POST /commands` and `GET /inspect`.
 *
 * [agentEpoch] (`shift`) is the agent's epoch, which increases when its lease expires; of two reports the one with the larger
 * ([agentEpoch], [seq]) is the newer one. [token] (`baton`) is the highest fencing token that the worker has seen, [noticeS]
 * (`warning_s`) the seconds until the cloud takes the machine back.
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

/** `verb` of a [Command]. */
@Serializable
enum class Verb {
    /** Start the task; no effect if the worker has this attempt already, in any state. */
    @SerialName("launch")
    START,

    /** Save a checkpoint if the job has them and the grace time is long enough, then exit. */
    @SerialName("stop")
    STOP,

    /** Remove an exited task from the reports. */
    @SerialName("reap")
    REMOVE,
}

/** One of `orders` to a worker; [graceS] (`leeway_s`) is the time in whole seconds that a stopped task has to save. */
@Serializable
data class Command(
    @SerialName("verb") val verb: Verb,
    @SerialName("piece") val task: String,
    @SerialName("try") val attempt: Int,
    @SerialName("leeway_s") val graceS: Int? = null,
)

/** Answer 200 to `POST /checkin`; it renews the worker's lease unless [token] (`baton`) is lower than one it has seen. */
@Serializable
data class ReportAnswer(
    @SerialName("baton") val token: Long,
    @SerialName("orders") val commands: List<Command>,
)

/** Answer 421 to `POST /checkin`: sends a worker to the controller [controller] (`foreman`), or to the next one if that is null. */
@Serializable
data class Misdirected(
    @SerialName("foreman") val controller: String? = null,
)

/**
 * Body of `POST /commands`, sent straight to a worker; executed only if [token] (`baton`) is not lower than the highest it
 * has seen and [agentEpoch] (`shift`) is its own. It does not renew the lease.
 */
@Serializable
data class CommandBatch(
    @SerialName("baton") val token: Long,
    @SerialName("shift") val agentEpoch: Long,
    @SerialName("orders") val commands: List<Command>,
)
