package mintpick.core

import java.util.BitSet

/** The machine that a task is assigned to in the stored records, and the number of the attempt, from 1 on. */
data class Placement(
    val machine: MachineId,
    val attempt: Int,
)

/**
 * The tasks of one chunk of a job: immutable, so that a planned change and the state it was planned against never mix.
 * A task is done, placed or waiting. Tasks are numbered within the chunk, from 0 on.
 *
 * @param version the version of the stored record; 0 if there is none
 * @param size number of tasks
 * @param placed the assignments of the placed tasks
 * @param attempts the last attempt of waiting tasks that were placed before
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

    /** Whether [task] waits for a machine; false for one that the chunk does not have. */
    fun isWaiting(task: Int): Boolean = task in 0 until size && !finished.get(task) && task !in placed

    /** Waiting tasks, lowest first. */
    fun waiting(): Sequence<Int> = if (waitingCount == 0) emptySequence() else (0 until size).asSequence().filter(::isWaiting)

    /** An edit that starts from this chunk and leaves it as it is. */
    fun edit(): ChunkEdit = ChunkEdit(this, HashMap(placed), finished.clone() as BitSet, HashMap(attempts))

    /** The chunk with the next attempt of [task] on [machine]; throws [IllegalArgumentException] if [task] does not wait. */
    fun place(
        task: Int,
        machine: MachineId,
    ): Chunk {
        val edit = edit()
        require(edit.place(task, machine) != null) { "task $task does not wait" }
        return edit.build()
    }

    /** The chunk with [task] waiting again, unchanged if [placement] is not its current one: the caller has proof that it runs nowhere. */
    fun requeue(
        task: Int,
        placement: Placement,
    ): Chunk = edit().also { it.requeue(task, placement) }.build()

    /** The chunk with [task] done. */
    fun finish(task: Int): Chunk = edit().also { it.finish(task) }.build()

    /** Ranges of done tasks in ascending order, as the first and the last task of each, one after the other. */
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
        /** A chunk of [size] tasks that has no record yet: all of them wait. */
        fun empty(size: Int): Chunk = Chunk(0, size, emptyMap(), BitSet(), emptyMap())
    }
}

/** Changes of one chunk that are collected before it is built anew: many of them cost one copy of its maps. */
class ChunkEdit internal constructor(
    private val before: Chunk,
    private val placed: HashMap<Int, Placement>,
    private val finished: BitSet,
    private val attempts: HashMap<Int, Int>,
) {
    /** Whether any change took effect. */
    var changed = false
        private set

    /** Assigns the next attempt of [task] to [machine]; null, and no change, if [task] does not wait. */
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

    /** Makes [task] wait again, unless [placement] is not its current one: the caller has proof that it runs nowhere. */
    fun requeue(
        task: Int,
        placement: Placement,
    ) {
        if (placed[task] != placement) return
        placed.remove(task)
        attempts[task] = placement.attempt
        changed = true
    }

    /** Makes [task] done. */
    fun finish(task: Int) {
        if (finished.get(task)) return
        finished.set(task)
        placed.remove(task)
        attempts.remove(task)
        changed = true
    }

    /** The chunk as edited so far; the version stays that of what was edited. */
    fun build(): Chunk {
        if (!changed) return before
        return Chunk(before.version, before.size, HashMap(placed), finished.clone() as BitSet, HashMap(attempts))
    }
}
