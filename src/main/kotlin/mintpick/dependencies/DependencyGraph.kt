package mintpick.dependencies

import mintpick.core.JobId

/** How a job stands that others wait for. */
enum class PredecessorState {
    /** Not known yet, or neither done nor cancelled. */
    PENDING,
    DONE,
    CANCELLED,
}

/** How a job stands towards the jobs that it waits for. */
enum class Readiness {
    /** At least one predecessor is not done. */
    WAITING,

    /** All predecessors are done: its tasks may start. */
    RELEASED,

    /** A job that it needs, directly or through others, is cancelled: it never runs. */
    WITHDRAWN,
}

/**
 * Which jobs wait for which, and what follows from the end of one. Nothing here is stored: all of it is derived from the
 * jobs' records, in whichever order they become known, so it is the same for every controller that knows them.
 *
 * A job may only name jobs that were accepted before it, so there are no cycles. A step costs what changes with it: jobs
 * that go on waiting are not looked at.
 */
class DependencyGraph {
    private class Node(
        val predecessors: Set<JobId>,
        val unfinished: HashSet<JobId>,
        var readiness: Readiness,
    )

    private val nodes = HashMap<JobId, Node>()
    private val successors = HashMap<JobId, LinkedHashSet<JobId>>()

    /** Rises with every change of the edges. */
    var epoch = 0L
        private set

    /** Jobs that wait for others. */
    var waitingCount = 0
        private set

    /** How [job] stands; one without predecessors, or of which nothing is known here, waits for nobody. */
    fun readiness(job: JobId): Readiness = nodes[job]?.readiness ?: Readiness.RELEASED

    fun predecessors(job: JobId): Set<JobId> = nodes[job]?.predecessors.orEmpty()

    /** Jobs that name [job] and are not over themselves. */
    fun successors(job: JobId): Set<JobId> = successors[job].orEmpty()

    /** Notes a job that is not over; a known one keeps its edges. Returns how it stands. */
    fun add(
        job: JobId,
        predecessors: Collection<JobId>,
        stateOf: (JobId) -> PredecessorState,
    ): Readiness {
        nodes[job]?.let { return it.readiness }
        if (predecessors.isEmpty()) return Readiness.RELEASED
        val states = predecessors.associateWith(stateOf)
        val unfinished = states.filterValues { it == PredecessorState.PENDING }.keys
        val readiness =
            when {
                states.containsValue(PredecessorState.CANCELLED) -> Readiness.WITHDRAWN
                unfinished.isEmpty() -> Readiness.RELEASED
                else -> Readiness.WAITING
            }
        nodes[job] = Node(predecessors.toSet(), HashSet(unfinished), readiness)
        predecessors.forEach { successors.getOrPut(it) { LinkedHashSet() } += job }
        if (readiness == Readiness.WAITING) waitingCount++
        epoch++
        return readiness
    }

    /** Forgets a job that is over. What waits for it is told by [done] or [cancelled]. */
    fun remove(job: JobId) {
        val node = nodes.remove(job) ?: return
        if (node.readiness == Readiness.WAITING) waitingCount--
        for (predecessor in node.predecessors) {
            val others = successors[predecessor] ?: continue
            others -= job
            if (others.isEmpty()) successors -= predecessor
        }
        epoch++
    }

    /** [job] is done. Returns the jobs that it was the last to hold back. */
    fun done(job: JobId): List<JobId> {
        val released = ArrayList<JobId>()
        for (successor in successors(job)) {
            val node = nodes[successor] ?: continue
            if (!node.unfinished.remove(job) || node.readiness != Readiness.WAITING || node.unfinished.isNotEmpty()) continue
            node.readiness = Readiness.RELEASED
            waitingCount--
            released += successor
        }
        return released
    }

    /** [job] is cancelled. Returns all jobs that are withdrawn with it, at any depth. */
    fun cancelled(job: JobId): List<JobId> {
        val withdrawn = ArrayList<JobId>()
        val open = ArrayDeque(successors(job))
        while (open.isNotEmpty()) {
            val successor = open.removeFirst()
            val node = nodes[successor] ?: continue
            if (node.readiness != Readiness.WAITING) continue
            node.readiness = Readiness.WITHDRAWN
            waitingCount--
            withdrawn += successor
            open += successors(successor)
        }
        return withdrawn
    }
}
