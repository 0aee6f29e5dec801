package mintpick.engine.scheduling

import mintpick.core.AttemptId
import mintpick.core.MachineId
import mintpick.core.Micros
import mintpick.engine.runtime.EngineContext

/** When this controller first saw each assignment: the start of its protected window at the latest. */
internal class AssignmentAges(
    private val context: EngineContext,
) {
    private val firstSeenUs = HashMap<AttemptId, Micros>()
    private var cleanAboveEntries = MIN_ENTRIES_TO_CLEAN

    /** Notes what is assigned to the [touched] machines, and forgets assignments that are over once there are many. */
    fun observe(touched: Collection<MachineId>) {
        for (machine in touched) {
            for ((task, attempt) in context.cache.tasksOn(machine)) {
                firstSeenUs.putIfAbsent(AttemptId(task, attempt), context.now)
            }
        }
        if (firstSeenUs.size <= cleanAboveEntries) return
        firstSeenUs.keys.removeIf { !isAssigned(it) }
        cleanAboveEntries = maxOf(MIN_ENTRIES_TO_CLEAN, firstSeenUs.size * 2)
    }

    private fun isAssigned(attempt: AttemptId): Boolean {
        val job = context.cache.job(attempt.task.job) ?: return false
        return job.placement(attempt.task.index)?.attempt == attempt.attempt
    }

    /** When [attempt] was first seen; now if it is new. */
    fun sinceUs(attempt: AttemptId): Micros = firstSeenUs[attempt] ?: context.now

    /** For how long [attempt] has been assigned, as far as this controller has seen it. */
    fun ageUs(attempt: AttemptId): Micros = context.now - sinceUs(attempt)

    private companion object {
        const val MIN_ENTRIES_TO_CLEAN = 5_000
    }
}
