package mintpick.engine.cache

import kotlinx.serialization.json.JsonElement
import mintpick.core.NodeId
import mintpick.wire.FormatRecord
import mintpick.wire.NodeRecord
import mintpick.wire.UsageRecord
import mintpick.wire.WireJson

/**
 * What each controller has stored about itself. The `apply` functions throw [IllegalArgumentException] for an unreadable
 * record.
 */
internal class ControllerCache {
    private val nodesById = HashMap<NodeId, NodeRecord>()
    private val announcedFormatsByNode = HashMap<NodeId, Int>()
    private val usageByNode = HashMap<NodeId, MutableMap<Int, UsageRecord>>()

    /** Controllers whose lease of the state service holds. */
    val nodes: Map<NodeId, NodeRecord> get() = nodesById

    /** The newest record format that each controller has announced; absent: the oldest. */
    val announcedFormats: Map<NodeId, Int> get() = announcedFormatsByNode

    /** Use by team as each controller has stored it, by piece. */
    val usage: Map<NodeId, Map<Int, UsageRecord>> get() = usageByNode

    /** [node]'s registration was written, or deleted if [value] is null. */
    fun applyNode(
        node: NodeId,
        value: JsonElement?,
    ) = nodesById.applyRecord(node, value) { WireJson.decodeFromJsonElement(NodeRecord.serializer(), it) }

    /** [node]'s announcement of a record format was written, or deleted if [value] is null. */
    fun applyFormat(
        node: NodeId,
        value: JsonElement?,
    ) = announcedFormatsByNode.applyRecord(node, value) { WireJson.decodeFromJsonElement(FormatRecord.serializer(), it).level }

    /** A piece of [node]'s use by team was written, or deleted if [value] is null. */
    fun applyUsage(
        node: NodeId,
        piece: Int,
        value: JsonElement?,
    ) {
        val pieces = usageByNode.getOrPut(node) { HashMap() }
        pieces.applyRecord(piece, value) { WireJson.decodeFromJsonElement(UsageRecord.serializer(), it) }
    }
}
