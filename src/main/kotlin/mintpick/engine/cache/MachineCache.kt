package mintpick.engine.cache

import kotlinx.serialization.json.JsonElement
import mintpick.core.MachineId
import mintpick.store.Keys
import mintpick.store.RecordCodec
import mintpick.wire.MachineRecord
import mintpick.wire.MachineType
import mintpick.wire.WireJson
import java.util.TreeMap

/**
 * Machines and machine types. Each machine whose record changes is added to [changed]. The `apply` functions throw
 * [IllegalArgumentException] for an unreadable record.
 */
internal class MachineCache(
    private val changed: MutableSet<MachineId>,
) {
    private val machinesById = HashMap<MachineId, KnownMachine>()

    /** Names of machines are in the order in which they were rented. */
    private val newestByAddress = HashMap<String, MachineId>()
    private val idsByList = HashMap<Keys.Subject.MachineList, Set<MachineId>>()
    private val typePieces = TreeMap<Int, List<MachineType>>()
    private var cachedTotalCpus = 0.0
    private var cachedTotalCpusChangeCount = NOT_COMPUTED

    /** All machines, from machine lists and from records of their own. */
    val machines: Map<MachineId, KnownMachine> get() = machinesById

    /** Machine types by name; empty until they are known. */
    var machineTypes: Map<String, MachineType> = emptyMap()
        private set

    /** Number of pieces that the machine types are stored in. */
    val machineTypePieceCount: Int get() = typePieces.size

    /** Incremented whenever a machine record or a machine list changes. */
    var changeCount = 0L
        private set

    /** Total CPUs of all machines, recomputed when [controlChangeCount] differs from that of the last call. */
    fun totalCpus(controlChangeCount: Long): Double {
        if (cachedTotalCpusChangeCount != controlChangeCount) {
            cachedTotalCpusChangeCount = controlChangeCount
            cachedTotalCpus = machinesById.values.sumOf { machineTypes[it.record.type]?.cpus ?: 0.0 }
        }
        return cachedTotalCpus
    }

    /** Applies a write of a machine's own record, which only earlier versions store, or its deletion if [value] is null. */
    fun applyMachine(
        id: MachineId,
        value: JsonElement?,
    ) {
        changeCount++
        machinesById.applyRecord(id, value) {
            KnownMachine(id, WireJson.decodeFromJsonElement(MachineRecord.serializer(), it), legacy = true)
        }
        changed += id
    }

    /** Applies a write of a machine list, or its deletion if [value] is null. Returns the machines that are no longer in any list. */
    fun applyList(
        list: Keys.Subject.MachineList,
        value: JsonElement?,
    ): List<MachineId> {
        changeCount++
        val after = value?.let(RecordCodec::decodeMachineList).orEmpty()
        val removed = idsByList[list].orEmpty().filter { it !in after && !isInOtherList(it, list) }
        for (id in removed) {
            machinesById.remove(id)?.let { newestByAddress.remove(it.record.address, id) }
            changed += id
        }
        for ((id, record) in after) update(id, record)
        if (value == null) {
            idsByList.remove(list)
        } else {
            idsByList[list] = after.keys
        }
        return removed
    }

    private fun isInOtherList(
        id: MachineId,
        list: Keys.Subject.MachineList,
    ): Boolean = idsByList.any { (other, ids) -> other != list && id in ids }

    private fun update(
        id: MachineId,
        record: MachineRecord,
    ) {
        val known = machinesById[id]
        if (known != null && known.record == record && !known.legacy) return
        machinesById[id] = KnownMachine(id, record)
        newestByAddress.merge(record.address, id) { before, added -> if (added.text > before.text) added else before }
        changed += id
    }

    /** The machine at [address]; the one that was rented last if several have been there. Null if none is known. */
    fun newestAt(address: String): MachineId? = newestByAddress[address]

    /** Applies a write of a piece of the machine types, or its deletion if [value] is null. */
    fun applyTypes(
        piece: Int,
        value: JsonElement?,
    ) {
        typePieces.applyRecord(piece, value, MachineTypePieces::decode)
        // The types stay known while their records are being replaced.
        if (typePieces.isNotEmpty()) machineTypes = typePieces.values.flatten().associateBy { it.name }
    }

    /** The machines of one partition, by piece of its machine list. */
    fun listsOf(partition: Int): Map<Int, Map<MachineId, MachineRecord>> =
        idsByList.filterKeys { it.partition == partition }.entries.associate { (list, ids) -> list.piece to recordsOf(ids) }

    private fun recordsOf(ids: Set<MachineId>): Map<MachineId, MachineRecord> =
        ids.mapNotNull { id -> machinesById[id]?.let { id to it.record } }.toMap()

    private companion object {
        const val NOT_COMPUTED = -1L
    }
}
