package mintpick.engine.jobs

import mintpick.core.JobId
import mintpick.core.MILLI
import mintpick.core.Micros
import mintpick.core.SECOND
import mintpick.engine.runtime.EngineContext
import mintpick.engine.runtime.ReplyTo
import mintpick.engine.state.StateStoreClient
import mintpick.engine.transactions.TransactionListener
import mintpick.wire.JobSpec
import mintpick.wire.JobStage
import mintpick.wire.StoredStage

/** A user request that has not been stored yet, with the reply handles of all users waiting for its answer. */
sealed class PendingRequest(
    /** When the first request was received, on the monotonic clock. */
    val receivedUs: Micros,
) {
    /** Reply handles, in the order in which the requests were received. */
    val replies = ArrayList<ReplyTo>()

    /** Whether a transaction that stores the request is in flight. */
    var isInFlight = false
}

/** A submission that has not been stored yet. */
class PendingSubmission(
    /** The specification that was submitted first under this id. */
    val spec: JobSpec,
    /** Estimated memory of the job, in bytes. */
    val memoryBytes: Long,
    receivedUs: Micros,
) : PendingRequest(receivedUs)

/** A cancellation that has not been stored yet. */
class PendingCancellation(
    receivedUs: Micros,
) : PendingRequest(receivedUs)

/** Submissions and cancellations that have not been stored yet. Each request is answered exactly once. Event-loop thread only. */
class PendingRequests(
    private val context: EngineContext,
    private val stateStore: StateStoreClient,
    private val answers: JobAnswers,
) {
    private val submissionsById = LinkedHashMap<JobId, PendingSubmission>()
    private val cancellationsById = LinkedHashMap<JobId, PendingCancellation>()
    private val cache get() = context.cache

    /** Pending submissions by job, oldest first. */
    val submissions: Map<JobId, PendingSubmission> get() = submissionsById

    /** Pending cancellations by job, oldest first. */
    val cancellations: Map<JobId, PendingCancellation> get() = cancellationsById

    /**
     * Number of submissions that can be stored before they time out. Further submissions are refused immediately, because
     * they could not be answered in time.
     */
    private val maxSubmissions =
        maxOf(MIN_SUBMISSIONS, (context.settings.limits.writeRps / (context.settings.peers.size + 1) * MAX_QUEUE_S).toInt())

    /** Whether a further submission could not be stored in time. */
    val isFull: Boolean get() = submissionsById.size >= maxSubmissions

    /** Estimated memory of the jobs that are not stored yet, in bytes. */
    val submissionBytes: Long get() = submissionsById.values.sumOf { it.memoryBytes }

    /**
     * Adds a submission of a job that needs about [memoryBytes] bytes of memory. A repeated submission is stored and answered together
     * with the first one.
     */
    fun addSubmission(
        spec: JobSpec,
        memoryBytes: Long,
        reply: ReplyTo,
    ) {
        submissionsById.getOrPut(JobId(spec.id)) { PendingSubmission(spec, memoryBytes, context.now) }.replies += reply
    }

    /** Adds a cancellation. A repeated cancellation is stored and answered together with the first one. */
    fun addCancellation(
        id: JobId,
        reply: ReplyTo,
    ) {
        cancellationsById.getOrPut(id) { PendingCancellation(context.now) }.replies += reply
    }

    /**
     * Answers requests whose result is already in the cached records. Refuses requests that have waited too long, and all
     * other requests while the state store is unreachable. Requests in flight stay pending.
     */
    fun answerDecidedOrExpired() {
        answerDecidedOrExpired(submissionsById) { id -> cache.isKnown(id) }
        answerDecidedOrExpired(cancellationsById) { id -> cache.finalJob(id) != null || cache.job(id)?.stage == StoredStage.CANCELLED }
    }

    /** Answers the submission of [id], which has been stored: with 201 for the first request and 200 for repeated ones. */
    fun onSubmissionStored(id: JobId) {
        // The write may be answered after the watch has already delivered later changes of the job.
        val stage = answers.stage(id) ?: JobStage.QUEUED
        submissionsById.remove(id)?.replies?.forEachIndexed { index, reply ->
            val status = if (index == 0) HttpStatus.CREATED else HttpStatus.OK
            answers.sendStage(id, stage, reply, status)
        }
    }

    /** Answers the cancellation of [id], which has been stored. */
    fun onCancellationStored(id: JobId) {
        cancellationsById.remove(id)?.replies?.forEach { answers.sendStage(id, JobStage.CANCELLED, it) }
    }

    /** Creates the listener of a transaction that stores [pending], the submission of [id]. */
    internal fun submissionListener(
        id: JobId,
        pending: PendingSubmission,
    ): TransactionListener = InFlightListener({ pending }) { onSubmissionStored(id) }

    /**
     * Creates the listener of a transaction that stores the cancellation of [id]. It looks the request up on each
     * notification, because the user's request may arrive after the transaction has been sent.
     */
    internal fun cancellationListener(id: JobId): TransactionListener =
        InFlightListener({ cancellationsById[id] }) { onCancellationStored(id) }

    private class InFlightListener(
        private val pending: () -> PendingRequest?,
        private val answer: () -> Unit,
    ) : TransactionListener {
        override fun onSent() {
            pending()?.isInFlight = true
        }

        override fun onCommitted() = answer()

        override fun onNotConfirmed() {
            pending()?.isInFlight = false
        }
    }

    private inline fun <R : PendingRequest> answerDecidedOrExpired(
        requests: LinkedHashMap<JobId, R>,
        isDecided: (JobId) -> Boolean,
    ) {
        val entries = requests.entries.iterator()
        while (entries.hasNext()) {
            val (id, request) = entries.next()
            if (request.isInFlight) continue
            if (isDecided(id)) {
                request.replies.forEach { answers.sendCurrentStage(id, it) }
                entries.remove()
            } else if (!stateStore.isReachable || context.now - request.receivedUs > MAX_WAIT) {
                request.replies.forEach { context.send(it, answers.unavailable("could not be stored in time")) }
                entries.remove()
            }
        }
    }

    private companion object {
        const val MIN_SUBMISSIONS = 8

        /** Maximum length of the submission queue, as the number of seconds needed to write it. */
        const val MAX_QUEUE_S = 2.5

        /** Shorter than the users' own timeout, so that they receive the refusal. */
        const val MAX_WAIT: Micros = 3 * SECOND + 500 * MILLI
    }
}
