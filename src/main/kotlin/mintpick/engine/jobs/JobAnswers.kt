package mintpick.engine.jobs

import mintpick.core.JobId
import mintpick.engine.cache.FinalJob
import mintpick.engine.runtime.EngineContext
import mintpick.engine.runtime.ReplyTo
import mintpick.engine.state.StateStoreClient
import mintpick.net.Answer
import mintpick.net.errorAnswer
import mintpick.wire.JobAnswer
import mintpick.wire.JobStage
import mintpick.wire.JobStatus
import mintpick.wire.StoredStage
import mintpick.wire.WireJson

/** HTTP status codes of answers to users. */
internal object HttpStatus {
    const val OK = 200
    const val CREATED = 201
    const val BAD_REQUEST = 400
    const val NOT_FOUND = 404
    const val UNPROCESSABLE = 422
    const val TOO_MANY_REQUESTS = 429
    const val UNAVAILABLE = 503
}

/** Builds and sends answers about single jobs from their cached records. Event-loop thread only. */
class JobAnswers(
    private val context: EngineContext,
    private val stateStore: StateStoreClient,
) {
    private val cache get() = context.cache

    /** The stage of job [id] in the cached records; null if the job is unknown. */
    fun stage(id: JobId): JobStage? = status(id)?.stage

    /** The stage in the final record of job [id]; null if it has none. */
    fun finalStage(id: JobId): JobStage? = cache.finalJob(id)?.let { it.stage.asJobStage() }

    /** Sends an answer with the job's [stage]. */
    fun sendStage(
        id: JobId,
        stage: JobStage,
        reply: ReplyTo,
        status: Int = HttpStatus.OK,
    ) {
        val body = WireJson.encodeToString(JobAnswer.serializer(), JobAnswer(id.text, stage))
        context.send(reply, Answer.json(status, body))
    }

    /** Sends the job's stage after the cache has caught up with the state store. */
    fun sendCurrentStage(
        id: JobId,
        reply: ReplyTo,
    ) = sendCurrentStageOr(id, reply) { unavailable("not decided") }

    /** Sends the job's stage after the cache has caught up with the state store, or [otherwise] if the job is unknown. */
    fun sendCurrentStageOr(
        id: JobId,
        reply: ReplyTo,
        otherwise: () -> Answer,
    ) = stateStore.afterCatchUp { ok ->
        val stage = stage(id)
        when {
            !ok -> context.send(reply, stateStoreUnavailable())
            stage != null -> sendStage(id, stage, reply)
            else -> context.send(reply, otherwise())
        }
    }

    /** Sends the job's progress from the cached records, or 404 if the job is unknown. */
    fun sendStatus(
        id: JobId,
        reply: ReplyTo,
    ) {
        val status = status(id)
        if (status == null) {
            context.send(reply, noSuchJob())
        } else {
            context.send(reply, Answer.json(HttpStatus.OK, WireJson.encodeToString(JobStatus.serializer(), status)))
        }
    }

    /** The answer for a job that was never accepted. */
    fun noSuchJob(): Answer = errorAnswer(HttpStatus.NOT_FOUND, "no such job")

    /** The answer while the state store is unavailable. */
    fun stateStoreUnavailable(): Answer = unavailable("the state service does not answer")

    /** A 503 answer that asks the client to retry after [RETRY_AFTER_S] seconds. */
    fun unavailable(message: String): Answer = errorAnswer(HttpStatus.UNAVAILABLE, message, RETRY_AFTER_S)

    /** The answer to a submission that can't be stored in time, because too many others are pending. */
    fun tooManySubmissions(): Answer = errorAnswer(HttpStatus.TOO_MANY_REQUESTS, "too many submissions", RETRY_AFTER_S)

    /** The answer to a submission for which the controllers have no memory until other jobs have ended. */
    fun tooManyOpenJobs(): Answer = errorAnswer(HttpStatus.UNAVAILABLE, "too many open jobs", RETRY_AFTER_OPEN_JOBS_S)

    private fun status(id: JobId): JobStatus? {
        cache.finalJob(id)?.let { return finalStatus(id, it) }
        val job = cache.job(id) ?: return null
        val stage =
            when {
                job.stage == StoredStage.CANCELLED -> JobStage.CANCELLED
                job.placedCount > 0 -> JobStage.RUNNING
                else -> JobStage.QUEUED
            }
        return JobStatus(id.text, stage, job.doneCount, if (job.stage == StoredStage.OPEN) job.placedCount else 0)
    }

    private fun finalStatus(
        id: JobId,
        final: FinalJob,
    ): JobStatus {
        val done = if (final.stage == StoredStage.DONE) final.tasks else 0
        return JobStatus(id.text, final.stage.asJobStage(), done, 0)
    }

    private fun StoredStage.asJobStage(): JobStage =
        when (this) {
            StoredStage.DONE -> JobStage.DONE
            StoredStage.CANCELLED -> JobStage.CANCELLED
            StoredStage.OPEN -> JobStage.QUEUED
        }

    private companion object {
        const val RETRY_AFTER_S = 1
        const val RETRY_AFTER_OPEN_JOBS_S = 5
    }
}
