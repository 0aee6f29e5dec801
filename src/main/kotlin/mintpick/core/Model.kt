package mintpick.core

import mintpick.wire.JobKind
import mintpick.wire.JobSpec
import mintpick.wire.MachineType
import mintpick.wire.Priority
import mintpick.wire.StoredStage
import java.util.BitSet
import kotlin.math.max
import kotlin.math.min

/** A time or duration in whole microseconds. */
typealias Micros = Long

const val MILLI: Micros = 1_000
const val SECOND: Micros = 1_000_000

@JvmInline
value class JobId(
    val text: String,
)

@JvmInline
value class MachineId(
    val text: String,
)

@JvmInline
value class NodeId(
    val text: String,
)

/** One task of a job; the platform writes it `job/index`. */
data class TaskId(
    val job: JobId,
    val index: Int,
) {
    override fun toString(): String = "${job.text}/$index"

    companion object {
        fun parse(text: String): TaskId? {
            val index = text.substringAfterLast('/', "").toIntOrNull() ?: return null
            return if (index < 0) null else TaskId(JobId(text.substringBeforeLast('/')), index)
        }
    }
}

/** Amounts of what machines have and tasks take. */
data class Resources(
    val cpus: Double,
    val gpus: Double,
    val memoryGb: Double,
) {
    operator fun plus(other: Resources) = Resources(cpus + other.cpus, gpus + other.gpus, memoryGb + other.memoryGb)

    operator fun minus(other: Resources) = Resources(cpus - other.cpus, gpus - other.gpus, memoryGb - other.memoryGb)

    operator fun times(factor: Double) = Resources(cpus * factor, gpus * factor, memoryGb * factor)

    fun fits(room: Resources): Boolean = cpus <= room.cpus + EPSILON && gpus <= room.gpus + EPSILON && memoryGb <= room.memoryGb + EPSILON

    /** How many tasks of this size [room] holds. */
    fun countIn(room: Resources): Int {
        var count = Double.MAX_VALUE
        if (cpus > 0) count = min(count, (room.cpus + EPSILON) / cpus)
        if (gpus > 0) count = min(count, (room.gpus + EPSILON) / gpus)
        if (memoryGb > 0) count = min(count, (room.memoryGb + EPSILON) / memoryGb)
        return max(0.0, min(count, MAX_COUNT)).toInt()
    }

    /** The largest share of [total] that any one resource takes. */
    fun dominantShare(total: Resources): Double {
        var share = 0.0
        if (total.cpus > 0) share = max(share, cpus / total.cpus)
        if (total.gpus > 0) share = max(share, gpus / total.gpus)
        if (total.memoryGb > 0) share = max(share, memoryGb / total.memoryGb)
        return share
    }

    companion object {
        const val EPSILON = 1e-6
        private const val MAX_COUNT = 1e6
        val ZERO = Resources(0.0, 0.0, 0.0)
    }
}

val JobSpec.demand: Resources get() = Resources(cpus, gpus, memoryGb)

val MachineType.capacity: Resources get() = Resources(cpus, gpus, memoryGb)

/** Jobs that must be done before any task of this one starts. */
val JobSpec.predecessorIds: List<JobId> get() = predecessors.orEmpty().map(::JobId)

val JobSpec.isService: Boolean get() = kind == JobKind.SERVICE

val JobSpec.isGang: Boolean get() = kind == JobKind.GANG

val JobSpec.isProduction: Boolean get() = priority == Priority.PRODUCTION

/** Most tasks of a spread job that one zone may hold. */
val JobSpec.zoneCap: Int get() = if (spread) (tasks + 1) / 2 else tasks

/** Where a task has been assigned, durably. */
data class Placement(
    val machine: MachineId,
    val attempt: Int,
)

/**
 * The tasks of one chunk: immutable, so that a planned change and the state it was planned against never mix.
 * A task is done, placed or waiting; [attempts] remembers the last attempt of waiting ones.
 */
