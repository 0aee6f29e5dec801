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
 * Machines and machine types. Every machine whose record changes is added to [changed]. The `apply` functions throw
 * [IllegalArgumentException] for an unreadable record.
 */
internal class MachineCache(
    private val changed: MutableSet<MachineId>,
) {
    private val machinesById = HashMap<MachineId, KnownMachine>()
    private val idsByList = HashMap<Keys.Subject.MachineList, Set<MachineId>>()
    private val typePieces = TreeMap<Int, List<MachineType>>()
    private var cachedTotalCpus = 0.0
    private var cachedTotalCpusEpoch = NOT_COMPUTED

    /** All machines, from lists and from records of their own. */
    val machines: Map<MachineId, KnownMachine> get() = machinesById

    /** Machine types by name; empty until they are known. */
    var machineTypes: Map<String, MachineType> = emptyMap()
        private set

    /** How many pieces the machine types are stored in. */
    val machineTypePieceCount: Int get() = typePieces.size

    /** Rises whenever a machine's record or a list of machines changes. */
    var epoch = 0L
        private set

    /** Processors of all machines, computed anew when [controlEpoch] is not that of the last call. */
    fun totalCpus(controlEpoch: Long): Double {
        if (cachedTotalCpusEpoch != controlEpoch) {
            cachedTotalCpusEpoch = controlEpoch
            cachedTotalCpus = machinesById.values.sumOf { machineTypes[it.record.type]?.cpus ?: 0.0 }
        }
        return cachedTotalCpus
    }

    /** A machine's own record, as earlier versions stored it, was written, or deleted if [value] is null. */
    fun applyMachine(
        id: MachineId,
        value: JsonElement?,
    ) {
        epoch++
        machinesById.applyRecord(id, value) {
            KnownMachine(id, WireJson.decodeFromJsonElement(MachineRecord.serializer(), it), legacy = true)
        }
        changed += id
    }

    /** A list of machines was written, or deleted if [value] is null. Returns the machines that are in no list any more. */
    fun applyList(
        list: Keys.Subject.MachineList,
        value: JsonElement?,
    ): List<MachineId> {
        epoch++
        val after = value?.let(RecordCodec::decodeMachineList).orEmpty()
        val removed = idsByList[list].orEmpty().filter { it !in after && !isInOtherList(it, list) }
        for (id in removed) {
            machinesById.remove(id)
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
        changed += id
    }

    /** A piece of the list of machine types was written, or deleted if [value] is null. */
    fun applyTypes(
        piece: Int,
        value: JsonElement?,
    ) {
        typePieces.applyRecord(piece, value, MachineTypePieces::decode)
        // Types stay known while their records are replaced.
        if (typePieces.isNotEmpty()) machineTypes = typePieces.values.flatten().associateBy { it.name }
    }

    /** The machines of one partition, by the pieces that its list is stored in. */
    fun listsOf(partition: Int): Map<Int, Map<MachineId, MachineRecord>> =
        idsByList.filterKeys { it.partition == partition }.entries.associate { (list, ids) -> list.piece to recordsOf(ids) }

    private fun recordsOf(ids: Set<MachineId>): Map<MachineId, MachineRecord> =
        ids.mapNotNull { id -> machinesById[id]?.let { id to it.record } }.toMap()

    private companion object {
        const val NOT_COMPUTED = -1L
    }
}
