package mintpick.engine.jobs

import mintpick.core.Job
import mintpick.core.JobId
import mintpick.core.JobRecordInfo
import mintpick.engine.runtime.EngineContext
import mintpick.engine.state.RecordFormatNegotiator
import mintpick.engine.state.Write
import mintpick.engine.transactions.TransactionPart
import mintpick.store.Keys
import mintpick.store.RecordCodec
import mintpick.wire.Guard
import mintpick.wire.StoredStage

/** Builds the transaction parts that store the first records of submitted jobs. Event-loop thread only. */
internal class SubmissionPartBuilder(
    private val context: EngineContext,
    private val formats: RecordFormatNegotiator,
    private val specStorage: SpecStorage,
    private val pendingRequests: PendingRequests,
    private val availability: JobAvailability,
) {
    /** Parts that store the pending submissions that are not in flight, oldest first. */
    fun build(): List<TransactionPart> =
        pendingRequests.submissions
            .filter { (id, pending) -> !pending.isInFlight && availability.isAvailable(id) && !context.cache.isKnown(id) }
            .map { (id, pending) -> partOf(id, pending) }

    /** A part with the main record of a submission, or with pieces of its specification if they must be stored first. */
    private fun partOf(
        id: JobId,
        pending: PendingSubmission,
    ): TransactionPart {
        val submitted = Job(id, pending.spec, StoredStage.OPEN, context.wallClockUs, JobRecordInfo(version = 0), emptyMap())
        return specStorage.buildWithinValueLimit(submitted, submitted) { job -> mainRecord(job, pending) }
    }

    private fun mainRecord(
        job: Job,
        pending: PendingSubmission,
    ): TransactionPart {
        val key = Keys.job(job.id.text)
        return TransactionPart(
            job = job.id,
            guards = specStorage.pieceGuards(job) + Guard(key, 0),
            writes = listOf(Write(key, RecordCodec.jobJson(job, formats.current))),
            listener = pendingRequests.submissionListener(job.id, pending),
        )
    }
}
