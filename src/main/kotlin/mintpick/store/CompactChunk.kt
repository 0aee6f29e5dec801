package mintpick.store

import mintpick.core.Chunk
import mintpick.core.MachineId
import mintpick.core.Placement
import java.util.Base64
import java.util.BitSet

/**
 * The tasks of one chunk as a short text, so that a full chunk whose tasks all sit on machines of their own fits into
 * the smallest value of the state service together with its job's specification.
 */
internal object CompactChunk {
    private const val VERSION = 1
    private const val BYTE_BITS = 8

    fun encode(chunk: Chunk): String {
        val to = VarintWriter()
        to.byte(VERSION)
        val names = CompactNames.ordered(chunk.placed.values.mapTo(HashSet()) { it.machine.text })
        CompactNames.write(names, to)
        val places = names.withIndex().associate { it.value to it.index }
        val placed = BitSet().apply { chunk.placed.keys.forEach(::set) }
        val done = BitSet().apply { (0 until chunk.size).filter(chunk::isDone).forEach(::set) }
        writeBits(placed, chunk.size, to)
        writeBits(done, chunk.size, to)
        for (task in 0 until chunk.size) chunk.placed[task]?.let { to.number(places.getValue(it.machine.text)) }
        writeAttempts(chunk, to)
        return Base64.getEncoder().withoutPadding().encodeToString(to.toByteArray())
    }

    /** Most tasks run at their first attempt, of which nothing is written. */
    private fun writeAttempts(
        chunk: Chunk,
        to: VarintWriter,
    ) {
        val repeated = (0 until chunk.size).filter { repeats(chunk, it) > 0 }
        to.number(repeated.size)
        var last = 0
        for (task in repeated) {
            to.number(task - last)
            to.number(repeats(chunk, task))
            last = task
        }
    }

    /** Attempts of [task] beyond the one that its place already tells of. */
    private fun repeats(
        chunk: Chunk,
        task: Int,
    ): Int = chunk.placed[task]?.let { it.attempt - 1 } ?: chunk.attempts[task] ?: 0

    private fun writeBits(
        bits: BitSet,
        size: Int,
        to: VarintWriter,
    ) {
        to.raw(bits.toByteArray().copyOf(bytesFor(size)))
    }

    private fun bytesFor(size: Int) = (size + BYTE_BITS - 1) / BYTE_BITS

    fun decode(
        text: String,
        size: Int,
        version: Long,
    ): Chunk {
        val from = VarintReader(Base64.getDecoder().decode(text))
        require(from.byte() == VERSION) { "chunk of an unknown format" }
        val names = CompactNames.read(from).map(::MachineId)
        val placed = BitSet.valueOf(from.raw(bytesFor(size)))
        val done = BitSet.valueOf(from.raw(bytesFor(size)))
        val machines = HashMap<Int, MachineId>()
        placed.stream().forEach { task ->
            val place = from.number()
            require(place < names.size) { "task $task on a machine that is not listed" }
            machines[task] = names[place]
        }
        val repeats = readRepeats(from, size)
        val placements = machines.entries.associate { (task, machine) -> task to Placement(machine, (repeats.remove(task) ?: 0) + 1) }
        return Chunk(version, size, placements, done, repeats)
    }

    private fun readRepeats(
        from: VarintReader,
        size: Int,
    ): HashMap<Int, Int> {
        val repeats = HashMap<Int, Int>()
        var task = 0
        repeat(from.number()) {
            task += from.number()
            require(task < size) { "attempt of a task that the chunk does not have" }
            repeats[task] = from.number()
        }
        return repeats
    }
}
