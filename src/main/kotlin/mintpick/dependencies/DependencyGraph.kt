package mintpick.dependencies

import mintpick.core.JobId

/** The state of a job that others depend on. */
enum class PredecessorState {
    /** Not known yet, or neither done nor cancelled. */
    PENDING,

    /** Done: it holds nobody back. */
    DONE,

    /** Cancelled: its successors never run. */
    CANCELLED,
}

/** Whether a job's dependencies let its tasks start. */
enum class Readiness {
    /** At least one predecessor is not done. */
    WAITING,

    /** All predecessors are done: its tasks may start. */
    RELEASED,

    /** A predecessor, direct or indirect, is cancelled: it never runs. */
    CANCELLED,
}

/**
 * The directed acyclic graph of dependencies between jobs, and what follows from the end of one. Nothing here is stored:
 * all of it is derived from the jobs' records, in whichever order they become known, so it is the same for every
 * controller that knows them. Event-loop thread only.
 *
 * A job may only name jobs that were accepted before it, so there are no cycles. A change costs what it affects: jobs that
 * go on waiting are not visited.
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

    /** How many jobs wait for others. */
    var waitingCount = 0
        private set

    /** The readiness of [job]; one without predecessors, or of which nothing is known here, is released. */
    fun readiness(job: JobId): Readiness = nodes[job]?.readiness ?: Readiness.RELEASED

    /** Jobs that [job] names; none if it is over or not known here. */
    fun predecessors(job: JobId): Set<JobId> = nodes[job]?.predecessors.orEmpty()

    /** Jobs that name [job] and are not over themselves. */
    fun successors(job: JobId): Set<JobId> = successors[job].orEmpty()

    /**
     * Adds a job that is not over, with the state of its predecessors by [stateOf]; a known one keeps its edges. Returns its
     * readiness.
     */
    fun add(
        job: JobId,
        predecessors: Collection<JobId>,
        stateOf: (JobId) -> PredecessorState,
    ): Readiness {
        nodes[job]?.let { return it.readiness }
        if (predecessors.isEmpty()) return Readiness.RELEASED
        val states = predecessors.associateWith(stateOf)
        val unfinishedPredecessors = states.filterValues { it == PredecessorState.PENDING }.keys
        val readiness =
            when {
                states.containsValue(PredecessorState.CANCELLED) -> Readiness.CANCELLED
                unfinishedPredecessors.isEmpty() -> Readiness.RELEASED
                else -> Readiness.WAITING
            }
        nodes[job] = Node(predecessors.toSet(), HashSet(unfinishedPredecessors), readiness)
        predecessors.forEach { successors.getOrPut(it) { LinkedHashSet() } += job }
        if (readiness == Readiness.WAITING) waitingCount++
        version++
        return readiness
    }

    /** Removes a job that is over. What follows for its successors is the matter of [markDone] or [markCancelled]. */
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

    /** [job] is done. Returns the jobs that are released by that: it was the last predecessor that they waited for. */
    fun markDone(job: JobId): List<JobId> {
        val released = ArrayList<JobId>()
        for (successor in successors(job)) {
            val node = nodes[successor] ?: continue
            val wasUnfinished = node.unfinishedPredecessors.remove(job)
            val isLast = wasUnfinished && node.unfinishedPredecessors.isEmpty()
            if (!isLast || node.readiness != Readiness.WAITING) continue
            node.readiness = Readiness.RELEASED
            waitingCount--
            released += successor
        }
        return released
    }

    /** [job] is cancelled. Returns all jobs that are withdrawn with it, at any depth. */
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
