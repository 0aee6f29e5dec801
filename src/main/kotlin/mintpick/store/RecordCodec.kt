package mintpick.store

import kotlinx.serialization.KSerializer
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

/**
 * Converts jobs, their chunks and lists of machines to records and back. Functions that read accept every [RecordFormat];
 * functions that write take the format as a parameter.
 *
 * Functions that read throw an [UnreadableRecordException] if the record can't be read, and an [ArithmeticException] if the
 * number at the end of a machine name overflows.
 */
object RecordCodec {
    /** Converts [chunk] to a record in [format], which is part of a job's main record (chunk 0) or stored separately. */
    fun chunkRecord(
        chunk: Chunk,
        format: RecordFormat,
    ): ChunkRecord {
        if (format >= RecordFormat.COMPACT) return ChunkRecord(compact = CompactChunk.encode(chunk))
        val placed = LinkedHashMap<String, MutableList<Int>>()
        for ((task, placement) in chunk.placed) {
            val pairs = placed.getOrPut(placement.machine.text) { ArrayList() }
            pairs.add(task)
            pairs.add(placement.attempt)
        }
        val attempts = chunk.attempts.flatMap { (task, attempt) -> listOf(task, attempt) }
        return ChunkRecord(placed, chunk.doneRanges(), attempts)
    }

    /** Reads a chunk of [size] tasks from [record]; [version] is that of its key. */
    fun chunk(
        record: ChunkRecord,
        size: Int,
        version: Long,
    ): Chunk {
        record.compact?.let { return CompactChunk.decode(it, size, version) }
        val placed = HashMap<Int, Placement>()
        for ((machine, pairs) in record.placed) {
            forEachPair(pairs) { task, attempt -> placed[task] = Placement(MachineId(machine), attempt) }
        }
        val done = BitSet()
        forEachPair(record.done) { first, last -> done.set(first, last + 1) }
        val attempts = HashMap<Int, Int>()
        forEachPair(record.attempts) { task, attempt -> attempts[task] = attempt }
        return Chunk(version, size, placed, done, attempts)
    }

    /**
     * Returns the main record of a [job] that is not final: its stage, its specification unless that is stored separately, and
     * chunk 0.
     */
    fun jobJson(
        job: Job,
        format: RecordFormat,
    ): JsonElement {
        val chunk = chunkRecord(job.chunk(0), format)
        val isSpecSeparate = job.specPieceCount > 0
        val spec = job.spec.takeUnless { isSpecSeparate }
        val specPieces = job.specPieceCount.takeIf { isSpecSeparate }
        return encode(JobRecord(job.stage, job.spec.tasks, job.submittedUs, spec, chunk, specPieces))
    }

    /** Returns the record of a chunk other than a job's first one (`Keys.chunk`). */
    fun chunkJson(
        chunk: Chunk,
        format: RecordFormat,
    ): JsonElement = WireJson.encodeToJsonElement(ChunkRecord.serializer(), chunkRecord(chunk, format))

    /** Returns the short main record of a final job of [tasks] tasks: it is done or cancelled, and no machine has a task of it. */
    fun finalJson(
        stage: StoredStage,
        tasks: Int,
    ): JsonElement = encode(JobRecord(stage, tasks))

    /** Reads a job's main record, open or final. */
    fun decodeJob(value: JsonElement): JobRecord = decode(JobRecord.serializer(), value)

    /** Reads the record of a chunk other than a job's first one. */
    fun decodeChunk(value: JsonElement): ChunkRecord = decode(ChunkRecord.serializer(), value)

    /**
     * Builds the job of a [record] that is not final, with the [version] of its key. Chunk 0 is read from the record, the other
     * chunks are taken from [furtherChunks], by index. Returns null for a final record, or if the specification is stored
     * separately and [separateSpec] is null.
     */
    fun job(
        id: JobId,
        record: JobRecord,
        version: Long,
        furtherChunks: Map<Int, Chunk>,
        separateSpec: JobSpec? = null,
    ): Job? {
        val spec = record.spec ?: separateSpec ?: return null
        val firstSize = minOf(Job.TASKS_PER_CHUNK, spec.tasks)
        val first = chunk(record.chunk ?: ChunkRecord(), firstSize, version)
        val info = JobRecordInfo(version, record.specPieces ?: 0)
        return Job(id, spec, record.stage, record.submittedUs, info, furtherChunks + (0 to first))
    }

    /** Returns the record of one piece of a partition's machine list (`Keys.machineList`). */
    fun machineListJson(
        machines: Map<MachineId, MachineRecord>,
        format: RecordFormat,
    ): JsonElement {
        if (format >= RecordFormat.COMPACT) return encode(FleetRecord(compact = CompactMachineList.encode(machines)))
        val groups = machines.entries.groupBy { MachineKind.of(it.value) }.map { (kind, members) -> group(kind, members) }
        val retiring = machines.filterValues { it.retiring != Retiring.NO }.entries.associate { it.key.text to it.value.retiring }
        return encode(FleetRecord(groups, retiring))
    }

    private fun group(
        kind: MachineKind,
        members: List<Map.Entry<MachineId, MachineRecord>>,
    ) = FleetGroup(kind.type, kind.zone, kind.spot, members.associate { it.key.text to it.value.address })

    /** Reads a record of [machineListJson]. */
    fun decodeMachineList(value: JsonElement): Map<MachineId, MachineRecord> {
        val record = decode(FleetRecord.serializer(), value)
        record.compact?.let { return CompactMachineList.decode(it) }
        val machines = HashMap<MachineId, MachineRecord>()
        for (group in record.groups) {
            for ((id, address) in group.machines) {
                val retiring = record.retiring[id] ?: Retiring.NO
                machines[MachineId(id)] = MachineRecord(group.type, group.zone, group.spot, address, retiring)
            }
        }
        return machines
    }

    private fun <T> decode(
        serializer: KSerializer<T>,
        value: JsonElement,
    ): T = decodingRecord { WireJson.decodeFromJsonElement(serializer, value) }

    private fun encode(record: FleetRecord) = WireJson.encodeToJsonElement(FleetRecord.serializer(), record)

    private fun encode(record: JobRecord) = WireJson.encodeToJsonElement(JobRecord.serializer(), record)

    /** Calls [action] for each pair of numbers. Records store pairs as one flat list; an unpaired last number is ignored. */
    private inline fun forEachPair(
        flat: List<Int>,
        action: (Int, Int) -> Unit,
    ) {
        for (i in 0 until flat.size - 1 step 2) action(flat[i], flat[i + 1])
    }
}
