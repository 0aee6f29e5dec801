@file:OptIn(kotlinx.serialization.ExperimentalSerializationApi::class)

package mintpick.wire

import kotlinx.serialization.Serializable
import kotlinx.serialization.protobuf.ProtoBuf
import kotlinx.serialization.protobuf.ProtoNumber
import kotlinx.serialization.protobuf.ProtoPacked

/** Field numbers of [PeerHint]. The number of a removed field must not be reused. */
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

/** Field numbers of [MachineHint]. The number of a removed field must not be reused; 3 belonged to one. */
private object MachineHintField {
    const val MACHINE = 1
    const val AGE = 2
    const val IMAGES = 4
}

/**
 * Body of `POST /hint` between controllers and of its answer, in Protobuf. It is advisory: no invariant depends on it.
 *
 * The number and the meaning of a field must never change, because controllers of different versions exchange hints.
 */
@Serializable
data class PeerHint(
    @ProtoNumber(PeerHintField.NODE) val node: String,
    /** Microseconds since the state store last answered the sender successfully; negative if it never did. */
    @ProtoNumber(PeerHintField.STATE_AGE) val stateAgeUs: Long = -1,
    @ProtoNumber(PeerHintField.MACHINES) val machines: List<MachineHint> = emptyList(),
    @ProtoNumber(PeerHintField.REVISION) val revision: Long = 0,
    /** Whether [machines] is the complete list; otherwise the hint describes only the sender itself. */
    @ProtoNumber(PeerHintField.LISTS_MACHINES) val listsMachines: Boolean = false,
    /** Whether the sender has waiting jobs that do not fit on its machines. */
    @ProtoNumber(PeerHintField.LACKS_ROOM) val lacksRoom: Boolean = false,
    /** Names of images without duplicates; [MachineHint.images] holds indexes into this list. */
    @ProtoNumber(PeerHintField.IMAGE_NAMES) val imageNames: List<String> = emptyList(),
    /** Cancelled jobs of which some tasks are not yet known to have ended. */
    @ProtoNumber(PeerHintField.CANCELLED) val cancelled: List<String> = emptyList(),
    /**
     * Whether [cancelled] includes every cancellation that the sender has confirmed, also before a restart. It does once the
     * sender has loaded the stored records.
     */
    @ProtoNumber(PeerHintField.CANCELLED_IS_COMPLETE) val cancelledIsComplete: Boolean = false,
    /** Jobs that fail on every machine on which the sender runs them. */
    @ProtoNumber(PeerHintField.FAULTY_JOBS) val faultyJobs: List<String> = emptyList(),
) {
    /** Returns the names of the images that [machine] holds; ignores indexes that are out of range. */
    fun imagesOn(machine: MachineHint): Set<String> = machine.images.mapNotNullTo(HashSet()) { imageNames.getOrNull(it) }
}

/** Machine under the sender's control in a [PeerHint]. */
@Serializable
data class MachineHint(
    @ProtoNumber(MachineHintField.MACHINE) val machine: String,
    /** Microseconds since its last heartbeat. */
    @ProtoNumber(MachineHintField.AGE) val ageUs: Long,
    /** Indexes into [PeerHint.imageNames]. Names repeated for each machine made up most of a hint's size. */
    @ProtoNumber(MachineHintField.IMAGES) @ProtoPacked val images: List<Int> = emptyList(),
)

/** Protobuf configuration of hints: fields with default values are omitted. */
val PeerProtobuf: ProtoBuf = ProtoBuf { encodeDefaults = false }

/**
 * Decodes the hint in [bytes]; null if they are not a hint.
 *
 * Malformed input makes the decoder throw other runtime exceptions than its own, for example index errors. All of them are
 * treated as malformed input. They are not logged: the bytes come from a peer, and the caller answers or ignores them.
 */
fun decodeHint(bytes: ByteArray): PeerHint? =
    try {
        PeerProtobuf.decodeFromByteArray(PeerHint.serializer(), bytes)
    } catch (_: RuntimeException) {
        null
    }

/**
 * Answer to `GET /status` on the address for peers (`mesh_addr`), in JSON. It is meant for operators; programs must not
 * depend on it.
 *
 * Unless noted otherwise, the values describe the current state of this controller.
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
    /** Use of each team's dominant resource within the sliding window of the usage accounting, in share-seconds. */
    val use: Map<String, Double>,
    /** Latency of the state store in milliseconds by percentile, over all answered requests. */
    val stateLatencyMs: Map<String, Double>,
    /** Number of jobs that wait for predecessors. */
    val waitingForPredecessors: Int,
    /** Number of jobs cancelled because a predecessor was, whose own records do not show the cancellation yet. */
    val withdrawnJobs: Int,
    /** Format in which records are written: `verbose` while some controller may be unable to read a newer one. */
    val recordFormat: String,
    /** Level of the newest record format that each controller has announced. */
    val formatLevels: Map<String, Int>,
    val limits: StatusLimits,
    /** Number of transactions that the state store has rejected as too large since this controller was started. */
    val tooLargeTransactions: Long,
)

/** Limits of the state store in [NodeStatus], which the controllers observe; rates are per second for the whole cluster. */
@Serializable
data class StatusLimits(
    val changesPerSecond: Double,
    val requestsPerSecond: Double,
    val valueBytes: Int,
    val transactionChanges: Int,
    val transactionGuards: Int,
)
