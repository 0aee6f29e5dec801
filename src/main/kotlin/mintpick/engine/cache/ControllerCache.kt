package mintpick.engine.cache

import kotlinx.serialization.json.JsonElement
import mintpick.core.NodeId
import mintpick.wire.FormatRecord
import mintpick.wire.NodeRecord
import mintpick.wire.UsageRecord
import mintpick.wire.WireJson

/**
 * Records that the controllers have stored about themselves. The `apply` functions throw [IllegalArgumentException] for an
 * unreadable record.
 */
internal class ControllerCache {
    private val nodesById = HashMap<NodeId, NodeRecord>()
    private val announcedFormatsByNode = HashMap<NodeId, Int>()
    private val usageByNode = HashMap<NodeId, MutableMap<Int, UsageRecord>>()

    /** Registrations of the controllers whose leases have not expired. */
    val nodes: Map<NodeId, NodeRecord> get() = nodesById

    /** Level of the newest record format that each controller has announced. A controller without an entry reads only the oldest. */
    val announcedFormats: Map<NodeId, Int> get() = announcedFormatsByNode

    /** Usage by team as stored by each controller, by piece. */
    val usage: Map<NodeId, Map<Int, UsageRecord>> get() = usageByNode

    /** Applies a write of [node]'s registration, or its deletion if [value] is null. */
    fun applyNode(
        node: NodeId,
        value: JsonElement?,
    ) = nodesById.applyRecord(node, value) { WireJson.decodeFromJsonElement(NodeRecord.serializer(), it) }

    /** Applies a write of [node]'s record format announcement, or its deletion if [value] is null. */
    fun applyFormat(
        node: NodeId,
        value: JsonElement?,
    ) = announcedFormatsByNode.applyRecord(node, value) { WireJson.decodeFromJsonElement(FormatRecord.serializer(), it).level }

    /** Applies a write of a piece of [node]'s usage by team, or its deletion if [value] is null. */
    fun applyUsage(
        node: NodeId,
        piece: Int,
        value: JsonElement?,
    ) {
        val pieces = usageByNode.getOrPut(node) { HashMap() }
        pieces.applyRecord(piece, value) { WireJson.decodeFromJsonElement(UsageRecord.serializer(), it) }
    }
}
