package mintpick.engine.jobs

import mintpick.core.JobId
import mintpick.engine.runtime.EngineContext
import mintpick.engine.runtime.ReplyTo
import mintpick.engine.state.StateStoreClient
import mintpick.net.errorAnswer
import mintpick.wire.JobSpec
import mintpick.wire.JobStage
import mintpick.wire.StoredStage

/**
 * Handles requests of users. Each is answered exactly once: from records that are current, or with a refusal.
 * Event-loop thread only.
 */
class UserRequestHandler(
    private val context: EngineContext,
    private val stateStore: StateStoreClient,
    private val pendingRequests: PendingRequests,
    private val validator: SubmissionValidator,
    private val answers: JobAnswers,
) {
    private val cache get() = context.cache

    /** Stores [spec] and answers after that. A repeated submission of an accepted job is answered with the job's stage. */
    fun submit(
        spec: JobSpec,
        reply: ReplyTo,
    ) {
        val id = JobId(spec.id)
        val finalStage = answers.finalStage(id)
        when {
            finalStage != null -> answers.sendStage(id, finalStage, reply)
            !stateStore.isServing || !stateStore.isReachable -> context.send(reply, answers.stateStoreUnavailable())
            cache.machineTypes.isEmpty() -> context.send(reply, answers.unavailable("machine types are not known yet"))
            cache.job(id) != null -> answers.sendCurrentStage(id, reply)
            pendingRequests.isFull -> context.send(reply, answers.tooManySubmissions())
            else -> submitNew(spec, reply)
        }
    }

    private fun submitNew(
        spec: JobSpec,
        reply: ReplyTo,
    ) {
        val id = JobId(spec.id)
        when (val result = validator.validate(spec, pendingRequests.submissionBytes)) {
            AdmissionResult.Accepted -> pendingRequests.addSubmission(spec, validator.memoryOf(spec), reply)
            // The id is looked up first, because a repeated submission of an accepted job must never get 422.
            is AdmissionResult.Rejected ->
                answers.sendCurrentStageOr(id, reply) { errorAnswer(HttpStatus.UNPROCESSABLE, result.reason.text) }
            AdmissionResult.TooLittleMemory -> answers.sendCurrentStageOr(id, reply) { answers.tooManyOpenJobs() }
            AdmissionResult.DependenciesNotSupportedYet ->
                answers.sendCurrentStageOr(id, reply) { answers.unavailable("not all controllers know jobs that wait for others yet") }
            is AdmissionResult.UnknownPredecessors -> submitAfterCatchUp(spec, reply)
        }
    }

    /**
     * Handles a submission with predecessors that are missing from the cached records. Another controller may have accepted
     * them, so they are looked up again after the cache has caught up with the state store. A predecessor that is still
     * unknown then was never accepted, unless this controller is currently storing it.
     */
    private fun submitAfterCatchUp(
        spec: JobSpec,
        reply: ReplyTo,
    ) = stateStore.afterCatchUp { ok ->
        val id = JobId(spec.id)
        val result = validator.checkPredecessors(spec)
        when {
            !ok -> context.send(reply, answers.stateStoreUnavailable())
            cache.isKnown(id) -> answers.sendStage(id, answers.stage(id) ?: JobStage.QUEUED, reply)
            result is AdmissionResult.UnknownPredecessors -> rejectUnknownPredecessors(result.jobs, reply)
            pendingRequests.isFull -> context.send(reply, answers.tooManySubmissions())
            // Others may have been added since this one was validated.
            !validator.fitsInMemory(spec, pendingRequests.submissionBytes) -> context.send(reply, answers.tooManyOpenJobs())
            else -> pendingRequests.addSubmission(spec, validator.memoryOf(spec), reply)
        }
    }

    private fun rejectUnknownPredecessors(
        predecessors: List<JobId>,
        reply: ReplyTo,
    ) {
        val isBeingStored = predecessors.any { it in pendingRequests.submissions }
        val answer =
            if (isBeingStored) {
                answers.unavailable("waits_on: a job is being stored")
            } else {
                errorAnswer(HttpStatus.UNPROCESSABLE, "waits_on: ${predecessors.first().text} was never accepted")
            }
        context.send(reply, answer)
    }

    /**
     * Refuses a malformed submission. The id is looked up first, because a repeated submission of an accepted job must never
     * get 400.
     */
    fun rejectMalformed(
        id: JobId,
        reason: String,
        reply: ReplyTo,
    ) {
        val finalStage = answers.finalStage(id)
        if (finalStage != null) {
            answers.sendStage(id, finalStage, reply)
        } else {
            answers.sendCurrentStageOr(id, reply) { errorAnswer(HttpStatus.BAD_REQUEST, reason) }
        }
    }

    /** Answers with the job's progress. Final records never change, so they are sent without waiting for the cache to catch up. */
    fun poll(
        id: JobId,
        reply: ReplyTo,
    ) {
        if (cache.finalJob(id) != null) {
            answers.sendStatus(id, reply)
            return
        }
        stateStore.afterCatchUp { ok ->
            if (ok) answers.sendStatus(id, reply) else context.send(reply, answers.stateStoreUnavailable())
        }
    }

    /** Cancels a job and answers after the cancellation is stored. */
    fun cancel(
        id: JobId,
        reply: ReplyTo,
    ) {
        val finalStage = answers.finalStage(id)
        when {
            finalStage != null -> answers.sendStage(id, finalStage, reply)
            !stateStore.isServing || !stateStore.isReachable -> context.send(reply, answers.stateStoreUnavailable())
            cache.job(id)?.stage == StoredStage.CANCELLED -> answers.sendStage(id, JobStage.CANCELLED, reply)
            else -> cancelAfterCatchUp(id, reply)
        }
    }

    private fun cancelAfterCatchUp(
        id: JobId,
        reply: ReplyTo,
    ) = stateStore.afterCatchUp { ok ->
        when {
            !ok -> context.send(reply, answers.stateStoreUnavailable())
            cache.isKnown(id) -> pendingRequests.addCancellation(id, reply)
            else -> context.send(reply, answers.noSuchJob())
        }
    }

    /** Answers pending requests that have been decided or have timed out. */
    fun tick() = pendingRequests.answerDecidedOrExpired()
}
