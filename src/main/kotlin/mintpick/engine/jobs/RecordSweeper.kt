package mintpick.engine.jobs

import mintpick.core.JobId
import mintpick.core.Micros
import mintpick.core.SECOND
import mintpick.engine.membership.ShardClaims
import mintpick.engine.runtime.EngineContext
import mintpick.engine.state.StateStoreClient
import mintpick.engine.state.Write
import mintpick.store.Keys
import mintpick.wire.Guard

/**
 * Deletes records that are no longer referenced: separately stored specifications of jobs that have ended or whose
 * submission was never completed. Has low priority and runs only when writes are left over. Event-loop thread only.
 */
class RecordSweeper(
    private val context: EngineContext,
    private val stateStore: StateStoreClient,
    private val shardClaims: ShardClaims,
    private val pendingRequests: PendingRequests,
) {
    /** When each separately stored specification was first seen without an open job. */
    private val unusedSinceUs = HashMap<JobId, Micros>()
    private var nextSweepUs: Micros = 0
    private var isRemoving = false

    private val cache get() = context.cache

    /** Deletes unused records of at most one job, if a sweep is due. */
    fun tick() {
        if (!stateStore.isServing || !stateStore.isReachable || context.now < nextSweepUs) return
        nextSweepUs = context.now + SWEEP_INTERVAL
        trackUnused()
        unusedSinceUs.keys.firstOrNull(::isDue)?.let(::remove)
    }

    private fun trackUnused() {
        val unused = cache.jobsWithSpecPieces.filter { cache.job(it) == null && it !in pendingRequests.submissions }.toSet()
        unusedSinceUs.keys.retainAll(unused)
        unused.forEach { unusedSinceUs.putIfAbsent(it, context.now) }
    }

    private fun isDue(job: JobId): Boolean {
        val sinceUs = unusedSinceUs[job] ?: return false
        return context.now - sinceUs > retention(job) && shardClaims.preferredController(job) == context.self
    }

    /**
     * How long the specification of [job] is kept while it is unused. A user who did not receive the answer to a submission
     * may repeat the submission for up to a minute.
     */
    private fun retention(job: JobId): Micros = if (cache.finalJob(job) == null) UNFINISHED_RETENTION else FINAL_RETENTION

    private fun remove(job: JobId) {
        if (isRemoving || stateStore.writesAllowed() < MIN_SPARE_WRITES) return
        val keys =
            cache
                .specPieceNumbers(job)
                .sortedDescending()
                .take(context.settings.limits.transactionOps)
                .map { Keys.spec(job.text, it) }
        isRemoving = true
        // Another controller may be storing the job at the same time: then the guards fail and nothing is deleted.
        val guards = (keys + Keys.job(job.text)).map { Guard(it, cache.version(it)) }
        stateStore.transact(guards, keys.map { Write(it, null) }) { isRemoving = false }
    }

    private companion object {
        const val SWEEP_INTERVAL: Micros = 2 * SECOND
        const val FINAL_RETENTION: Micros = 2 * SECOND
        const val UNFINISHED_RETENTION: Micros = 120 * SECOND

        /** Number of writes that other components must have left unused before records are deleted. */
        const val MIN_SPARE_WRITES = 3
    }
}
