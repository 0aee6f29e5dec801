package mintpick.engine.scheduling

import mintpick.core.FailureTracker
import mintpick.core.Job
import mintpick.core.JobId
import mintpick.core.Micros
import mintpick.core.SECOND
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
    private val recordAges = JobRecordAges(context)

    /**
     * Must be called for each waiting job in each pass. A replica that stays placed without a change of its job's record runs: a faulty
     * service of which one does, on whichever controller's machine, is no longer faulty.
     */
    fun observe(job: Job) {
        if (!job.spec.isService || job.placedCount == 0 || !reconciler.failures.isFaulty(job.id)) return
        if (recordAges.observe(job) < RECOVERY_PERIOD) return
        reconciler.failures.forget(job.id)
        recordAges.retain(reconciler.failures.faultyJobs().toSet())
    }

    /** Whether the backoff after the last failure of [job] is over; true if none of its tasks failed. */
    fun mayRetry(job: JobId): Boolean = reconciler.mayRetry(job)

    /**
     * Number of waiting tasks of [job] that may start now. A faulty job may only run one trial task, on its preferred controller; on
     * another one if the preferred controller may lack the capacity, since no machines are rented for faulty jobs.
     */
    fun startableTasks(job: Job): Int {
        if (!isFaulty(job)) return job.waitingCount
        val preferred = shardClaims.preferredController(job.id)
        val runsTrialHere = preferred == context.self || preferred == null || health.mayLackCapacity(preferred)
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

    private companion object {
        /** Longer than a replica runs before it counts as stable, and than a failure takes to be stored. */
        const val RECOVERY_PERIOD: Micros = 45 * SECOND
    }
}