class Chunk(
    val version: Long,
    val size: Int,
    val placed: Map<Int, Placement>,
    private val finished: BitSet,
    val attempts: Map<Int, Int>,
) {
    val doneCount: Int = finished.cardinality()
    val waitingCount: Int get() = size - doneCount - placed.size

    fun isDone(task: Int): Boolean = finished.get(task)

    fun isWaiting(task: Int): Boolean = task in 0 until size && !finished.get(task) && task !in placed

    /** Waiting tasks, lowest first. */
    fun waiting(): Sequence<Int> = if (waitingCount == 0) emptySequence() else (0 until size).asSequence().filter(::isWaiting)

    fun edit(): ChunkEdit = ChunkEdit(this, HashMap(placed), finished.clone() as BitSet, HashMap(attempts))

    fun place(
        task: Int,
        machine: MachineId,
    ): Chunk = edit().also { require(it.place(task, machine) != null) { "task $task does not wait" } }.build()

    /** Back to waiting: the caller has proof that [placement] runs nowhere. */
    fun requeue(
        task: Int,
        placement: Placement,
    ): Chunk = edit().also { it.requeue(task, placement) }.build()

    fun finish(task: Int): Chunk = edit().also { it.finish(task) }.build()

    /** Inclusive ranges of done tasks, flattened. */
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
        fun empty(size: Int): Chunk = Chunk(0, size, emptyMap(), BitSet(), emptyMap())
    }
}

/** Changes of one chunk on their way: many of them cost one copy of its maps. */
class ChunkEdit internal constructor(
    private val before: Chunk,
    private val placed: HashMap<Int, Placement>,
    private val finished: BitSet,
    private val attempts: HashMap<Int, Int>,
) {
    var changed = false
        private set

    /** The new placement, or null if [task] does not wait. */
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

    /** Back to waiting: the caller has proof that [placement] runs nowhere. */
    fun requeue(
        task: Int,
        placement: Placement,
    ) {
        if (placed[task] != placement) return
        placed.remove(task)
        attempts[task] = placement.attempt
        changed = true
    }

    fun finish(task: Int) {
        if (finished.get(task)) return
        finished.set(task)
        placed.remove(task)
        attempts.remove(task)
        changed = true
    }

    /** The chunk as edited so far; the version stays that of what was edited. */
    fun build(): Chunk =
        if (changed) Chunk(before.version, before.size, HashMap(placed), finished.clone() as BitSet, HashMap(attempts)) else before
}

/** A job that is not final, or is cancelled with tasks still to be seen gone. */
class Job(
    val id: JobId,
    val spec: JobSpec,
    val stage: StoredStage,
    val submittedUs: Micros,
    val version: Long,
    private val chunks: Map<Int, Chunk>,
    /** Whether all jobs that it waits for are done; before that none of its tasks may start. Derived, never stored. */
    val isReleased: Boolean = true,
    /** Records that hold the specification apart from the main one; 0: it is in the main record. */
    val specPieces: Int = 0,
) {
    val chunkCount: Int get() = (spec.tasks + CHUNK - 1) / CHUNK
    val done: Int = chunks.values.sumOf { it.doneCount }
    val placed: Int = chunks.values.sumOf { it.placed.size }

    /** Tasks that wait for a machine; none while the job itself waits for others. */
    val waiting: Int get() = if (stage == StoredStage.OPEN && isReleased) spec.tasks - done - placed else 0

    fun chunk(index: Int): Chunk = chunks[index] ?: Chunk.empty(sizeOf(index))

    fun chunkOf(task: Int): Chunk = chunk(task / CHUNK)

    fun isDone(task: Int): Boolean = task in 0 until spec.tasks && chunkOf(task).isDone(task % CHUNK)

    fun placement(task: Int): Placement? = if (task in 0 until spec.tasks) chunkOf(task).placed[task % CHUNK] else null

    fun placements(): Sequence<Pair<Int, Placement>> =
        chunks.asSequence().flatMap { (n, chunk) -> chunk.placed.asSequence().map { (task, at) -> n * CHUNK + task to at } }

    fun waitingTasks(): Sequence<Int> =
        if (waiting == 0) {
            emptySequence()
        } else {
            (0 until chunkCount).asSequence().flatMap { n -> chunk(n).waiting().map { n * CHUNK + it } }
        }

    fun with(
        version: Long = this.version,
        stage: StoredStage = this.stage,
        chunk: Pair<Int, Chunk>? = null,
        isReleased: Boolean = this.isReleased,
        specPieces: Int = this.specPieces,
    ): Job = Job(id, spec, stage, submittedUs, version, if (chunk == null) chunks else chunks + chunk, isReleased, specPieces)

    fun sizeOf(index: Int): Int = min(CHUNK, spec.tasks - index * CHUNK)

    companion object {
        /** Tasks per record; a chunk whose tasks all sit on machines of their own stays below the smallest value limit. */
        const val CHUNK = 256
    }
}
