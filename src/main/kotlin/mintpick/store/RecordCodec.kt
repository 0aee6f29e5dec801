package mintpick.store

import kotlinx.serialization.json.JsonElement
import mintpick.core.Chunk
import mintpick.core.Job
import mintpick.core.JobId
import mintpick.core.JobRecordInfo
import mintpick.core.MachineId
import mintpick.core.Placement
import mintpick.wire.ChunkRecord
import mintpick.wire.FleetGroup
import mintpick.wire.FleetRecord
import mintpick.wire.JobRecord
import mintpick.wire.JobSpec
import mintpick.wire.MachineRecord
import mintpick.wire.Retiring
import mintpick.wire.StoredStage
import mintpick.wire.WireJson
import java.util.BitSet

/** Turns jobs and their chunks into records and back. */
object RecordCodec {
    fun chunkRecord(
        chunk: Chunk,
        format: RecordFormat,
    ): ChunkRecord {
        if (format >= RecordFormat.COMPACT) return ChunkRecord(compact = CompactChunk.encode(chunk))
        val placed = LinkedHashMap<String, MutableList<Int>>()
        for ((task, at) in chunk.placed) {
            placed.getOrPut(at.machine.text) { ArrayList() }.apply {
                add(task)
                add(at.attempt)
            }
        }
        return ChunkRecord(placed, chunk.doneRanges(), chunk.attempts.flatMap { listOf(it.key, it.value) })
    }

    fun chunk(
        record: ChunkRecord,
        size: Int,
        version: Long,
    ): Chunk {
        record.compact?.let { return CompactChunk.decode(it, size, version) }
        val placed = HashMap<Int, Placement>()
        for ((machine, pairs) in record.placed) {
            pairs(pairs) { task, attempt -> placed[task] = Placement(MachineId(machine), attempt) }
        }
        val done = BitSet()
        pairs(record.done) { from, to -> done.set(from, to + 1) }
        val attempts = HashMap<Int, Int>()
        pairs(record.attempts) { task, attempt -> attempts[task] = attempt }
        return Chunk(version, size, placed, done, attempts)
    }

    fun jobJson(
        job: Job,
        format: RecordFormat,
    ): JsonElement {
        val chunk = chunkRecord(job.chunk(0), format)
        val isApart = job.specPieces > 0
        val spec = job.spec.takeUnless { isApart }
        return encode(JobRecord(job.stage, job.spec.tasks, job.submittedUs, spec, chunk, job.specPieces.takeIf { isApart }))
    }

    fun chunkJson(
        chunk: Chunk,
        format: RecordFormat,
    ): JsonElement = WireJson.encodeToJsonElement(ChunkRecord.serializer(), chunkRecord(chunk, format))

    /** The compact record of a job that is over and has no task left anywhere. */
    fun finalJson(
        stage: StoredStage,
        tasks: Int,
    ): JsonElement = encode(JobRecord(stage, tasks))

    fun decodeJob(value: JsonElement): JobRecord = WireJson.decodeFromJsonElement(JobRecord.serializer(), value)

    fun decodeChunk(value: JsonElement): ChunkRecord = WireJson.decodeFromJsonElement(ChunkRecord.serializer(), value)

    /** The job of an open record with its first chunk; null for a final one, or if its specification is apart and not given. */
    fun job(
        id: JobId,
        record: JobRecord,
        version: Long,
        others: Map<Int, Chunk>,
        apart: JobSpec? = null,
    ): Job? {
        val spec = record.spec ?: apart ?: return null
        val first = chunk(record.chunk ?: ChunkRecord(), minOf(Job.CHUNK, spec.tasks), version)
        val info = JobRecordInfo(version, record.specPieces ?: 0)
        return Job(id, spec, record.stage, record.submittedUs, info, others + (0 to first))
    }

    fun machineListJson(
        machines: Map<MachineId, MachineRecord>,
        format: RecordFormat,
    ): JsonElement {
        if (format >= RecordFormat.COMPACT) return encode(FleetRecord(compact = CompactMachineList.encode(machines)))
        val groups =
            machines.entries.groupBy { Triple(it.value.type, it.value.zone, it.value.spot) }.map { (kind, members) ->
                FleetGroup(kind.first, kind.second, kind.third, members.associate { it.key.text to it.value.address })
            }
        val retiring = machines.filterValues { it.retiring != Retiring.NO }.entries.associate { it.key.text to it.value.retiring }
        return encode(FleetRecord(groups, retiring))
    }

    fun decodeMachineList(value: JsonElement): Map<MachineId, MachineRecord> {
        val record = WireJson.decodeFromJsonElement(FleetRecord.serializer(), value)
        record.compact?.let { return CompactMachineList.decode(it) }
        val machines = HashMap<MachineId, MachineRecord>()
        for (group in record.groups) {
            for ((id, address) in group.machines) {
                machines[MachineId(id)] = MachineRecord(group.type, group.zone, group.spot, address, record.retiring[id] ?: Retiring.NO)
            }
        }
        return machines
    }

    private fun encode(record: FleetRecord) = WireJson.encodeToJsonElement(FleetRecord.serializer(), record)

    private fun encode(record: JobRecord) = WireJson.encodeToJsonElement(JobRecord.serializer(), record)

    private inline fun pairs(
        flat: List<Int>,
        use: (Int, Int) -> Unit,
    ) {
        for (i in 0 until flat.size - 1 step 2) use(flat[i], flat[i + 1])
    }
}
