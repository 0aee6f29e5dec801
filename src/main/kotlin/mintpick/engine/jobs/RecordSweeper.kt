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
 * Removes records that nothing refers to any more: specifications kept apart from the main records of jobs that are over,
 * or whose submission was never finished. Housekeeping only, which waits until there are writes to spare.
 */
class RecordSweeper(
    private val context: EngineContext,
    private val stateStore: StateStoreClient,
    private val shardClaims: ShardClaims,
    private val userRequests: UserRequests,
) {
    /** Since when each specification has been without an open job. */
    private val unusedSince = HashMap<JobId, Micros>()
    private var nextUs: Micros = 0
    private var busy = false

    private val cache get() = context.cache

    fun tick() {
        if (!stateStore.serving || !stateStore.reachable || context.now < nextUs) return
        nextUs = context.now + EVERY
        val unused = cache.specsApart.filter { cache.job(it) == null && it !in userRequests.submissions }.toSet()
        unusedSince.keys.retainAll(unused)
        unused.forEach { unusedSince.putIfAbsent(it, context.now) }
        val due =
            unusedSince
                .filter { (id, since) ->
                    context.now - since > patience(id) &&
                        shardClaims.preferredController(id) == context.me
                }.keys
        due.firstOrNull()?.let(::remove)
    }

    /** A user who was not told of the acceptance may submit the same job again for a minute. */
    private fun patience(job: JobId): Micros = if (cache.final(job) == null) UNFINISHED else EVERY

    private fun remove(job: JobId) {
        if (busy || stateStore.writesAllowed() < SPARE_WRITES) return
        val keys =
            cache
                .specPiecesOf(job)
                .sortedDescending()
                .take(context.settings.limits.transactionOps)
                .map { Keys.spec(job.text, it) }
        busy = true
        // The job may have been stored by another controller at this moment: then nothing is removed.
        val guards = (keys + Keys.job(job.text)).map { Guard(it, cache.version(it)) }
        stateStore.transact(guards, keys.map { Write(it, null) }) { busy = false }
    }

    private companion object {
        const val EVERY: Micros = 2 * SECOND
        const val UNFINISHED: Micros = 120 * SECOND
        const val SPARE_WRITES = 3
    }
}
