package mintpick.engine.cache

import kotlinx.serialization.json.JsonElement
import mintpick.core.MachineId
import mintpick.core.NodeId
import mintpick.wire.ClaimRecord
import mintpick.wire.WireJson

/**
 * Claims on shards, borrowed machines and the leadership. The `apply` functions throw [IllegalArgumentException] for an
 * unreadable record.
 */
internal class ClaimCache {
    private val claimsByShard = HashMap<Int, Claim>()
    private val borrowsByMachine = HashMap<MachineId, Claim>()
    private val borrowEndRevisionsByMachine = HashMap<MachineId, Long>()

    /** Claims on shards, by shard index. */
    val claims: Map<Int, Claim> get() = claimsByShard

    /** Claims on borrowed machines. The owner of such a claim controls the machine, whichever controller owns its shard. */
    val borrows: Map<MachineId, Claim> get() = borrowsByMachine

    /** Revisions at which borrowings ended. All commands issued under these borrowings have lower fencing tokens. */
    val borrowEndRevisions: Map<MachineId, Long> get() = borrowEndRevisionsByMachine

    /** The leader's claim; null if there is no leader. */
    var leader: Claim? = null
        private set

    /** Incremented whenever a claim on a shard or a borrowed machine changes. */
    var changeCount = 0L
        private set

    /** Applies a write of the claim on [shard], or its deletion if [value] is null. */
    fun applyShard(
        shard: Int,
        value: JsonElement?,
        version: Long,
    ) {
        changeCount++
        claimsByShard.applyRecord(shard, value) { decode(it, version) }
    }

    /** Applies a write of the claim on the borrowed [machine], or the end of the borrowing if [value] is null. */
    fun applyBorrow(
        machine: MachineId,
        value: JsonElement?,
        version: Long,
    ) {
        changeCount++
        if (value == null) {
            borrowEndRevisionsByMachine[machine] = version
        } else {
            borrowEndRevisionsByMachine.remove(machine)
        }
        borrowsByMachine.applyRecord(machine, value) { decode(it, version) }
    }

    /** Applies a write of the leader's claim, or its deletion if [value] is null. */
    fun applyLeader(
        value: JsonElement?,
        version: Long,
    ) {
        leader = value?.let { decode(it, version) }
    }

    /** Removes the revisions at which borrowings of [machines] ended, after these machines were removed from all machine lists. */
    fun removeBorrowEndRevisions(machines: Collection<MachineId>) = machines.forEach(borrowEndRevisionsByMachine::remove)

    private fun decode(
        value: JsonElement,
        version: Long,
    ): Claim {
        val record = WireJson.decodeFromJsonElement(ClaimRecord.serializer(), value)
        return Claim(NodeId(record.node), record.lease, version)
    }
}
