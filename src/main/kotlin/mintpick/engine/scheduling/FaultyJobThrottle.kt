package mintpick.engine.scheduling

import mintpick.core.FailureTracker
import mintpick.core.Job
import mintpick.core.JobId
import mintpick.core.isService
import mintpick.engine.agents.Reconciler
import mintpick.engine.membership.ControllerHealth
import mintpick.engine.membership.ShardClaims
import mintpick.engine.runtime.EngineContext

/** Holds back jobs that fail wherever they run, as any controller has found. Event-loop thread only. */
class FaultyJobThrottle(
    private val context: EngineContext,
    private val shardClaims: ShardClaims,
    private val reconciler: Reconciler,
    private val health: ControllerHealth,
) {
    /** Whether the backoff of [job] after its last failure is over; true if none of its tasks failed. */
    fun mayRetry(job: JobId): Boolean = reconciler.mayRetry(job)

    /** How many of the waiting tasks of [job] may start now: of a faulty one a single probe, at its preferred controller. */
    fun startableTasks(job: Job): Int {
        if (!isFaulty(job)) return job.waiting
        val preferred = shardClaims.preferredController(job.id)
        val probesHere = preferred == context.self || preferred == null
        return if (probesHere) FailureTracker.probes(job.waiting, job.placed) else 0
    }

    /**
     * Whether any controller has found that [job] fails wherever it runs, and none of its tasks has completed since. Services
     * never complete: of them only the controller itself knows when they have recovered.
     */
    fun isFaulty(job: Job): Boolean {
        if (job.done > 0) return false
        if (reconciler.failures.isFaulty(job.id)) return true
        return !job.spec.isService && health.isFaultyElsewhere(job.id)
    }
}
