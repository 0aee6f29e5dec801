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
 * Turns jobs, their chunks and lists of machines into records and back. All forms of [RecordFormat] are read; a function that
 * writes is told which one to write.
 *
 * Functions that read throw an [UnreadableRecordException] that says what is wrong with the record. Numbers at the end of
 * machine names that are out of range are an [ArithmeticException].
 */
object RecordCodec {
    /** [chunk] in [format], as part of a job's main record (chunk 0) or as a record of its own. */
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

    /** The chunk of [size] tasks that [record] holds, at the key's [version]. */
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

    /** The main record of [job], which is not over: its stage, its specification unless kept separately, and chunk 0. */
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

    /** The record of a chunk other than a job's first (`Keys.chunk`). */
    fun chunkJson(
        chunk: Chunk,
        format: RecordFormat,
    ): JsonElement = WireJson.encodeToJsonElement(ChunkRecord.serializer(), chunkRecord(chunk, format))

    /** The short main record of a job of [tasks] tasks that is over and has no task left on any machine. */
    fun finalJson(
        stage: StoredStage,
        tasks: Int,
    ): JsonElement = encode(JobRecord(stage, tasks))

    /** Reads a job's main record, open or final. */
    fun decodeJob(value: JsonElement): JobRecord = decode(JobRecord.serializer(), value)

    /** Reads the record of a chunk other than a job's first. */
    fun decodeChunk(value: JsonElement): ChunkRecord = decode(ChunkRecord.serializer(), value)

    /**
     * The job of an open [record] at the key's [version], with chunk 0 from it and the others from [furtherChunks] by index;
     * null for a final record, or if its specification is stored separately and [separateSpec] is not given.
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

    /** The record of one piece of a partition's list of machines (`Keys.machineList`). */
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

    /** Reads what [machineListJson] wrote. */
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

    /** Records keep pairs of numbers as one flat list; a last number without a partner is ignored. */
    private inline fun forEachPair(
        flat: List<Int>,
        action: (Int, Int) -> Unit,
    ) {
        for (i in 0 until flat.size - 1 step 2) action(flat[i], flat[i + 1])
    }
}
