package mintpick.wire

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** `stage` in a [JobRecord] in the state service; what users are answered is a [JobStage]. */
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
 * Value of a chunk's key in the state service: the tasks of one chunk of a job.
 *
 * [placed] maps a machine to pairs (task, attempt); [done] holds inclusive ranges; [attempts] holds pairs (task, last
 * attempt) of waiting tasks that have been placed before.
 */
@Serializable
data class ChunkRecord(
    @SerialName("p") val placed: Map<String, List<Int>> = emptyMap(),
    @SerialName("d") val done: List<Int> = emptyList(),
    @SerialName("a") val attempts: List<Int> = emptyList(),
    /** All of the above in a compact form, which stands alone. */
    @SerialName("c") val compact: String? = null,
)

/**
 * Value of a job's key in the state service, its main record.
 *
 * A final one has neither [spec] nor [chunk]. A large specification is kept in so many records of its own as [specPieces]
 * says. [submittedUs] is in microseconds of the time of day.
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
    /** Whether the job is over and none of its tasks is left. */
    val isFinal: Boolean get() = spec == null && specPieces == null
}

/**
 * Value of a shard's machine list in the state service: the machines that have reported.
 *
 * One record holds many of them, since a change of a third of a fleet must not cost a write for each machine. [retiring]
 * names those that are to be released.
 */
@Serializable
data class FleetRecord(
    @SerialName("g") val groups: List<FleetGroup> = emptyList(),
    @SerialName("r") val retiring: Map<String, Retiring> = emptyMap(),
    /** All of the above in a compact form, which stands alone. */
    @SerialName("c") val compact: String? = null,
)

/** Machines of one type, zone and kind in a [FleetRecord]; [machines] maps each one's name to its address. */
@Serializable
data class FleetGroup(
    @SerialName("t") val type: String,
    @SerialName("z") val zone: String,
    @SerialName("s") val spot: Boolean,
    @SerialName("m") val machines: Map<String, String>,
)

/** Value of a claim in the state service, of a shard, a borrowed machine or the leadership: [node] holds it with [lease]. */
@Serializable
data class ClaimRecord(
    val node: String,
    val lease: Long,
)

/**
 * Value of a controller's own key in the state service, attached to its [lease]; [since] is the time of day in microseconds
 * at which it was written.
 */
@Serializable
data class NodeRecord(
    val node: String,
    val lease: Long,
    val since: Long,
)

/** A machine that has reported, which earlier versions stored under a key of its own; [retiring] once it is to be released. */
@Serializable
data class MachineRecord(
    val type: String,
    val zone: String,
    val spot: Boolean,
    val address: String,
    val retiring: Retiring = Retiring.NO,
)

/** Whether a machine is to be released, in a [FleetRecord] or [MachineRecord]. */
@Serializable
enum class Retiring {
    @SerialName("no")
    NO,

    /** Takes nothing new; released once it is empty. */
    @SerialName("drain")
    DRAIN,

    /** Lost or faulty: released at once. */
    @SerialName("now")
    NOW,
}

/**
 * Value of a controller's format key in the state service: the newest record format that it reads.
 *
 * It is never removed, so that a controller that is away for a while still counts with what it reads; without one it
 * reads only the oldest.
 */
@Serializable
data class FormatRecord(
    val level: Int,
)

/**
 * Value of a team's key in the state service: what its tasks take. Every placement of a team with a limit changes it, so
 * that two controllers never both take the last room.
 */
@Serializable
data class ReservationRecord(
    val cpus: Double,
    val gpus: Double,
)

/**
 * Value of a controller's usage key in the state service: dominant-resource use by team on its machines, in share-seconds
 * per time slot. In each slot the teams follow one another as in the settings, from the one numbered [firstTeam] on.
 */
@Serializable
data class UsageRecord(
    @SerialName("at") val atUs: Long,
    @SerialName("slots") val slots: Map<String, List<Double>> = emptyMap(),
    @SerialName("f") val firstTeam: Int? = null,
)
