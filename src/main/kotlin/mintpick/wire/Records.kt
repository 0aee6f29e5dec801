package mintpick.wire

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** How the service's own records look in the state service. */
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
 * Tasks of one chunk of a job. [placed] maps a machine to pairs (task, attempt); [done] holds inclusive
 * ranges; [attempts] holds pairs (task, last attempt) of waiting tasks that have been placed before.
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
 * A job's main record. A final one has neither [spec] nor [chunk]. A large specification is kept in so many records of its
 * own as [specPieces] says.
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
    val isFinal: Boolean get() = spec == null && specPieces == null
}

/**
 * The machines of one part of the cluster that have reported: one record for all of them, since a change of a third of
 * a fleet must not cost a write for each machine. [retiring] names those that are to be given up.
 */
@Serializable
data class FleetRecord(
    @SerialName("g") val groups: List<FleetGroup> = emptyList(),
    @SerialName("r") val retiring: Map<String, Retiring> = emptyMap(),
    /** All of the above in a compact form, which stands alone. */
    @SerialName("c") val compact: String? = null,
)

/** Machines of one kind with their addresses. */
@Serializable
data class FleetGroup(
    @SerialName("t") val type: String,
    @SerialName("z") val zone: String,
    @SerialName("s") val spot: Boolean,
    @SerialName("m") val machines: Map<String, String>,
)

/** Claim of a shard, or of a borrowed machine. */
@Serializable
data class ClaimRecord(
    val node: String,
    val lease: Long,
)

@Serializable
data class NodeRecord(
    val node: String,
    val lease: Long,
    val since: Long,
)

/** A machine that has reported; [retiring] once it is to be released. Earlier versions stored it as a record of its own. */
@Serializable
data class MachineRecord(
    val type: String,
    val zone: String,
    val spot: Boolean,
    val address: String,
    val retiring: Retiring = Retiring.NO,
)

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
 * The newest record format that a controller reads. It is never removed, so that a controller that is away for a while
 * still counts with what it reads; without one it reads only the oldest.
 */
@Serializable
data class FormatRecord(
    val level: Int,
)

/** A team's reservation: bumped by every placement of a limited team, so that two placers never both take the last room. */
@Serializable
data class ReservationRecord(
    val cpus: Double,
    val gpus: Double,
)

/**
 * Dominant-resource use by team on one controller's machines, in share-seconds per time slot. In each slot the teams
 * follow one another as in the settings, from the one numbered [firstTeam] on.
 */
@Serializable
data class UsageRecord(
    @SerialName("at") val atUs: Long,
    @SerialName("slots") val slots: Map<String, List<Double>> = emptyMap(),
    @SerialName("f") val firstTeam: Int? = null,
)
