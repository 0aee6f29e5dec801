package mintpick.engine.agents

import mintpick.core.AttemptId
import mintpick.core.JobId
import mintpick.core.Resources
import mintpick.core.TaskId

/**
 * Proven outcomes of tasks on one machine that have not been written yet, so that the records still show the tasks there.
 *
 * Attempts are listed in the iteration order of the maps, which determines the order of changes in a transaction.
 */
class TaskOutcomes private constructor(
    private val completed: Map<TaskId, Int>,
    private val ended: Map<TaskId, Int>,
    /** Whether the machine is terminated. If it is not, the outcomes hold only while this controller controls the machine. */
    val isTerminated: Boolean,
    /** Resources of these attempts, which are free although the records still show them as used. */
    val freed: Resources,
) {
    /** Jobs with proven outcomes on the machine. */
    val jobs: Set<JobId> = (completed.keys + ended.keys).mapTo(LinkedHashSet()) { it.job }

    /** Whether there are no proven outcomes. */
    val isEmpty: Boolean get() = completed.isEmpty() && ended.isEmpty()

    /** Whether [attempt] has completed. */
    fun hasCompleted(attempt: AttemptId): Boolean = completed[attempt.task] == attempt.attempt

    /** Whether [attempt] does not run and never will, so that its task must be placed again. */
    fun hasEnded(attempt: AttemptId): Boolean = ended[attempt.task] == attempt.attempt

    /** Whether exactly these [tasks] are proven to have ended without completing. */
    fun hasEndedExactly(tasks: Set<TaskId>): Boolean = ended.keys == tasks

    /** Attempts of [job] that have completed. */
    fun completedOf(job: JobId): List<AttemptId> = attemptsOf(job, completed)

    /** Attempts of [job] that have ended without completing their tasks. */
    fun endedOf(job: JobId): List<AttemptId> = attemptsOf(job, ended)

    /** Number of tasks of [job] that have completed. */
    fun countCompleted(job: JobId): Int = completed.keys.count { it.job == job }

    /** Number of attempts of [job] that have ended without completing their tasks. */
    fun countEnded(job: JobId): Int = ended.keys.count { it.job == job }

    private fun attemptsOf(
        job: JobId,
        attempts: Map<TaskId, Int>,
    ): List<AttemptId> = attempts.filterKeys { it.job == job }.map { (task, attempt) -> AttemptId(task, attempt) }

    /** Collects the outcomes that are proven by the status of a machine. */
    class Builder {
        private val completed = HashMap<TaskId, Int>()
        private val ended = HashMap<TaskId, Int>()
        private var freed = Resources.ZERO

        /** Adds a completed [attempt] with the resource demand [demand]. */
        fun addCompleted(
            attempt: AttemptId,
            demand: Resources,
        ) {
            completed[attempt.task] = attempt.attempt
            freed += demand
        }

        /** Adds an [attempt] with the resource demand [demand] that has ended without completing its task. */
        fun addEnded(
            attempt: AttemptId,
            demand: Resources,
        ) {
            ended[attempt.task] = attempt.attempt
            freed += demand
        }

        /** Returns the outcomes that were added. */
        fun build(): TaskOutcomes = TaskOutcomes(completed, ended, isTerminated = false, freed)
    }

    companion object {
        /**
         * Outcomes for a machine that is terminated or whose agent's lease has expired: all [attempts] have ended. Their resources
         * are not freed, since the machine must not be given new work.
         */
        fun allEnded(
            attempts: List<AttemptId>,
            isTerminated: Boolean,
        ): TaskOutcomes {
            val ended = attempts.associateTo(LinkedHashMap()) { it.task to it.attempt }
            return TaskOutcomes(emptyMap(), ended, isTerminated, Resources.ZERO)
        }
    }
}
