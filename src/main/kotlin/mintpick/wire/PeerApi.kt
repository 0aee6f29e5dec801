@file:OptIn(kotlinx.serialization.ExperimentalSerializationApi::class)

package mintpick.wire

import kotlinx.serialization.Serializable
import kotlinx.serialization.protobuf.ProtoBuf
import kotlinx.serialization.protobuf.ProtoNumber
import kotlinx.serialization.protobuf.ProtoPacked

/** Field numbers of [PeerHint]. A number is never used again for anything else. */
private object PeerHintField {
    const val NODE = 1
    const val STATE_AGE = 2
    const val MACHINES = 3
    const val REVISION = 4
    const val LISTS_MACHINES = 5
    const val LACKS_ROOM = 6
    const val IMAGE_NAMES = 7
    const val CANCELLED = 8
    const val CANCELLED_IS_COMPLETE = 9
    const val FAULTY_JOBS = 10
}

/** Field numbers of [MachineHint]. A number is never used again for anything else; 3 has been in use before. */
private object MachineHintField {
    const val MACHINE = 1
    const val AGE = 2
    const val IMAGES = 4
}

/**
 * Body of `POST /hint` between controllers and of its answer, in Protobuf. Hints only: no invariant depends on them.
 *
 * A field keeps its number and its meaning for good, since controllers of different versions exchange hints.
 */
@Serializable
data class PeerHint(
    @ProtoNumber(PeerHintField.NODE) val node: String,
    /** Microseconds since the state service last served the sender; negative: never. */
    @ProtoNumber(PeerHintField.STATE_AGE) val stateAgeUs: Long = -1,
    @ProtoNumber(PeerHintField.MACHINES) val machines: List<MachineHint> = emptyList(),
    @ProtoNumber(PeerHintField.REVISION) val revision: Long = 0,
    /** Whether [machines] is the whole list; hints without it carry only the sender's own state. */
    @ProtoNumber(PeerHintField.LISTS_MACHINES) val listsMachines: Boolean = false,
    /** Whether jobs wait that don't fit on the sender's machines. */
    @ProtoNumber(PeerHintField.LACKS_ROOM) val lacksRoom: Boolean = false,
    /** Names of images, each once; [MachineHint.images] holds indexes of them. */
    @ProtoNumber(PeerHintField.IMAGE_NAMES) val imageNames: List<String> = emptyList(),
    /** Cancelled jobs whose tasks are not all known to be gone. */
    @ProtoNumber(PeerHintField.CANCELLED) val cancelled: List<String> = emptyList(),
    /** Whether [cancelled] holds all that the sender ever confirmed, also before it was restarted: it has loaded the records. */
    @ProtoNumber(PeerHintField.CANCELLED_IS_COMPLETE) val cancelledIsComplete: Boolean = false,
    /** Jobs that fail wherever the sender runs them. */
    @ProtoNumber(PeerHintField.FAULTY_JOBS) val faultyJobs: List<String> = emptyList(),
) {
    /** Names of the images that [machine] holds; an index that is out of range is left out. */
    fun imagesOn(machine: MachineHint): Set<String> = machine.images.mapNotNullTo(HashSet()) { imageNames.getOrNull(it) }
}

/** A machine of the sender in a [PeerHint]. */
@Serializable
data class MachineHint(
    @ProtoNumber(MachineHintField.MACHINE) val machine: String,
    /** Microseconds since its last report. */
    @ProtoNumber(MachineHintField.AGE) val ageUs: Long,
    /** Indexes into [PeerHint.imageNames]: spelled out for each machine, images were most of a hint's size. */
    @ProtoNumber(MachineHintField.IMAGES) @ProtoPacked val images: List<Int> = emptyList(),
)

/** The Protobuf dialect of hints: fields that have their defaults are left out. */
val PeerProtobuf: ProtoBuf = ProtoBuf { encodeDefaults = false }

/**
 * The hint in [bytes], or null if they hold none.
 *
 * Broken input makes the decoder fail in more ways than its own exceptions, so every one of its failures means the same.
 * The bytes are another controller's, so the failure says nothing about this one; the caller answers or ignores it.
 */
fun decodeHint(bytes: ByteArray): PeerHint? =
    try {
        PeerProtobuf.decodeFromByteArray(PeerHint.serializer(), bytes)
    } catch (_: RuntimeException) {
        null
    }

/**
 * Answer to `GET /status` on the mesh address, in JSON: for people on call, not for programs to depend on.
 *
 * Counts are of this controller at this moment unless said otherwise.
 */
@Serializable
data class NodeStatus(
    val node: String,
    val phase: String,
    val leader: String?,
    val shards: List<Int>,
    val borrowed: List<String>,
    val machines: Int,
    val jobs: Int,
    val waitingTasks: Int,
    val placedTasks: Int,
    val pendingSubmissions: Int,
    val pendingCancellations: Int,
    val revision: Long,
    /** Share-seconds of each team's dominant resource within the window. */
    val use: Map<String, Double>,
    /** Latency of the state service in milliseconds by percentile, over all answered requests. */
    val stateLatencyMs: Map<String, Double>,
    /** Jobs that wait for others to be done. */
    val waitingForPredecessors: Int,
    /** Jobs withdrawn with one that they need, whose own records do not show it yet. */
    val withdrawnJobs: Int,
    /** In which format records are written: `verbose` while a controller may read nothing newer. */
    val recordFormat: String,
    /** The newest record format that each controller has announced. */
    val formatLevels: Map<String, Int>,
    val limits: StatusLimits,
    /** Transactions that the state service found too large since the start. */
    val tooLargeTransactions: Long,
)

/** Limits of the state service that the controllers keep to, in [NodeStatus]: rates per second for the whole cluster. */
@Serializable
data class StatusLimits(
    val changesPerSecond: Double,
    val requestsPerSecond: Double,
    val valueBytes: Int,
    val transactionChanges: Int,
    val transactionGuards: Int,
)
