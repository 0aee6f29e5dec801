package mintpick.store

import mintpick.core.Chunk
import mintpick.core.MachineId
import mintpick.core.Placement
import java.util.Base64
import java.util.BitSet

/**
 * Encodes the tasks of one chunk as a short text. A full chunk whose tasks are all placed on different machines fits into
 * a state store value at its lowest size limit, together with its job's specification.
 *
 * The text is base64 without padding. Its fields are, in this order: the format version, the machine names ([CompactNames]),
 * one bit per task for "placed", one bit per task for "done", the index of the machine name of each placed task, and the
 * number of earlier attempts of each task that has any.
 */
internal object CompactChunk {
    private const val VERSION = 1

    /** Encodes [chunk] as a text for [decode]. The version of its record is not part of the text. */
    fun encode(chunk: Chunk): String {
        val writer = VarintWriter()
        writer.byte(VERSION)
        val names = CompactNames.ordered(chunk.placed.values.mapTo(HashSet()) { it.machine.text })
        CompactNames.write(names, writer)
        val indexByName = names.withIndex().associate { it.value to it.index }
        val placed = BitSet().apply { chunk.placed.keys.forEach(::set) }
        val done = BitSet().apply { (0 until chunk.size).filter(chunk::isDone).forEach(::set) }
        writeBits(placed, chunk.size, writer)
        writeBits(done, chunk.size, writer)
        for (task in 0 until chunk.size) {
            val placement = chunk.placed[task] ?: continue
            writer.number(indexByName.getValue(placement.machine.text))
        }
        writeEarlierAttempts(chunk, writer)
        return Base64.getEncoder().withoutPadding().encodeToString(writer.toByteArray())
    }

    /** Writes only tasks that have earlier attempts, since most tasks run at their first attempt. */
    private fun writeEarlierAttempts(
        chunk: Chunk,
        writer: VarintWriter,
    ) {
        val retriedTasks = (0 until chunk.size).filter { earlierAttempts(chunk, it) > 0 }
        writer.number(retriedTasks.size)
        var previous = 0
        for (task in retriedTasks) {
            writer.number(task - previous)
            writer.number(earlierAttempts(chunk, task))
            previous = task
        }
    }

    /** Returns the number of attempts of [task] before its current one; for a task that is not placed, of all its attempts. */
    private fun earlierAttempts(
        chunk: Chunk,
        task: Int,
    ): Int {
        val placement = chunk.placed[task]
        if (placement != null) return placement.attempt - 1
        return chunk.attempts[task] ?: 0
    }

    private fun writeBits(
        bits: BitSet,
        size: Int,
        writer: VarintWriter,
    ) {
        writer.raw(bits.toByteArray().copyOf(bytesFor(size)))
    }

    private fun bytesFor(bits: Int) = (bits + Byte.SIZE_BITS - 1) / Byte.SIZE_BITS

    /**
     * Decodes a chunk of [size] tasks from the [text] that [encode] returned, as of [version] of its record.
     *
     * Throws an [UnreadableRecordException] if [text] is not a chunk of that size, and an [ArithmeticException] if the
     * number at the end of a machine name overflows.
     */
    fun decode(
        text: String,
        size: Int,
        version: Long,
    ): Chunk {
        val reader = VarintReader(decodingRecord { Base64.getDecoder().decode(text) })
        val formatVersion = reader.byte()
        if (formatVersion != VERSION) throw UnknownFormatException("chunk: format version is $formatVersion, expected $VERSION")
        val names = CompactNames.read(reader).map(::MachineId)
        val placed = BitSet.valueOf(reader.raw(bytesFor(size)))
        val done = BitSet.valueOf(reader.raw(bytesFor(size)))
        val machines = readMachines(placed, names, reader)
        val earlierAttempts = readEarlierAttempts(reader, size)
        return Chunk(version, size, placements(machines, earlierAttempts), done, earlierAttempts)
    }

    private fun readMachines(
        placed: BitSet,
        names: List<MachineId>,
        reader: VarintReader,
    ): HashMap<Int, MachineId> {
        val machines = HashMap<Int, MachineId>()
        placed.stream().forEach { task ->
            val index = reader.number()
            requireConsistent(index < names.size) { "chunk: task $task has machine index $index, but ${names.size} machines are listed" }
            machines[task] = names[index]
        }
        return machines
    }

    private fun readEarlierAttempts(
        reader: VarintReader,
        size: Int,
    ): HashMap<Int, Int> {
        val earlierAttempts = HashMap<Int, Int>()
        var task = 0
        repeat(reader.number()) {
            task += reader.number()
            requireConsistent(task < size) { "chunk: earlier attempts of task $task are listed, but the chunk has $size tasks" }
            earlierAttempts[task] = reader.number()
        }
        return earlierAttempts
    }

    /** Builds the placements and removes the placed tasks from [earlierAttempts], which then holds the waiting tasks only. */
    private fun placements(
        machines: HashMap<Int, MachineId>,
        earlierAttempts: HashMap<Int, Int>,
    ): Map<Int, Placement> =
        machines.entries.associate { (task, machine) ->
            val earlier = earlierAttempts.remove(task) ?: 0
            task to Placement(machine, earlier + 1)
        }
}
