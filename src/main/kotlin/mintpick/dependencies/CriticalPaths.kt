package mintpick.dependencies

import mintpick.core.JobId
import mintpick.core.Micros
import mintpick.wire.Priority

/** What the jobs behind a job ask of it. */
data class Urgency(
    /** The highest priority of the job itself and of all that need it. */
    val priority: Priority,
    /** When its tasks have to start at the latest, on the clock of deadlines; null: nobody set a deadline. */
    val latestStartUs: Micros?,
)

/** What is asked of one job by itself. */
data class JobDemand(
    val priority: Priority,
    /** When it is to be done; null: no deadline. */
    val dueUs: Micros?,
    /** How long its tasks are expected to run. */
    val runUs: Micros,
)

/**
 * The critical path method over the [graph]: a job has to start early enough for all that needs it. Remembered until the
 * graph changes.
 */
class CriticalPaths(
    private val graph: DependencyGraph,
    private val demandOf: (JobId) -> JobDemand?,
) {
    private val known = HashMap<JobId, Urgency?>()
    private var epoch = -1L

    /** How urgent [job] is; null if nothing is known of it. */
    fun urgency(job: JobId): Urgency? {
        if (epoch != graph.epoch) {
            known.clear()
            epoch = graph.epoch
        }
        return urgencyOf(job)
    }

    /** Walks by hand: a pipeline may be deeper than a stack. */
    private fun urgencyOf(job: JobId): Urgency? {
        val open = ArrayDeque(listOf(job))
        while (open.isNotEmpty()) {
            val next = open.last()
            val missing = graph.successors(next).filter { it !in known }
            if (next in known || missing.isEmpty()) {
                open.removeLast()
                if (next !in known) known[next] = combine(next)
            } else {
                open += missing
            }
        }
        return known[job]
    }

    private fun combine(job: JobId): Urgency? {
        val own = demandOf(job) ?: return null
        val behind = graph.successors(job).mapNotNull { known[it] }
        val due = (behind.mapNotNull { it.latestStartUs } + listOfNotNull(own.dueUs)).minOrNull()
        val priority = behind.minOfOrNull { it.priority } ?: own.priority
        return Urgency(minOf(own.priority, priority), due?.let { it - own.runUs })
    }
}
