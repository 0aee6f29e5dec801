package mintpick.dependencies

import it.unimi.dsi.fastutil.longs.Long2ObjectOpenHashMap
import it.unimi.dsi.fastutil.longs.LongArrayList
import mintpick.core.JobId
import mintpick.core.Micros
import mintpick.wire.PackedJobId
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
    /** By the number of the job ([PackedJobId]). */
    private val urgencies = Long2ObjectOpenHashMap<Urgency?>()
    private var cachedVersion = -1L

    /** The urgency of [job]; null if the job is unknown. */
    fun urgency(job: JobId): Urgency? {
        if (cachedVersion != graph.version) {
            urgencies.clear()
            cachedVersion = graph.version
        }
        val number = graph.numberOf(job)
        if (!urgencies.containsKey(number)) computeWithSuccessors(number)
        return urgencies[number]
    }

    /** Traverses depth-first with an explicit stack: recursion over a long chain of jobs would overflow the thread's stack. */
    private fun computeWithSuccessors(number: Long) {
        val stack = LongArrayList()
        stack.push(number)
        while (!stack.isEmpty) {
            val next = stack.topLong()
            val sizeBefore = stack.size
            if (!urgencies.containsKey(next)) pushMissing(next, stack)
            if (stack.size > sizeBefore) continue
            stack.popLong()
            if (!urgencies.containsKey(next)) urgencies.put(next, combine(next))
        }
    }

    private fun pushMissing(
        number: Long,
        stack: LongArrayList,
    ) {
        val successors = graph.successorsOf(number)
        for (index in 0 until successors.size) {
            val successor = successors.getLong(index)
            if (!urgencies.containsKey(successor)) stack.push(successor)
        }
    }

    private fun combine(number: Long): Urgency? {
        val own = requirementsOf(JobId(PackedJobId.unpack(number))) ?: return null
        var priority = own.priority
        var latestEndUs = own.deadlineUs
        val successors = graph.successorsOf(number)
        for (index in 0 until successors.size) {
            val urgency = urgencies[successors.getLong(index)] ?: continue
            priority = minOf(priority, urgency.priority)
            latestEndUs = listOfNotNull(latestEndUs, urgency.latestStartUs).minOrNull()
        }
        return Urgency(priority, latestEndUs?.let { it - own.expectedRunUs })
    }
}
