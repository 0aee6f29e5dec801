package mintpick.engine.jobs

import mintpick.core.Job
import mintpick.core.JobId
import mintpick.core.Micros
import mintpick.core.SECOND
import mintpick.engine.membership.ShardClaims
import mintpick.engine.runtime.EngineContext
import mintpick.wire.StoredStage

/**
 * Selects the jobs that have ended without a final record and whose final record this controller should write. The guard of the main
 * record makes that happen once, whichever controllers try. Event-loop thread only.
 */
class FinalRecordPolicy(
    private val context: EngineContext,
    private val shardClaims: ShardClaims,
) {
    /** Since when each open job has been known to have all tasks done. */
    private val doneSinceUs = HashMap<JobId, Micros>()

    /**
     * Open jobs whose tasks are all done and that this controller should end now: those that it is the first to place, and those that
     * no other controller has ended within [TAKEOVER_DELAY], because it can't write or runs a version that does not look for them.
     */
    fun doneJobs(): List<JobId> {
        val done = endedJobs(StoredStage.OPEN).mapTo(HashSet()) { it.id }
        doneSinceUs.keys.retainAll(done)
        return done.filter(::isDue)
    }

    /**
     * Cancelled jobs without placed tasks that this controller is the first to place. Their cancellation is already known. Placements
     * that were stored before the cancellation must have been read.
     */
    fun cancelledJobs(): Sequence<JobId> =
        endedJobs(StoredStage.CANCELLED)
            .filter { context.cache.hasReadUpTo(it.version) }
            .map { it.id }
            .filter(::isPreferred)

    private fun endedJobs(stage: StoredStage): Sequence<Job> = context.cache.finalizableJobs().filter { it.stage == stage }

    private fun isDue(job: JobId): Boolean {
        val sinceUs = doneSinceUs.getOrPut(job) { context.now }
        return isPreferred(job) || context.now - sinceUs >= TAKEOVER_DELAY
    }

    private fun isPreferred(job: JobId): Boolean = shardClaims.preferredController(job) == context.self

    private companion object {
        const val TAKEOVER_DELAY: Micros = 2 * SECOND
    }
}
