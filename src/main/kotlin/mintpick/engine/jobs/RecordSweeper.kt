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
 * Removes records that nothing refers to any more: specifications in separate records of jobs that are over, or whose
 * submission was never finished. Housekeeping only, which waits until there are writes to spare. Event-loop thread only.
 */
class RecordSweeper(
    private val context: EngineContext,
    private val stateStore: StateStoreClient,
    private val shardClaims: ShardClaims,
    private val pendingRequests: PendingRequests,
) {
    /** Since when each separate specification has been without an open job. */
    private val unusedSinceUs = HashMap<JobId, Micros>()
    private var nextSweepUs: Micros = 0
    private var isRemoving = false

    private val cache get() = context.cache

    /** Removes the records of at most one job. */
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

    /** A user who did not hear of the acceptance may submit the same job again for a minute. */
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
        // The job may have been stored by another controller at this moment: then nothing is removed.
        val guards = (keys + Keys.job(job.text)).map { Guard(it, cache.version(it)) }
        stateStore.transact(guards, keys.map { Write(it, null) }) { isRemoving = false }
    }

    private companion object {
        const val SWEEP_INTERVAL: Micros = 2 * SECOND
        const val FINAL_RETENTION: Micros = 2 * SECOND
        const val UNFINISHED_RETENTION: Micros = 120 * SECOND

        /** Writes that must be allowed beyond what others use before anything is removed. */
        const val MIN_SPARE_WRITES = 3
    }
}
