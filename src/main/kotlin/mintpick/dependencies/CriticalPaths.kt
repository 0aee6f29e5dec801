package mintpick.dependencies

import mintpick.core.JobId
import mintpick.core.Micros
import mintpick.wire.Priority

/** The urgency of a job, derived from its own requirements and those of its successors. */
data class Urgency(
    /** The highest priority of the job and all its direct and indirect successors. */
    val priority: Priority,
    /** Latest wall-clock time at which its tasks must start; null if neither the job nor a successor has a deadline. */
    val latestStartUs: Micros?,
)

/** Requirements in a job's own specification. */
data class JobRequirements(
    val priority: Priority,
    /** Wall-clock time by which the job must be done; null if it has no deadline. */
    val deadlineUs: Micros?,
    /** Expected run time of the job's tasks. */
    val expectedRunUs: Micros,
)

/**
 * Applies the critical path method to [graph]: each job must start early enough for all its successors to meet their
 * deadlines. Results are cached until the graph changes. Event-loop thread only.
 */
class CriticalPaths(
    private val graph: DependencyGraph,
    /** Returns the requirements of a job, or null if the job is unknown. */
    private val requirementsOf: (JobId) -> JobRequirements?,
) {
    private val urgencies = HashMap<JobId, Urgency?>()
    private var cachedVersion = -1L

    /** The urgency of [job]; null if the job is unknown. */
    fun urgency(job: JobId): Urgency? {
        if (cachedVersion != graph.version) {
            urgencies.clear()
            cachedVersion = graph.version
        }
        if (job !in urgencies) computeWithSuccessors(job)
        return urgencies[job]
    }

    /** Traverses depth-first with an explicit stack: recursion over a long chain of jobs would overflow the thread's stack. */
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
