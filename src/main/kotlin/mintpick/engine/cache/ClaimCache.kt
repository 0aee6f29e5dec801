package mintpick.engine.cache

import kotlinx.serialization.json.JsonElement
import mintpick.core.MachineId
import mintpick.core.NodeId
import mintpick.wire.ClaimRecord
import mintpick.wire.WireJson

/**
 * Claims of shards and of the leadership, and borrowed machines. The `apply` functions throw [IllegalArgumentException] for
 * an unreadable record.
 */
internal class ClaimCache {
    private val claimsByShard = HashMap<Int, Claim>()
    private val borrowsByMachine = HashMap<MachineId, Claim>()
    private val borrowEndRevisionsByMachine = HashMap<MachineId, Long>()

    /** Claims by shard. */
    val claims: Map<Int, Claim> get() = claimsByShard

    /** Claims of borrowed machines: their holders command them whoever holds their shards. */
    val borrows: Map<MachineId, Claim> get() = borrowsByMachine

    /** Revisions at which borrowings ended: all commands that were given under them have lower tokens. */
    val borrowEndRevisions: Map<MachineId, Long> get() = borrowEndRevisionsByMachine

    /** The leader's claim; null: there is no leader. */
    var leader: Claim? = null
        private set

    /** Rises whenever a shard's claim or a borrowing changes. */
    var epoch = 0L
        private set

    /** The claim of [shard] was written, or deleted if [value] is null. */
    fun applyShard(
        shard: Int,
        value: JsonElement?,
        version: Long,
    ) {
        epoch++
        claimsByShard.applyRecord(shard, value) { decode(it, version) }
    }

    /** The borrowing of [machine] was written, or ended if [value] is null. */
    fun applyBorrow(
        machine: MachineId,
        value: JsonElement?,
        version: Long,
    ) {
        epoch++
        if (value == null) {
            borrowEndRevisionsByMachine[machine] = version
        } else {
            borrowEndRevisionsByMachine.remove(machine)
        }
        borrowsByMachine.applyRecord(machine, value) { decode(it, version) }
    }

    /** The leader's claim was written, or deleted if [value] is null. */
    fun applyLeader(
        value: JsonElement?,
        version: Long,
    ) {
        leader = value?.let { decode(it, version) }
    }

    /** Forgets when borrowings of [machines] ended, which are in no list any more. */
    fun removeBorrowEndRevisions(machines: Collection<MachineId>) = machines.forEach(borrowEndRevisionsByMachine::remove)

    private fun decode(
        value: JsonElement,
        version: Long,
    ): Claim {
        val record = WireJson.decodeFromJsonElement(ClaimRecord.serializer(), value)
        return Claim(NodeId(record.node), record.lease, version)
    }
}
