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

/** Counts tasks that end with an error and starts that workers refuse, and logs them. Event-loop thread only. */
class TaskFailureHandler(
    private val context: EngineContext,
) {
    /** Which jobs and machines are at fault for tasks that end with an error. */
    val failures = FailureTracker()

    /** Since when replicas of services that have failed before have been running. */
    private val runningSinceUs = HashMap<AttemptId, Micros>()

    /** Until when machines whose workers refused a start get no other one. */
    private val startsRefusedUntilUs = HashMap<MachineId, Micros>()

    private val cache get() = context.cache

    /** Whether no worker's refusal of a start on [machine] is recent. */
    fun acceptsStarts(machine: MachineId): Boolean = context.now >= (startsRefusedUntilUs[machine] ?: 0)

    /** A task of [job] has completed on [machine]. */
    fun onCompleted(
        machine: MachineId,
        job: JobId,
    ) = failures.succeeded(machine, job)

    /** [attempt] of [job] has ended on [machine]; [cause] is null if its worker does not know it. */
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

    /** A service never completes: a replica that goes on running shows that its job is not at fault. */
    fun onReplicaObserved(
        view: MachineView,
        attempt: AttemptId,
    ) {
        if (!failures.hasFailed(attempt.task.job)) return
        if (view.state(attempt)?.state != TaskState.RUNNING) return
        val sinceUs = runningSinceUs.getOrPut(attempt) { context.now }
        if (context.now - sinceUs > STABLE_RUN_TIME) failures.succeeded(view.id, attempt.task.job)
    }

    /** Forgets jobs that are no longer open, machines that are no longer listed and replicas that are no longer placed. */
    fun forgetFinished() {
        failures.retain({ cache.job(it)?.stage == StoredStage.OPEN }, { it in cache.machines })
        runningSinceUs.keys.removeIf { cache.job(it.task.job)?.placement(it.task.index)?.attempt != it.attempt }
    }

    /** One line for each job and one when it is found faulty: an array that fails whole must not flood the log. */
    private fun onError(
        machine: MachineId,
        attempt: AttemptId,
        job: Job,
    ) {
        val isFirst = !failures.hasFailed(job.id)
        val wasFaulty = failures.isFaulty(job.id)
        failures.failed(machine, job.id, hasSucceeded = job.done > 0, context.now)
        if (isFirst) LOG.info("task failed task={} attempt={} machine={}", attempt.task, attempt.attempt, machine.text)
        LOG.debug("task failed task={} attempt={} machine={}", attempt.task, attempt.attempt, machine.text)
        if (!wasFaulty && failures.isFaulty(job.id)) {
            LOG.warn("job fails on every machine job={} team={} class={}", job.id.text, job.spec.team, job.spec.jobClass)
        }
    }

    private companion object {
        val LOG = LoggerFactory.getLogger(TaskFailureHandler::class.java)

        /** A replica that has been running for so long does not fail at its start. */
        const val STABLE_RUN_TIME: Micros = 30 * SECOND

        /** How long a machine gets nothing to start after its worker has refused a start. */
        const val REFUSED_START_BACKOFF: Micros = SECOND
    }
}
