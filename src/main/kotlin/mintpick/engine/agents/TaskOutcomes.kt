package mintpick.engine.agents

import mintpick.core.AttemptId
import mintpick.core.JobId
import mintpick.core.Resources
import mintpick.core.TaskId

/**
 * What is proven of the tasks that the records still show on one machine, until it is written.
 *
 * Attempts are listed in the order in which the maps were filled: it decides the order of changes within a transaction.
 */
class TaskOutcomes private constructor(
    private val completed: Map<TaskId, Int>,
    private val ended: Map<TaskId, Int>,
    /** The machine itself is terminated. Else what is proven holds only as long as this controller commands the machine. */
    val isTerminated: Boolean,
    /** Room of proven attempts, which the records still show as taken. */
    val freed: Resources,
) {
    /** Jobs of which something is proven here. */
    val jobs: Set<JobId> = (completed.keys + ended.keys).mapTo(LinkedHashSet()) { it.job }

    /** Whether nothing is proven. */
    val isEmpty: Boolean get() = completed.isEmpty() && ended.isEmpty()

    /** Whether [attempt] has completed. */
    fun hasCompleted(attempt: AttemptId): Boolean = completed[attempt.task] == attempt.attempt

    /** Whether [attempt] runs nowhere and never will, and its task has to be started again. */
    fun hasEnded(attempt: AttemptId): Boolean = ended[attempt.task] == attempt.attempt

    /** Whether just these [tasks] are proven to have ended. */
    fun hasEndedExactly(tasks: Set<TaskId>): Boolean = ended.keys == tasks

    /** Attempts of [job] that have completed. */
    fun completedOf(job: JobId): List<AttemptId> = attemptsOf(job, completed)

    /** Attempts of [job] that have ended without completing their tasks. */
    fun endedOf(job: JobId): List<AttemptId> = attemptsOf(job, ended)

    /** How many tasks of [job] have completed. */
    fun countCompleted(job: JobId): Int = completed.keys.count { it.job == job }

    /** How many attempts of [job] have ended without completing their tasks. */
    fun countEnded(job: JobId): Int = ended.keys.count { it.job == job }

    private fun attemptsOf(
        job: JobId,
        attempts: Map<TaskId, Int>,
    ): List<AttemptId> = attempts.filterKeys { it.job == job }.map { (task, attempt) -> AttemptId(task, attempt) }

    /** Collects the outcomes that a machine's reports prove. */
    class Builder {
        private val completed = HashMap<TaskId, Int>()
        private val ended = HashMap<TaskId, Int>()
        private var freed = Resources.ZERO

        /** Adds a completed [attempt] that took [demand]. */
        fun addCompleted(
            attempt: AttemptId,
            demand: Resources,
        ) {
            completed[attempt.task] = attempt.attempt
            freed += demand
        }

        /** Adds an [attempt] that took [demand] and has ended without completing its task. */
        fun addEnded(
            attempt: AttemptId,
            demand: Resources,
        ) {
            ended[attempt.task] = attempt.attempt
            freed += demand
        }

        /** The outcomes that were added. */
        fun build(): TaskOutcomes = TaskOutcomes(completed, ended, isTerminated = false, freed)
    }

    companion object {
        /** All [attempts] of a terminated machine, or of one whose lease has expired: their room is not to be used again. */
        fun allEnded(
            attempts: List<AttemptId>,
            isTerminated: Boolean,
        ): TaskOutcomes {
            val ended = attempts.associateTo(LinkedHashMap()) { it.task to it.attempt }
            return TaskOutcomes(emptyMap(), ended, isTerminated, Resources.ZERO)
        }
    }
}
