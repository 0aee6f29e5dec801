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
 * Batches changes of jobs into few transactions: cancellations, outcomes of tasks, placements and the final records of cancelled
 * jobs. Event-loop thread only.
 */
internal class JobUpdateCycle(
    private val context: EngineContext,
    private val stateStore: StateStoreClient,
    private val shardClaims: ShardClaims,
    private val reconciler: Reconciler,
    private val scheduler: Scheduler,
    private val pendingRequests: PendingRequests,
    private val jobUpdateWriter: JobUpdateWriter,
) {
    private var nextCycleUs: Micros = 0

    /** Runs a cycle if the interval since the last one has passed and a transaction may be sent. */
    fun tick() {
        if (context.now < nextCycleUs || !jobUpdateWriter.canSend) return
        nextCycleUs = context.now + CYCLE_INTERVAL
        val drafts = LinkedHashMap<JobId, JobUpdate>()
        val draftOf: (JobId) -> JobUpdate? = { id -> drafts[id] ?: newDraft(id)?.also { drafts[id] = it } }
        draftCancellations(draftOf)
        reconciler.jobsToWrite().forEach { draftOf(it) }
        draftFinalRecords(draftOf)
        if (stateStore.isReachable) scheduler.schedule(jobUpdateWriter, drafts, draftOf)
        if (jobUpdateWriter.commit(drafts.values, scheduler.lacksWriteBudget)) scheduler.onPlacementsNotWritten()
    }

    /** A draft with all confirmed task states of the job; null if the job is unknown or must not be planned now. */
    private fun newDraft(id: JobId): JobUpdate? {
        val job = context.cache.job(id) ?: return null
        if (!jobUpdateWriter.isAvailable(id)) return null
        return JobUpdate(job, jobUpdateWriter.limits).also(reconciler::apply)
    }

    private fun draftCancellations(draftOf: (JobId) -> JobUpdate?) {
        for ((id, pending) in pendingRequests.cancellations) {
            if (pending.isInFlight || context.cache.job(id)?.stage != StoredStage.OPEN) continue
            draftOf(id)?.cancel()
        }
    }

    /**
     * Writes final records of cancelled jobs that have no task left, whose records would otherwise stay open forever. Uses only
     * writes that nothing else needs, because the cancellations themselves are already known.
     */
    private fun draftFinalRecords(draftOf: (JobId) -> JobUpdate?) {
        val writes = jobUpdateWriter.writeBudget() - RESERVED_WRITES
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
