package mintpick.dependencies

import mintpick.core.JobId
import mintpick.core.Micros
import mintpick.wire.Priority

/** How urgent a job is for itself and for its successors. */
data class Urgency(
    /** The highest priority of the job itself and of all its successors, at any depth. */
    val priority: Priority,
    /** When its tasks have to start at the latest, on the clock of deadlines; null: nobody set a deadline. */
    val latestStartUs: Micros?,
)

/** What its own specification demands of one job. */
data class JobRequirements(
    val priority: Priority,
    /** When it has to be done, on the clock of deadlines; null: no deadline. */
    val deadlineUs: Micros?,
    /** How long its tasks are expected to run. */
    val expectedRunUs: Micros,
)

/**
 * The critical path method over the [graph]: a job has to start early enough for all its successors. Results are cached
 * until the graph changes. Event-loop thread only.
 */
class CriticalPaths(
    private val graph: DependencyGraph,
    /** The demand of a job; null if nothing is known of it. */
    private val requirementsOf: (JobId) -> JobRequirements?,
) {
    private val urgencies = HashMap<JobId, Urgency?>()
    private var cachedVersion = -1L

    /** How urgent [job] is; null if nothing is known of it. */
    fun urgency(job: JobId): Urgency? {
        if (cachedVersion != graph.version) {
            urgencies.clear()
            cachedVersion = graph.version
        }
        if (job !in urgencies) computeWithSuccessors(job)
        return urgencies[job]
    }

    /** Depth-first with a stack of its own: a pipeline may be deeper than the thread's. */
    private fun computeWithSuccessors(job: JobId) {
        val stack = ArrayDeque(listOf(job))
        while (stack.isNotEmpty()) {
            val next = stack.last()
            val missing = graph.successors(next).filter { it !in urgencies }
            if (next !in urgencies && missing.isNotEmpty()) {
                stack += missing
                continue
            }
            stack.removeLast()
            if (next !in urgencies) urgencies[next] = combine(next)
        }
    }

    private fun combine(job: JobId): Urgency? {
        val own = requirementsOf(job) ?: return null
        val successors = graph.successors(job).mapNotNull { urgencies[it] }
        val latestEndUs = (successors.mapNotNull { it.latestStartUs } + listOfNotNull(own.deadlineUs)).minOrNull()
        val priority = (successors.map { it.priority } + own.priority).min()
        return Urgency(priority, latestEndUs?.let { it - own.expectedRunUs })
    }
}
