package mintpick.engine

import mintpick.core.JobId
import mintpick.core.MILLI
import mintpick.core.Micros
import mintpick.engine.agents.Reconciler
import mintpick.engine.jobs.FinalRecordPolicy
import mintpick.engine.jobs.JobUpdateWriter
import mintpick.engine.jobs.PendingRequests
import mintpick.engine.runtime.EngineContext
import mintpick.engine.scheduling.Scheduler
import mintpick.engine.state.StateStoreClient
import mintpick.engine.transactions.JobUpdate
import mintpick.wire.StoredStage

/**
 * Batches changes of jobs into few transactions: cancellations, outcomes of tasks, placements and the final records of jobs
 * that have ended. Event-loop thread only.
 */
internal class JobUpdateCycle(
    private val context: EngineContext,
    private val stateStore: StateStoreClient,
    private val reconciler: Reconciler,
    private val scheduler: Scheduler,
    private val pendingRequests: PendingRequests,
    private val jobUpdateWriter: JobUpdateWriter,
    private val finalRecordPolicy: FinalRecordPolicy,
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
     * Writes final records of jobs that have ended, whose records would otherwise stay open forever. Those of cancelled jobs use only
     * writes that nothing else needs, because the cancellations themselves are already known.
     */
    private fun draftFinalRecords(draftOf: (JobId) -> JobUpdate?) {
        finalRecordPolicy.doneJobs().forEach { draftOf(it)?.writeFinalRecord() }
        val writes = jobUpdateWriter.writeBudget() - RESERVED_WRITES
        if (writes <= 0) return
        val cancelled = finalRecordPolicy.cancelledJobs().take(minOf(writes, MAX_FINAL_RECORDS)).toList()
        cancelled.forEach { draftOf(it)?.writeFinalRecord() }
    }

    private companion object {
        const val RESERVED_WRITES = 2
        const val MAX_FINAL_RECORDS = 2
        const val CYCLE_INTERVAL: Micros = 40 * MILLI
    }
}
