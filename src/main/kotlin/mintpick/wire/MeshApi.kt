@file:OptIn(kotlinx.serialization.ExperimentalSerializationApi::class)

package mintpick.wire

import kotlinx.serialization.Serializable
import kotlinx.serialization.protobuf.ProtoBuf
import kotlinx.serialization.protobuf.ProtoNumber
import kotlinx.serialization.protobuf.ProtoPacked

/** What one controller tells another. Hints only: nothing that must be right depends on them. */
@Serializable
data class PeerHint(
    @ProtoNumber(1) val node: String,
    /** Microseconds since the state service last served the sender; negative: never. */
    @ProtoNumber(2) val stateAgeUs: Long = -1,
    @ProtoNumber(3) val machines: List<MachineHint> = emptyList(),
    @ProtoNumber(4) val revision: Long = 0,
    /** Whether [machines] is the whole list; between lists only the sender's standing is told. */
    @ProtoNumber(5) val listsMachines: Boolean = false,
    /** Whether jobs wait that found no room on the sender's machines. */
    @ProtoNumber(6) val lacksRoom: Boolean = false,
    /** Names of images, each once; [MachineHint.images] tells their places. */
    @ProtoNumber(7) val imageNames: List<String> = emptyList(),
    /** Cancelled jobs whose tasks are not all known to be gone. */
    @ProtoNumber(8) val cancelled: List<String> = emptyList(),
    /** Whether [cancelled] holds all that the sender ever confirmed, in earlier lives too: it has loaded the records. */
    @ProtoNumber(9) val cancelledIsComplete: Boolean = false,
    /** Jobs that fail wherever the sender runs them. */
    @ProtoNumber(10) val faultyJobs: List<String> = emptyList(),
) {
    fun imagesOn(machine: MachineHint): Set<String> = machine.images.mapNotNullTo(HashSet()) { imageNames.getOrNull(it) }
}

@Serializable
data class MachineHint(
    @ProtoNumber(1) val machine: String,
    /** Microseconds since its last report. */
    @ProtoNumber(2) val ageUs: Long,
    /** Places in [PeerHint.imageNames]: spelled out for each machine, images were most of a hint's size. */
    @ProtoNumber(4) @ProtoPacked val images: List<Int> = emptyList(),
)

val MeshProtobuf: ProtoBuf = ProtoBuf { encodeDefaults = false }

/** The hint in [bytes], or null: broken input makes the decoder fail in more ways than its own exceptions. */
fun decodeHint(bytes: ByteArray): PeerHint? =
    try {
        MeshProtobuf.decodeFromByteArray(PeerHint.serializer(), bytes)
    } catch (_: RuntimeException) {
        null
    }

/** What `/status` on the mesh address says: for people on call, not for programs to depend on. */
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
    /** State service latency in milliseconds by percentile, over all answered requests. */
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

/** Within what the controllers write: for the whole cluster, rates in one second. */
@Serializable
data class StatusLimits(
    val changesPerSecond: Double,
    val requestsPerSecond: Double,
    val valueBytes: Int,
    val transactionChanges: Int,
    val transactionGuards: Int,
)
