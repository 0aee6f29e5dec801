package mintpick.engine.scheduling

import mintpick.core.AttemptId
import mintpick.core.MachineId
import mintpick.core.Micros
import mintpick.engine.runtime.EngineContext

/** Records when this controller first saw each placement of a task. The protected minimum runtime started then or earlier. */
internal class PlacementAges(
    private val context: EngineContext,
) {
    private val firstSeenByAttempt = HashMap<AttemptId, Micros>()
    private var cleanupThreshold = MIN_CLEANUP_THRESHOLD

    /** Records the placements on [changedMachines]. Removes placements that have ended if there are many entries. */
    fun observe(changedMachines: Collection<MachineId>) {
        for (machine in changedMachines) {
            for ((task, attempt) in context.cache.tasksOn(machine)) {
                firstSeenByAttempt.putIfAbsent(AttemptId(task, attempt), context.now)
            }
        }
        if (firstSeenByAttempt.size <= cleanupThreshold) return
        firstSeenByAttempt.keys.removeIf { !isPlaced(it) }
        cleanupThreshold = maxOf(MIN_CLEANUP_THRESHOLD, firstSeenByAttempt.size * 2)
    }

    private fun isPlaced(attempt: AttemptId): Boolean {
        val job = context.cache.job(attempt.task.job) ?: return false
        return job.placement(attempt.task.index)?.attempt == attempt.attempt
    }

    /** When [attempt] was first seen; the current time if it has not been seen before. */
    fun firstSeenUs(attempt: AttemptId): Micros = firstSeenByAttempt[attempt] ?: context.now

    /** Time since this controller first saw [attempt] placed. */
    fun ageUs(attempt: AttemptId): Micros = context.now - firstSeenUs(attempt)

    private companion object {
        const val MIN_CLEANUP_THRESHOLD = 5_000
    }
}
