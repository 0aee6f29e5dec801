package mintpick.core

import java.util.BitSet

/** The machine that a task is assigned to in the stored records, and the attempt number, starting at 1. */
data class Placement(
    val machine: MachineId,
    val attempt: Int,
)

/**
 * The tasks of one chunk of a job. Each task is waiting, placed or done. Tasks are numbered within the chunk, from 0.
 * Immutable: a planned change never alters the state that it was planned against.
 *
 * @param version version of the stored record; 0 if there is none
 * @param size number of tasks
 * @param placed the placements of the placed tasks
 * @param attempts last attempt number of each waiting task that was placed before
 */
class Chunk(
    val version: Long,
    val size: Int,
    val placed: Map<Int, Placement>,
    private val finished: BitSet,
    val attempts: Map<Int, Int>,
) {
    /** Number of tasks that are done. */
    val doneCount: Int = finished.cardinality()

    /** Number of tasks that wait for a machine. */
    val waitingCount: Int get() = size - doneCount - placed.size

    /** Whether [task] is done. */
    fun isDone(task: Int): Boolean = finished.get(task)

    /** Whether [task] waits for a machine; false for an index outside the chunk. */
    fun isWaiting(task: Int): Boolean = task in 0 until size && !finished.get(task) && task !in placed

    /** Waiting tasks in ascending order. */
    fun waiting(): Sequence<Int> = if (waitingCount == 0) emptySequence() else (0 until size).asSequence().filter(::isWaiting)

    /** Starts an edit with the content of this chunk, which is not changed by it. */
    fun edit(): ChunkEdit = ChunkEdit(this, HashMap(placed), finished.clone() as BitSet, HashMap(attempts))

    /** A copy with the next attempt of [task] placed on [machine]; throws [IllegalArgumentException] if [task] is not waiting. */
    fun place(
        task: Int,
        machine: MachineId,
    ): Chunk {
        val edit = edit()
        require(edit.place(task, machine) != null) { "task $task is not waiting" }
        return edit.build()
    }

    /**
     * A copy in which [task] is waiting again; unchanged if [placement] is not its current one. The caller must have proof that
     * the attempt is not running anywhere.
     */
    fun requeue(
        task: Int,
        placement: Placement,
    ): Chunk = edit().also { it.requeue(task, placement) }.build()

    /** A copy in which [task] is done. */
    fun finish(task: Int): Chunk = edit().also { it.finish(task) }.build()

    /** Ranges of done tasks in ascending order, flattened to first, last, first, last, ... with both ends inclusive. */
    fun doneRanges(): List<Int> {
        val ranges = ArrayList<Int>()
        var from = finished.nextSetBit(0)
        while (from >= 0) {
            val to = finished.nextClearBit(from)
            ranges += from
            ranges += to - 1
            from = finished.nextSetBit(to)
        }
        return ranges
    }

    companion object {
        /** A chunk of [size] waiting tasks that has no record yet. */
        fun empty(size: Int): Chunk = Chunk(0, size, emptyMap(), BitSet(), emptyMap())
    }
}

/** Builder that collects changes of one chunk, so that many changes need only one copy of its maps. */
class ChunkEdit internal constructor(
    private val before: Chunk,
    private val placed: HashMap<Int, Placement>,
    private val finished: BitSet,
    private val attempts: HashMap<Int, Int>,
) {
    /** Whether any call has changed the chunk. */
    var changed = false
        private set

    /** Places the next attempt of [task] on [machine]; returns null and changes nothing if [task] is not waiting. */
    fun place(
        task: Int,
        machine: MachineId,
    ): Placement? {
        if (task !in 0 until before.size || finished.get(task) || task in placed) return null
        val placement = Placement(machine, (attempts.remove(task) ?: 0) + 1)
        placed[task] = placement
        changed = true
        return placement
    }

    /**
     * Makes [task] waiting again; no effect if [placement] is not its current one. The caller must have proof that the attempt is
     * not running anywhere.
     */
    fun requeue(
        task: Int,
        placement: Placement,
    ) {
        if (placed[task] != placement) return
        placed.remove(task)
        attempts[task] = placement.attempt
        changed = true
    }

    /** Marks [task] as done. */
    fun finish(task: Int) {
        if (finished.get(task)) return
        finished.set(task)
        placed.remove(task)
        attempts.remove(task)
        changed = true
    }

    /** The edited chunk, with the version of the original; the original itself if nothing changed. */
    fun build(): Chunk {
        if (!changed) return before
        return Chunk(before.version, before.size, HashMap(placed), finished.clone() as BitSet, HashMap(attempts))
    }
}
