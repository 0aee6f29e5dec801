package mintpick.engine

import mintpick.core.JobId
import mintpick.core.MILLI
import mintpick.core.Micros
import mintpick.engine.agents.Reconciler
import mintpick.engine.jobs.JobUpdateWriter
import mintpick.engine.jobs.PendingRequests
import mintpick.engine.membership.ShardClaims
import mintpick.engine.runtime.EngineContext
import mintpick.engine.scheduling.Scheduler
import mintpick.engine.state.StateStoreClient
import mintpick.engine.transactions.JobUpdate
import mintpick.wire.StoredStage

/**
 * Gathers what has become of jobs within a moment into few transactions: cancellations, outcomes of tasks, placements and the
 * final records of cancelled jobs. Event-loop thread only.
 */
internal class JobUpdateCycle(
    private val context: EngineContext,
    private val stateStore: StateStoreClient,
    private val shardClaims: ShardClaims,
    private val reconciler: Reconciler,
    private val scheduler: Scheduler,
    private val pendingRequests: PendingRequests,
    private val jobUpdates: JobUpdateWriter,
) {
    private var nextCycleUs: Micros = 0

    /** Runs a cycle if the last one is long enough ago and a transaction may leave. */
    fun tick() {
        if (context.now < nextCycleUs || !jobUpdates.canSend) return
        nextCycleUs = context.now + CYCLE_INTERVAL
        val drafts = LinkedHashMap<JobId, JobUpdate>()
        val draftOf: (JobId) -> JobUpdate? = { id -> drafts[id] ?: newDraft(id)?.also { drafts[id] = it } }
        draftCancellations(draftOf)
        reconciler.jobsToWrite().forEach { draftOf(it) }
        draftFinalRecords(draftOf)
        if (stateStore.isReachable) scheduler.schedule(jobUpdates, drafts, draftOf)
        if (jobUpdates.commit(drafts.values, scheduler.lacksWriteBudget)) scheduler.onPlacementsNotWritten()
    }

    /** A draft that holds all that is proven of the job; null if it is unknown or a transaction with it is under way. */
    private fun newDraft(id: JobId): JobUpdate? {
        val job = context.cache.job(id) ?: return null
        if (!jobUpdates.isAvailable(id)) return null
        return JobUpdate(job, jobUpdates.limits).also(reconciler::apply)
    }

    private fun draftCancellations(draftOf: (JobId) -> JobUpdate?) {
        for ((id, pending) in pendingRequests.cancellations) {
            if (pending.isInFlight || context.cache.job(id)?.stage != StoredStage.OPEN) continue
            draftOf(id)?.cancel()
        }
    }

    /**
     * Cancelled jobs without a task left get final records, so that they are not kept open for ever. Only housekeeping, which
     * waits until nothing else needs the writes: that they are cancelled is known anyway.
     */
    private fun draftFinalRecords(draftOf: (JobId) -> JobUpdate?) {
        val writes = jobUpdates.writeBudget() - RESERVED_WRITES
        if (writes <= 0) return
        val own = context.cache.finalizableJobs().filter { shardClaims.preferredController(it.id) == context.self }
        own.take(minOf(writes, MAX_FINAL_RECORDS)).toList().forEach { draftOf(it.id)?.writeFinalRecord() }
    }

    private companion object {
        const val RESERVED_WRITES = 2
        const val MAX_FINAL_RECORDS = 2
        const val CYCLE_INTERVAL: Micros = 40 * MILLI
    }
}
