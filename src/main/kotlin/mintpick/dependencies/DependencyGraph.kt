package mintpick.dependencies

import it.unimi.dsi.fastutil.longs.Long2ObjectOpenHashMap
import it.unimi.dsi.fastutil.longs.LongArrayList
import it.unimi.dsi.fastutil.longs.LongList
import it.unimi.dsi.fastutil.longs.LongLists
import it.unimi.dsi.fastutil.longs.LongOpenHashSet
import mintpick.core.JobId
import mintpick.wire.PackedJobId

/** The state of a job that other jobs depend on. */
enum class PredecessorState {
    /** Unknown, or neither done nor cancelled. */
    PENDING,

    /** Done: no longer blocks its successors. */
    DONE,

    /** Cancelled: its successors never run. */
    CANCELLED,
}

/** Whether a job's dependencies allow its tasks to start. */
enum class Readiness {
    /** At least one predecessor is not done. */
    WAITING,

    /** All predecessors are done, so the job's tasks may start. */
    READY,

    /** A direct or indirect predecessor is cancelled, so the job never runs. */
    CANCELLED,
}

/**
 * Directed acyclic graph of dependencies between jobs. Propagates the end of a job to its successors. Event-loop thread only.
 *
 * The graph is derived from job records and is not stored itself. The result does not depend on the order in which records
 * become known, so all controllers with the same records have the same graph.
 *
 * A job can only depend on jobs that were accepted before it, so there are no cycles. A change of one job visits only its
 * successors, never all waiting jobs.
 *
 * Only edges that can still matter are kept, those from predecessors that have not ended to jobs that wait for them: a job may name
 * thousands of others, and most of them are often done. Ids are kept as numbers ([PackedJobId]).
 */
class DependencyGraph {
    private class Node(
        val unfinishedPredecessors: LongOpenHashSet,
        var readiness: Readiness,
    )

    private val nodes = Long2ObjectOpenHashMap<Node>()

    /** Jobs that wait for a job, in the order in which they were added. */
    private val successors = Long2ObjectOpenHashMap<LongArrayList>()

    /** Increases with every change of the edges. */
    var version = 0L
        private set

    /** Number of jobs that are waiting for predecessors. */
    var waitingCount = 0
        private set

    /** Number of dependencies of waiting jobs on jobs that have not ended. */
    var edgeCount = 0
        private set

    /** The readiness of [job]. A job that has no predecessors or is unknown here is [Readiness.READY]. */
    fun readiness(job: JobId): Readiness = nodes[numberOf(job)]?.readiness ?: Readiness.READY

    /** Jobs that wait for [job]; empty once it has ended. */
    fun successors(job: JobId): List<JobId> = successorsOf(numberOf(job)).map { JobId(PackedJobId.unpack(it)) }

    /** Numbers ([PackedJobId]) of the jobs that wait for the job with this [number]; empty once it has ended. */
    internal fun successorsOf(number: Long): LongList = successors[number] ?: LongLists.EMPTY_LIST

    /** Whether any job waits for [job]. */
    fun hasSuccessors(job: JobId): Boolean = successors.containsKey(numberOf(job))

    /**
     * Adds a job that has not ended; [stateOf] returns the states of the jobs with the ids [predecessors]. A job that was added before
     * keeps its edges. Returns the job's readiness.
     */
    fun add(
        job: JobId,
        predecessors: List<String>,
        stateOf: (JobId) -> PredecessorState,
    ): Readiness {
        val number = numberOf(job)
        nodes[number]?.let { return it.readiness }
        if (predecessors.isEmpty()) return Readiness.READY
        val node = nodeOf(predecessors, stateOf)
        nodes.put(number, node)
        node.unfinishedPredecessors.forEach { predecessor -> addEdge(predecessor, number) }
        if (node.readiness == Readiness.WAITING) waitingCount++
        version++
        return node.readiness
    }

    private fun nodeOf(
        predecessors: List<String>,
        stateOf: (JobId) -> PredecessorState,
    ): Node {
        val unfinished = LongOpenHashSet(MIN_PREDECESSORS)
        for (text in predecessors) {
            val predecessor = JobId(text)
            when (stateOf(predecessor)) {
                PredecessorState.CANCELLED -> return Node(LongOpenHashSet(0), Readiness.CANCELLED)
                PredecessorState.PENDING -> unfinished.add(numberOf(predecessor))
                PredecessorState.DONE -> Unit
            }
        }
        unfinished.trim()
        return Node(unfinished, if (unfinished.isEmpty()) Readiness.READY else Readiness.WAITING)
    }

    private fun addEdge(
        predecessor: Long,
        successor: Long,
    ) {
        val others = successors[predecessor] ?: LongArrayList(1).also { successors.put(predecessor, it) }
        others.add(successor)
        edgeCount++
    }

    /** Removes a job that has ended. Does not update its successors: [markDone] and [markCancelled] do. */
    fun remove(job: JobId) {
        val number = numberOf(job)
        val node = nodes.remove(number) ?: return
        if (node.readiness == Readiness.WAITING) waitingCount--
        node.unfinishedPredecessors.forEach { predecessor -> removeEdge(predecessor, number) }
        version++
    }

    private fun removeEdge(
        predecessor: Long,
        successor: Long,
    ) {
        val others = successors[predecessor] ?: return
        if (others.rem(successor)) edgeCount--
        if (others.isEmpty) successors.remove(predecessor)
    }

    /** Marks [job] as done. Returns the jobs that this releases: those that were waiting for no other predecessor. */
    fun markDone(job: JobId): List<JobId> {
        val number = numberOf(job)
        val released = ArrayList<JobId>()
        val waiting = successors.remove(number) ?: return released
        edgeCount -= waiting.size
        version++
        for (successor in waiting) {
            val node = nodes[successor] ?: continue
            node.unfinishedPredecessors.remove(number)
            if (!node.unfinishedPredecessors.isEmpty() || node.readiness != Readiness.WAITING) continue
            node.readiness = Readiness.READY
            waitingCount--
            released += JobId(PackedJobId.unpack(successor))
        }
        return released
    }

    /** Marks [job] as cancelled. Returns all direct and indirect successors that this cancels. */
    fun markCancelled(job: JobId): List<JobId> {
        val cancelled = ArrayList<JobId>()
        val queue = ArrayDeque(successorsOf(numberOf(job)))
        while (queue.isNotEmpty()) {
            val successor = queue.removeFirst()
            val node = nodes[successor] ?: continue
            if (node.readiness != Readiness.WAITING) continue
            node.readiness = Readiness.CANCELLED
            waitingCount--
            cancelled += JobId(PackedJobId.unpack(successor))
            queue += successorsOf(successor)
        }
        return cancelled
    }

    /** The number of [job] ([PackedJobId]); throws [IllegalArgumentException] if it does not have the form of a job id. */
    internal fun numberOf(job: JobId): Long = requireNotNull(PackedJobId.pack(job.text)) { "not a job id: ${job.text}" }

    private companion object {
        /** Jobs usually wait for few others. */
        const val MIN_PREDECESSORS = 2
    }
}
