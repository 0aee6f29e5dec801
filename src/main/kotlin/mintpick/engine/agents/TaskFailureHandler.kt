package mintpick.engine.agents

import mintpick.core.AttemptId
import mintpick.core.FailureTracker
import mintpick.core.Job
import mintpick.core.JobId
import mintpick.core.MachineId
import mintpick.core.MachineView
import mintpick.core.Micros
import mintpick.core.SECOND
import mintpick.engine.runtime.EngineContext
import mintpick.wire.ExitCause
import mintpick.wire.StoredStage
import mintpick.wire.TaskState
import org.slf4j.LoggerFactory

/** Counts and logs tasks that end with an error and starts that agents refuse. Event-loop thread only. */
class TaskFailureHandler(
    private val context: EngineContext,
) {
    /** Jobs and machines that are considered faulty because of tasks that ended with an error. */
    val failures = FailureTracker()

    /** When each replica was first seen running; only for services that have failed before. */
    private val runningSinceUs = HashMap<AttemptId, Micros>()

    /** Until when no task is placed on each machine whose agent has refused a start. */
    private val startsRefusedUntilUs = HashMap<MachineId, Micros>()

    private val cache get() = context.cache

    /** Whether the agent of [machine] has not refused a start recently. */
    fun acceptsStarts(machine: MachineId): Boolean = context.now >= (startsRefusedUntilUs[machine] ?: 0)

    /** Must be called when a task of [job] has completed on [machine]. */
    fun onCompleted(
        machine: MachineId,
        job: JobId,
    ) = failures.recordSuccess(machine, job)

    /** Must be called when [attempt] of [job] has ended on [machine]; [cause] is null if the agent does not know the attempt. */
    fun onEnded(
        machine: MachineId,
        attempt: AttemptId,
        job: Job,
        cause: ExitCause?,
    ) {
        when (cause) {
            ExitCause.ERROR -> onError(machine, attempt, job)
            ExitCause.NO_ROOM, ExitCause.BUSY, ExitCause.UNKNOWN -> {
                startsRefusedUntilUs[machine] = context.now + REFUSED_START_BACKOFF
                LOG.debug("start refused task={} machine={} cause={}", attempt.task, machine.text, cause)
            }
            else -> Unit
        }
    }

    /**
     * Records that the service replica [attempt] is listed in the newest status of its machine. Services never complete, so a
     * replica that has run for [STABLE_RUN_TIME] counts as a success of its job.
     */
    fun onReplicaObserved(
        view: MachineView,
        attempt: AttemptId,
    ) {
        if (!failures.hasFailed(attempt.task.job)) return
        if (view.taskReport(attempt)?.state != TaskState.RUNNING) return
        val sinceUs = runningSinceUs.getOrPut(attempt) { context.now }
        if (context.now - sinceUs > STABLE_RUN_TIME) failures.recordSuccess(view.id, attempt.task.job)
    }

    /** Removes the state of jobs that are no longer open, machines that are no longer listed and replicas that are no longer placed. */
    fun forgetFinished() {
        failures.retain({ cache.job(it)?.stage == StoredStage.OPEN }, { it in cache.machines })
        runningSinceUs.keys.removeIf { cache.job(it.task.job)?.placement(it.task.index)?.attempt != it.attempt }
    }

    /**
     * Counts an error. Above the debug level it logs only the job's first error and that the job is faulty, because a failing
     * array job would otherwise flood the log.
     */
    private fun onError(
        machine: MachineId,
        attempt: AttemptId,
        job: Job,
    ) {
        val isFirst = !failures.hasFailed(job.id)
        val wasFaulty = failures.isFaulty(job.id)
        failures.recordFailure(machine, job.id, hasSucceeded = job.doneCount > 0, context.now)
        if (isFirst) LOG.info("task failed task={} attempt={} machine={}", attempt.task, attempt.attempt, machine.text)
        LOG.debug("task failed task={} attempt={} machine={}", attempt.task, attempt.attempt, machine.text)
        if (!wasFaulty && failures.isFaulty(job.id)) {
            LOG.warn("job fails on every machine job={} team={} class={}", job.id.text, job.spec.team, job.spec.jobClass)
        }
    }

    private companion object {
        val LOG = LoggerFactory.getLogger(TaskFailureHandler::class.java)

        /** Running time after which a replica counts as started successfully. */
        const val STABLE_RUN_TIME: Micros = 30 * SECOND

        /** How long no task is placed on a machine after its agent has refused a start. */
        const val REFUSED_START_BACKOFF: Micros = SECOND
    }
}
