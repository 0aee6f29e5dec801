package mintpick.dependencies

import mintpick.core.JobId

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
 */
class DependencyGraph {
    private class Node(
        val predecessors: Set<JobId>,
        val unfinishedPredecessors: HashSet<JobId>,
        var readiness: Readiness,
    )

    private val nodes = HashMap<JobId, Node>()
    private val successors = HashMap<JobId, LinkedHashSet<JobId>>()

    /** Increases with every change of the edges. */
    var version = 0L
        private set

    /** Number of jobs that are waiting for predecessors. */
    var waitingCount = 0
        private set

    /** The readiness of [job]. A job that has no predecessors or is unknown here is [Readiness.READY]. */
    fun readiness(job: JobId): Readiness = nodes[job]?.readiness ?: Readiness.READY

    /** Direct predecessors of [job]; empty if the job has ended or is unknown here. */
    fun predecessors(job: JobId): Set<JobId> = nodes[job]?.predecessors.orEmpty()

    /** Direct successors of [job] that have not ended. */
    fun successors(job: JobId): Set<JobId> = successors[job].orEmpty()

    /**
     * Adds a job that has not ended; [stateOf] returns the states of its predecessors. A job that was added before keeps its
     * edges. Returns the job's readiness.
     */
    fun add(
        job: JobId,
        predecessors: Collection<JobId>,
        stateOf: (JobId) -> PredecessorState,
    ): Readiness {
        nodes[job]?.let { return it.readiness }
        if (predecessors.isEmpty()) return Readiness.READY
        val states = predecessors.associateWith(stateOf)
        val unfinishedPredecessors = states.filterValues { it == PredecessorState.PENDING }.keys
        val readiness =
            when {
                states.containsValue(PredecessorState.CANCELLED) -> Readiness.CANCELLED
                unfinishedPredecessors.isEmpty() -> Readiness.READY
                else -> Readiness.WAITING
            }
        nodes[job] = Node(predecessors.toSet(), HashSet(unfinishedPredecessors), readiness)
        predecessors.forEach { successors.getOrPut(it) { LinkedHashSet() } += job }
        if (readiness == Readiness.WAITING) waitingCount++
        version++
        return readiness
    }

    /** Removes a job that has ended. Does not update its successors: [markDone] and [markCancelled] do. */
    fun remove(job: JobId) {
        val node = nodes.remove(job) ?: return
        if (node.readiness == Readiness.WAITING) waitingCount--
        for (predecessor in node.predecessors) {
            val others = successors[predecessor] ?: continue
            others -= job
            if (others.isEmpty()) successors -= predecessor
        }
        version++
    }

    /** Marks [job] as done. Returns the jobs that this releases: those that were waiting for no other predecessor. */
    fun markDone(job: JobId): List<JobId> {
        val released = ArrayList<JobId>()
        for (successor in successors(job)) {
            val node = nodes[successor] ?: continue
            val wasUnfinished = node.unfinishedPredecessors.remove(job)
            val isLast = wasUnfinished && node.unfinishedPredecessors.isEmpty()
            if (!isLast || node.readiness != Readiness.WAITING) continue
            node.readiness = Readiness.READY
            waitingCount--
            released += successor
        }
        return released
    }

    /** Marks [job] as cancelled. Returns all direct and indirect successors that this cancels. */
    fun markCancelled(job: JobId): List<JobId> {
        val cancelled = ArrayList<JobId>()
        val queue = ArrayDeque(successors(job))
        while (queue.isNotEmpty()) {
            val successor = queue.removeFirst()
            val node = nodes[successor] ?: continue
            if (node.readiness != Readiness.WAITING) continue
            node.readiness = Readiness.CANCELLED
            waitingCount--
            cancelled += successor
            queue += successors(successor)
        }
        return cancelled
    }
}
