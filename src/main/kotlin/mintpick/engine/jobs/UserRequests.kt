package mintpick.engine.jobs

import mintpick.core.JobId
import mintpick.core.MILLI
import mintpick.core.Micros
import mintpick.core.Resources
import mintpick.core.SECOND
import mintpick.core.capacity
import mintpick.core.demand
import mintpick.core.isGang
import mintpick.core.isService
import mintpick.core.predecessorIds
import mintpick.engine.runtime.EngineContext
import mintpick.engine.runtime.ReplyTo
import mintpick.engine.state.FormatGate
import mintpick.engine.state.StateStoreClient
import mintpick.engine.transactions.TransactionLimits
import mintpick.net.Answer
import mintpick.net.errorAnswer
import mintpick.store.SpecPieces
import mintpick.wire.JobAnswer
import mintpick.wire.JobSpec
import mintpick.wire.JobStage
import mintpick.wire.JobStatus
import mintpick.wire.StoredStage
import mintpick.wire.WireJson

/** The users' requests: each is answered once, from records that are new enough, or refused at once. */
class UserRequests(
    private val context: EngineContext,
    private val stateStore: StateStoreClient,
    private val formats: FormatGate,
) {
    /** A submission or cancellation that waits to be stored. */
    class Pending(
        val spec: JobSpec?,
        val sinceUs: Micros,
    ) {
        val replies = ArrayList<ReplyTo>()
        var taken = false
    }

    val submissions = LinkedHashMap<JobId, Pending>()
    val cancellations = LinkedHashMap<JobId, Pending>()

    private val cache get() = context.cache

    /** What can be stored soon; more would only wait for an answer that can't come in time, so it is refused at once. */
    private val maxPending = maxOf(MIN_PENDING, (context.settings.limits.writeRps / (context.settings.peers.size + 1) * PENDING_S).toInt())

    fun submit(
        spec: JobSpec,
        reply: ReplyTo,
    ) {
        val id = JobId(spec.id)
        val over = cache.final(id)
        when {
            over != null -> context.send(reply, stageAnswer(id, stageOf(over.stage)))
            !stateStore.serving || !stateStore.reachable -> context.send(reply, busy("the state service does not answer"))
            cache.types.isEmpty() -> context.send(reply, busy("machine types are not known yet"))
            cache.job(id) != null -> current(id, reply)
            submissions.size >= maxPending -> context.send(reply, errorAnswer(TOO_MANY, "too many submissions", RETRY_S))
            else -> {
                val refusal = refusal(spec)
                when {
                    // The id is looked up first: a job that was accepted never gets 422 when it is repeated.
                    refusal != null -> lookUp(id, reply) { errorAnswer(UNPROCESSABLE, refusal) }
                    spec.predecessors == null -> admit(spec, reply)
                    !formats.allowsDependencies -> lookUp(id, reply) { busy("not all controllers know jobs that wait for others yet") }
                    spec.predecessorIds.all(cache::knows) -> admit(spec, reply)
                    else -> admitOnceKnown(spec, reply)
                }
            }
        }
    }

    private fun admit(
        spec: JobSpec,
        reply: ReplyTo,
    ) {
        submissions.getOrPut(JobId(spec.id)) { Pending(spec, context.now) }.replies += reply
    }

    /**
     * A job names others that our records do not show: those that another controller has accepted meanwhile they show once
     * they have caught up. What is unknown then was never accepted, unless it is being stored here at this moment.
     */
    private fun admitOnceKnown(
        spec: JobSpec,
        reply: ReplyTo,
    ) = stateStore.caughtUp { ok ->
        val id = JobId(spec.id)
        val unknown = spec.predecessorIds.filterNot(cache::knows)
        when {
            !ok -> context.send(reply, busy("the state service does not answer"))
            cache.knows(id) -> context.send(reply, stageAnswer(id, statusOf(id)?.stage ?: JobStage.QUEUED))
            unknown.isEmpty() -> admit(spec, reply)
            unknown.any { it in submissions } -> context.send(reply, busy("waits_on: a job is being stored"))
            else -> context.send(reply, errorAnswer(UNPROCESSABLE, "waits_on: ${unknown.first().text} was never accepted"))
        }
    }

    /** The id is looked up first: a job that was accepted never gets 400 when it is repeated. */
    fun malformed(
        id: JobId,
        reason: String,
        reply: ReplyTo,
    ) {
        val over = cache.final(id)
        if (over != null) {
            context.send(reply, stageAnswer(id, stageOf(over.stage)))
        } else {
            lookUp(id, reply) { errorAnswer(BAD_REQUEST, reason) }
        }
    }

    /** Answers with the job's stage once the records are new enough. */
    fun current(
        id: JobId,
        reply: ReplyTo,
    ) = lookUp(id, reply) { busy("not decided") }

    private fun lookUp(
        id: JobId,
        reply: ReplyTo,
        otherwise: () -> Answer,
    ) = stateStore.caughtUp { ok ->
        val known = statusOf(id)
        context.send(
            reply,
            when {
                !ok -> busy("the state service does not answer")
                known != null -> stageAnswer(id, known.stage)
                else -> otherwise()
            },
        )
    }

    fun poll(
        id: JobId,
        reply: ReplyTo,
    ) {
        val over = cache.final(id)
        if (over != null) {
            context.send(reply, statusAnswer(statusOf(id)))
            return
        }
        stateStore.caughtUp { ok -> context.send(reply, if (ok) statusAnswer(statusOf(id)) else busy("the state service does not answer")) }
    }

    private fun statusAnswer(status: JobStatus?): Answer =
        if (status == null) {
            errorAnswer(NOT_FOUND, "no such job")
        } else {
            Answer.json(OK, WireJson.encodeToString(JobStatus.serializer(), status))
        }

    fun cancel(
        id: JobId,
        reply: ReplyTo,
    ) {
        val over = cache.final(id)
        when {
            over != null -> context.send(reply, stageAnswer(id, stageOf(over.stage)))
            !stateStore.serving || !stateStore.reachable -> context.send(reply, busy("the state service does not answer"))
            cache.job(id)?.stage == StoredStage.CANCELLED -> context.send(reply, stageAnswer(id, JobStage.CANCELLED))
            else ->
                stateStore.caughtUp { ok ->
                    when {
                        !ok -> context.send(reply, busy("the state service does not answer"))
                        cache.knows(id) -> cancellations.getOrPut(id) { Pending(null, context.now) }.replies += reply
                        else -> context.send(reply, errorAnswer(NOT_FOUND, "no such job"))
                    }
                }
        }
    }

    /** Ends what has been stored or decided meanwhile, and refuses what has waited too long. */
    fun tick() {
        settle(submissions) { id -> cache.knows(id) }
        settle(cancellations) { id ->
            cache.final(id) != null || cache.job(id)?.stage == StoredStage.CANCELLED
        }
    }

    private inline fun settle(
        pending: LinkedHashMap<JobId, Pending>,
        decided: (JobId) -> Boolean,
    ) {
        val entries = pending.entries.iterator()
        while (entries.hasNext()) {
            val (id, waiting) = entries.next()
            if (waiting.taken) continue
            if (decided(id)) {
                waiting.replies.forEach { current(id, it) }
                entries.remove()
            } else if (!stateStore.reachable || context.now - waiting.sinceUs > PATIENCE) {
                waiting.replies.forEach { context.send(it, busy("could not be stored in time")) }
                entries.remove()
            }
        }
    }

    fun submitted(id: JobId) {
        // The answer to the write may come after the watch has told what became of the job.
        val stage = statusOf(id)?.stage ?: JobStage.QUEUED
        submissions.remove(id)?.replies?.forEachIndexed { i, reply ->
            context.send(reply, stageAnswer(id, stage, if (i == 0) CREATED else OK))
        }
    }

    fun cancelled(id: JobId) {
        cancellations.remove(id)?.replies?.forEach { context.send(it, stageAnswer(id, JobStage.CANCELLED)) }
    }

    private fun stageAnswer(
        id: JobId,
        stage: JobStage,
        status: Int = OK,
    ): Answer = Answer.json(status, WireJson.encodeToString(JobAnswer.serializer(), JobAnswer(id.text, stage)))

    private fun statusOf(id: JobId): JobStatus? {
        cache.final(id)?.let { return JobStatus(id.text, stageOf(it.stage), if (it.stage == StoredStage.DONE) it.tasks else 0, 0) }
        val job = cache.job(id) ?: return null
        val stage =
            when {
                job.stage == StoredStage.CANCELLED -> JobStage.CANCELLED
                job.placed > 0 -> JobStage.RUNNING
                else -> JobStage.QUEUED
            }
        return JobStatus(id.text, stage, job.done, if (job.stage == StoredStage.OPEN) job.placed else 0)
    }

    private fun stageOf(stage: StoredStage): JobStage =
        when (stage) {
            StoredStage.DONE -> JobStage.DONE
            StoredStage.CANCELLED -> JobStage.CANCELLED
            StoredStage.OPEN -> JobStage.QUEUED
        }

    /** Why a job can never run, or null. */
    private fun refusal(spec: JobSpec): String? {
        val team = context.settings.teams.firstOrNull { it.name == spec.team } ?: return "unknown team"
        val fits =
            cache.types.values.any { type ->
                (spec.types == null || type.name in spec.types) &&
                    (spec.zone == null || spec.zone in type.zones) &&
                    spec.demand.fits(type.capacity)
            }
        if (!fits) return "fits no allowed machine type"
        val least = if (spec.isService || spec.isGang) spec.demand * spec.tasks.toDouble() else spec.demand
        if (!canBeStored(spec)) return "needs more room than the state service has"
        val overCpus = team.cpusMax > 0 && least.cpus > team.cpusMax + Resources.EPSILON
        val overGpus = team.gpusMax > 0 && least.gpus > team.gpusMax + Resources.EPSILON
        return if (overCpus || overGpus) "needs more than the team's limit" else null
    }

    /** Whether the specification fits into as many records as one transaction can hold together. */
    private fun canBeStored(spec: JobSpec): Boolean {
        if (spec.predecessors.orEmpty().size + spec.types.orEmpty().size < MANY_NAMES) return true
        if (!formats.allowsDependencies) return SpecPieces.split(spec, formats.valueBytes).size <= 1
        return SpecPieces.split(spec, formats.valueBytes).size < TransactionLimits(context.settings.limits.transactionOps).guards - 1
    }

    private fun busy(message: String): Answer = errorAnswer(UNAVAILABLE, message, RETRY_S)

    companion object {
        private const val OK = 200
        private const val CREATED = 201
        private const val BAD_REQUEST = 400
        private const val NOT_FOUND = 404
        private const val UNPROCESSABLE = 422
        private const val TOO_MANY = 429
        private const val UNAVAILABLE = 503
        private const val RETRY_S = 1

        /** Fewer names always fit. */
        private const val MANY_NAMES = 50
        private const val MIN_PENDING = 8
        private const val PENDING_S = 2.5

        /** Below the users' own patience, so that the refusal reaches them. */
        private const val PATIENCE: Micros = 3 * SECOND + 500 * MILLI
    }
}
