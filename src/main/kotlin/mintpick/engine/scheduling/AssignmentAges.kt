package mintpick.engine.scheduling

import mintpick.core.AttemptId
import mintpick.core.MachineId
import mintpick.core.Micros
import mintpick.engine.runtime.EngineContext

/** When this controller first saw each assignment: the start of its protected window at the latest. */
internal class AssignmentAges(
    private val context: EngineContext,
) {
    private val firstSeenByAttempt = HashMap<AttemptId, Micros>()
    private var cleanupThreshold = MIN_CLEANUP_THRESHOLD

    /** Notes what is assigned to the [changedMachines] machines, and forgets assignments that are over once there are many. */
    fun observe(changedMachines: Collection<MachineId>) {
        for (machine in changedMachines) {
            for ((task, attempt) in context.cache.tasksOn(machine)) {
                firstSeenByAttempt.putIfAbsent(AttemptId(task, attempt), context.now)
            }
        }
        if (firstSeenByAttempt.size <= cleanupThreshold) return
        firstSeenByAttempt.keys.removeIf { !isAssigned(it) }
        cleanupThreshold = maxOf(MIN_CLEANUP_THRESHOLD, firstSeenByAttempt.size * 2)
    }

    private fun isAssigned(attempt: AttemptId): Boolean {
        val job = context.cache.job(attempt.task.job) ?: return false
        return job.placement(attempt.task.index)?.attempt == attempt.attempt
    }

    /** When [attempt] was first seen; now if it is new. */
    fun firstSeenUs(attempt: AttemptId): Micros = firstSeenByAttempt[attempt] ?: context.now

    /** For how long [attempt] has been assigned, as far as this controller has seen it. */
    fun ageUs(attempt: AttemptId): Micros = context.now - firstSeenUs(attempt)

    private companion object {
        const val MIN_CLEANUP_THRESHOLD = 5_000
    }
}
