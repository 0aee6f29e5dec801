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

/** A request that waits to be stored, with all who wait for its answer. */
sealed class PendingRequest(
    /** When the first of its users asked. */
    val receivedUs: Micros,
) {
    /** Who waits for the answer, in the order in which they asked. */
    val replies = ArrayList<ReplyTo>()

    /** Whether a transaction that stores it is in flight. */
    var isInFlight = false
}

/** A submission that waits to be stored. */
class PendingSubmission(
    /** What was submitted first under its id. */
    val spec: JobSpec,
    receivedUs: Micros,
) : PendingRequest(receivedUs)

/** A cancellation that waits to be stored. */
class PendingCancellation(
    receivedUs: Micros,
) : PendingRequest(receivedUs)

/** The users' requests that wait to be stored, until each is answered once. Event-loop thread only. */
class PendingRequests(
    private val context: EngineContext,
    private val stateStore: StateStoreClient,
    private val answers: JobAnswers,
) {
    private val submissionsById = LinkedHashMap<JobId, PendingSubmission>()
    private val cancellationsById = LinkedHashMap<JobId, PendingCancellation>()
    private val cache get() = context.cache

    /** Submissions, the oldest first. */
    val submissions: Map<JobId, PendingSubmission> get() = submissionsById

    /** Cancellations, the oldest first. */
    val cancellations: Map<JobId, PendingCancellation> get() = cancellationsById

    /** What can be stored soon; more would only wait for an answer that can't come in time, so it is refused at once. */
    private val maxSubmissions =
        maxOf(MIN_SUBMISSIONS, (context.settings.limits.writeRps / (context.settings.peers.size + 1) * MAX_QUEUE_S).toInt())

    /** Whether as many submissions wait as can be stored in time. */
    val isFull: Boolean get() = submissionsById.size >= maxSubmissions

    /** Adds a submission; a repeated one waits with the first. */
    fun addSubmission(
        spec: JobSpec,
        reply: ReplyTo,
    ) {
        submissionsById.getOrPut(JobId(spec.id)) { PendingSubmission(spec, context.now) }.replies += reply
    }

    /** Adds a cancellation; a repeated one waits with the first. */
    fun addCancellation(
        id: JobId,
        reply: ReplyTo,
    ) {
        cancellationsById.getOrPut(id) { PendingCancellation(context.now) }.replies += reply
    }

    /** Answers what has been decided meanwhile, and refuses what has waited too long. */
    fun answerDecidedOrExpired() {
        answerDecidedOrExpired(submissionsById) { id -> cache.isKnown(id) }
        answerDecidedOrExpired(cancellationsById) { id -> cache.finalJob(id) != null || cache.job(id)?.stage == StoredStage.CANCELLED }
    }

    /** The submission of [id] is stored: the first to submit it hears that it was created. */
    fun onSubmissionStored(id: JobId) {
        // The answer to the write may come after the watch has shown what became of the job.
        val stage = answers.stage(id) ?: JobStage.QUEUED
        submissionsById.remove(id)?.replies?.forEachIndexed { index, reply ->
            val status = if (index == 0) HttpStatus.CREATED else HttpStatus.OK
            answers.sendStage(id, stage, reply, status)
        }
    }

    /** The cancellation of [id] is stored. */
    fun onCancellationStored(id: JobId) {
        cancellationsById.remove(id)?.replies?.forEach { answers.sendStage(id, JobStage.CANCELLED, it) }
    }

    /** Follows the transaction that stores the submission [pending] of [id]. */
    internal fun submissionListener(
        id: JobId,
        pending: PendingSubmission,
    ): TransactionListener = InFlightListener({ pending }) { onSubmissionStored(id) }

    /** Follows a transaction that stores the cancellation of [id], which may be asked for only after it has been sent. */
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

        override fun onNotCommitted() {
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

        /** Seconds of writes that the queue of submissions may hold. */
        const val MAX_QUEUE_S = 2.5

        /** Below the users' own timeout, so that the refusal reaches them. */
        const val MAX_WAIT: Micros = 3 * SECOND + 500 * MILLI
    }
}
