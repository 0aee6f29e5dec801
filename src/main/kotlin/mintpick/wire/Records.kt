package mintpick.wire

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** Stage of a job in its [JobRecord] in the state store (`stage`). Answers to users hold a [JobStage] instead. */
@Serializable
enum class StoredStage {
    @SerialName("open")
    OPEN,

    @SerialName("done")
    DONE,

    @SerialName("cancelled")
    CANCELLED,
}

/**
 * Value of a chunk's key in the state store: the tasks of one chunk of a job.
 *
 * [placed] maps a machine to pairs (task, attempt). [done] holds ranges of tasks as pairs (first, last), both inclusive.
 * [attempts] holds pairs (task, last attempt) of waiting tasks that have been placed before.
 */
@Serializable
data class ChunkRecord(
    @SerialName("p") val placed: Map<String, List<Int>> = emptyMap(),
    @SerialName("d") val done: List<Int> = emptyList(),
    @SerialName("a") val attempts: List<Int> = emptyList(),
    /** All tasks in compact form; if present, the other fields are not used. */
    @SerialName("c") val compact: String? = null,
)

/**
 * Value of a job's key in the state store: the job's main record.
 *
 * A final record has neither [spec] nor [chunk]. A large specification is stored separately, in [specPieces] records.
 * [submittedUs] is in microseconds of the wall clock.
 */
@Serializable
data class JobRecord(
    val stage: StoredStage,
    @SerialName("n") val tasks: Int,
    @SerialName("at") val submittedUs: Long = 0,
    val spec: JobSpec? = null,
    val chunk: ChunkRecord? = null,
    @SerialName("sp") val specPieces: Int? = null,
) {
    /** Whether the job is done or cancelled and no machine has a task of it. */
    val isFinal: Boolean get() = spec == null && specPieces == null
}

/**
 * Value of a piece of a machine list in the state store: machines that have sent a heartbeat.
 *
 * One record holds many machines, because a change of a third of the machines must not require a write for each machine.
 * [retiring] holds the machines that will be released.
 */
@Serializable
data class FleetRecord(
    @SerialName("g") val groups: List<FleetGroup> = emptyList(),
    @SerialName("r") val retiring: Map<String, Retiring> = emptyMap(),
    /** All machines in compact form; if present, the other fields are not used. */
    @SerialName("c") val compact: String? = null,
)

/** Machines with the same type, zone and [spot] value in a [FleetRecord]; [machines] maps names to addresses. */
@Serializable
data class FleetGroup(
    @SerialName("t") val type: String,
    @SerialName("z") val zone: String,
    @SerialName("s") val spot: Boolean,
    @SerialName("m") val machines: Map<String, String>,
)

/** Claim of a shard, a borrowed machine or the leadership in the state store; [node] is its owner, with [lease]. */
@Serializable
data class ClaimRecord(
    val node: String,
    val lease: Long,
)

/**
 * Value of a controller's own key in the state store, attached to its [lease]. [since] is the wall-clock time in microseconds
 * at which the record was written.
 */
@Serializable
data class NodeRecord(
    val node: String,
    val lease: Long,
    val since: Long,
)

/** Machine that has sent a heartbeat. Only earlier versions store this record, under the machine's own key. */
@Serializable
data class MachineRecord(
    val type: String,
    val zone: String,
    val spot: Boolean,
    val address: String,
    val retiring: Retiring = Retiring.NO,
)

/** Whether and how a machine will be released, in a [FleetRecord] or [MachineRecord]. */
@Serializable
enum class Retiring {
    @SerialName("no")
    NO,

    /** Draining: receives no new tasks, released once it is empty. */
    @SerialName("drain")
    DRAIN,

    /** Lost: released immediately, without draining. */
    @SerialName("now")
    NOW,
}

/**
 * Value of a controller's format key in the state store: the [level] of the newest record format that the controller reads.
 *
 * The record is never removed, because a controller that is temporarily absent must still be able to read the records when
 * it returns. A controller without this record reads only the oldest format.
 */
@Serializable
data class FormatRecord(
    val level: Int,
)

/**
 * Value of a team's key in the state store: the resources of the team's tasks. Every placement of a team with a limit writes
 * this record, which prevents two controllers from both using the last free part of the limit.
 */
@Serializable
data class ReservationRecord(
    val cpus: Double,
    val gpus: Double,
)

/**
 * Value of a controller's usage key in the state store: dominant-resource use by team on the controller's machines, in
 * share-seconds per time slot. Each slot lists the teams in the order of the settings, starting at index [firstTeam]; null
 * means 0.
 */
@Serializable
data class UsageRecord(
    @SerialName("at") val atUs: Long,
    @SerialName("slots") val slots: Map<String, List<Double>> = emptyMap(),
    @SerialName("f") val firstTeam: Int? = null,
)
