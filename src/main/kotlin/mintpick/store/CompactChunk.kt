package mintpick.store

import mintpick.core.Chunk
import mintpick.core.MachineId
import mintpick.core.Placement
import java.util.Base64
import java.util.BitSet

/**
 * The tasks of one chunk as a short text, so that a full chunk whose tasks are all placed on different machines fits into
 * the smallest value of the state service together with its job's specification.
 *
 * The text is base64 without padding of: the format version, the machine names ([CompactNames]), one bit per task for
 * "placed", one bit per task for "done", the index of the machine name of each placed task, and the repeated attempts.
 */
internal object CompactChunk {
    private const val VERSION = 1

    /** [chunk] as a text that [decode] reads; its version is not part of it. */
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
        writeRepeats(chunk, writer)
        return Base64.getEncoder().withoutPadding().encodeToString(writer.toByteArray())
    }

    /** Most tasks run at their first attempt, for which nothing is written. */
    private fun writeRepeats(
        chunk: Chunk,
        writer: VarintWriter,
    ) {
        val repeated = (0 until chunk.size).filter { repeats(chunk, it) > 0 }
        writer.number(repeated.size)
        var previous = 0
        for (task in repeated) {
            writer.number(task - previous)
            writer.number(repeats(chunk, task))
            previous = task
        }
    }

    /** Attempts of [task] beyond the one that its placement implies. */
    private fun repeats(
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
     * The chunk of [size] tasks that [encode] made [text] of, at [version]. Throws an [UnreadableRecordException] if [text]
     * is no chunk of that size, and an [ArithmeticException] if it names machines by numbers that are out of range.
     */
    fun decode(
        text: String,
        size: Int,
        version: Long,
    ): Chunk {
        val reader = VarintReader(decodingRecord { Base64.getDecoder().decode(text) })
        if (reader.byte() != VERSION) throw UnknownFormatException("chunk of an unknown format")
        val names = CompactNames.read(reader).map(::MachineId)
        val placed = BitSet.valueOf(reader.raw(bytesFor(size)))
        val done = BitSet.valueOf(reader.raw(bytesFor(size)))
        val machines = readMachines(placed, names, reader)
        val repeats = readRepeats(reader, size)
        return Chunk(version, size, placements(machines, repeats), done, repeats)
    }

    private fun readMachines(
        placed: BitSet,
        names: List<MachineId>,
        reader: VarintReader,
    ): HashMap<Int, MachineId> {
        val machines = HashMap<Int, MachineId>()
        placed.stream().forEach { task ->
            val index = reader.number()
            requireConsistent(index < names.size) { "task $task on a machine that is not listed" }
            machines[task] = names[index]
        }
        return machines
    }

    private fun readRepeats(
        reader: VarintReader,
        size: Int,
    ): HashMap<Int, Int> {
        val repeats = HashMap<Int, Int>()
        var task = 0
        repeat(reader.number()) {
            task += reader.number()
            requireConsistent(task < size) { "attempt of a task that the chunk does not have" }
            repeats[task] = reader.number()
        }
        return repeats
    }

    /** Removes the placed tasks from [repeats], so that those of waiting tasks remain. */
    private fun placements(
        machines: HashMap<Int, MachineId>,
        repeats: HashMap<Int, Int>,
    ): Map<Int, Placement> =
        machines.entries.associate { (task, machine) ->
            val repeated = repeats.remove(task) ?: 0
            task to Placement(machine, repeated + 1)
        }
}
