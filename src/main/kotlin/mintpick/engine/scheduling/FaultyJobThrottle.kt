package mintpick.engine.scheduling

import mintpick.core.FailureTracker
import mintpick.core.Job
import mintpick.core.JobId
import mintpick.core.isService
import mintpick.engine.agents.Reconciler
import mintpick.engine.membership.ControllerHealth
import mintpick.engine.membership.ShardClaims
import mintpick.engine.runtime.EngineContext

/** Limits starts of jobs that fail on every machine, as found by this controller or a peer. Event-loop thread only. */
class FaultyJobThrottle(
    private val context: EngineContext,
    private val shardClaims: ShardClaims,
    private val reconciler: Reconciler,
    private val health: ControllerHealth,
) {
    /** Whether the backoff after the last failure of [job] is over; true if none of its tasks failed. */
    fun mayRetry(job: JobId): Boolean = reconciler.mayRetry(job)

    /** Number of waiting tasks of [job] that may start now. A faulty job may only run one trial task, on its preferred controller. */
    fun startableTasks(job: Job): Int {
        if (!isFaulty(job)) return job.waitingCount
        val preferred = shardClaims.preferredController(job.id)
        val runsTrialHere = preferred == context.self || preferred == null
        return if (runsTrialHere) FailureTracker.startableTasks(job.waitingCount, job.placedCount) else 0
    }

    /**
     * Whether any controller has found that [job] fails on every machine, and none of its tasks has completed. Tasks of services
     * never complete, and only the controller that found a service faulty learns of its recovery. Peers' findings about services
     * are therefore ignored.
     */
    fun isFaulty(job: Job): Boolean {
        if (job.doneCount > 0) return false
        if (reconciler.failures.isFaulty(job.id)) return true
        return !job.spec.isService && health.isFaultyElsewhere(job.id)
    }
}
