package mintpick.users

import mintpick.core.JobId
import mintpick.core.JobMemory
import mintpick.core.MemoryBudget
import mintpick.core.Micros
import mintpick.engine.runtime.Event
import mintpick.engine.runtime.ReplyTo
import mintpick.net.Answer
import mintpick.net.LaterHandler
import mintpick.net.Respond
import mintpick.net.boundedBody
import mintpick.net.errorAnswer
import mintpick.net.toResponse
import mintpick.wire.MachineReport
import mintpick.wire.MalformedException
import mintpick.wire.Paths
import mintpick.wire.Submission
import mintpick.wire.decodeHint
import mintpick.wire.decodeJson
import org.http4k.core.Method
import org.http4k.core.Request
import org.slf4j.LoggerFactory

/**
 * Converts HTTP requests to events of the event loop, and its answers to HTTP responses. Requests that are not answered in
 * time are refused. Thread-safe.
 *
 * @param offer adds an event to the event loop's queue without blocking; returns false if the queue is full
 * @param isUp result of the load balancer's health check. It is called every second and bypasses the queue, where it would
 *   have to wait behind the heartbeats of hundreds of agents.
 * @param maxUserRequests maximum number of user requests that may be waiting for an answer at the same time
 * @param connectionLimits largest numbers of connections of users and agents
 * @param memory bounds the bytes of requests that are decoded or wait for an answer
 * @param monotonicUs the monotonic clock, in microseconds
 */
class Routes(
    offer: (Event) -> Boolean,
    private val isUp: () -> Boolean,
    maxUserRequests: Int,
    connectionLimits: ConnectionLimits,
    memory: MemoryBudget,
    monotonicUs: () -> Micros,
) {
    private val unanswered = UnansweredRequests(offer, maxUserRequests, monotonicUs)
    private val connections = ConnectionTable(connectionLimits, monotonicUs)
    private val submissionMemory = RequestMemory(memory.userRequestBytes)
    private val heartbeatMemory = RequestMemory(memory.heartbeatBytes)

    /** Returns a text with the open connections by kind of client, and the most since the last call. */
    fun takeConnectionReport(): String = connections.takeReport()

    /** Returns a text with the memory of submissions and heartbeats that wait for an answer, and the most since the last call. */
    fun takeMemoryReport(): String = "submissions ${submissionMemory.takeReport()} heartbeats ${heartbeatMemory.takeReport()}"

    /** Returns a text with the requests refused since the last call, by reason; null if there were none. */
    fun takeRefusalReport(): String? = unanswered.refusals.takeReport()

    /** Handles requests of users, agents and health checks. */
    val api: LaterHandler = { request, respond -> admit(request, respond)?.let { routeApi(request, it) } }

    /** Handles requests of peers and operators. */
    val peerApi: LaterHandler = { request, respond -> routePeerApi(request, respond) }

    /** Refuses requests that have waited too long for an answer. Must be called several times a second. */
    fun expireOverdueRequests() = unanswered.expireOverdue()

    /**
     * Records [request] in the table of connections. Returns the function that sends its response and closes the connection if it may not
     * stay open; null if the request was refused because agents have too many connections.
     */
    private fun admit(
        request: Request,
        respond: Respond,
    ): Respond? {
        val connection = request.source ?: return respond
        val kind = kindOfClient(request.uri.path)
        if (!connections.tryAdmit(connection, kind)) {
            unanswered.recordRefusal(TOO_MANY_AGENTS, RequestOrigin.AGENT_OR_PEER)
            respond(TOO_MANY_AGENTS.toResponse().header("Connection", CLOSE))
            return null
        }
        return { response ->
            // An agent that gets another status turns to the next controller.
            val mayStay = response.header("Connection") != CLOSE && (kind != ClientKind.AGENT || response.status.code == OK)
            val stays = connections.onAnswer(connection, mayStay)
            respond(if (stays) response else response.replaceHeader("Connection", CLOSE))
        }
    }

    private fun kindOfClient(path: String): ClientKind =
        when (path) {
            Paths.HEALTH -> ClientKind.HEALTH_CHECK
            Paths.HEARTBEAT -> ClientKind.AGENT
            else -> ClientKind.USER
        }

    private fun routeApi(
        request: Request,
        respond: Respond,
    ) {
        val path = request.uri.path
        when {
            path == Paths.HEALTH -> ifMethod(Method.GET, request, respond) { health(respond) }
            path == Paths.HEARTBEAT -> ifMethod(Method.POST, request, respond) { heartbeat(request, respond) }
            path == Paths.JOBS -> ifMethod(Method.POST, request, respond) { submit(request, respond) }
            path.startsWith(JOB_PREFIX) -> routeJob(request, path.substring(JOB_PREFIX.length), respond)
            else -> respond(NO_PATH.toResponse())
        }
    }

    /** Handles a request about one job. [rest] is the path after [JOB_PREFIX]: a job id, optionally followed by an action. */
    private fun routeJob(
        request: Request,
        rest: String,
        respond: Respond,
    ) {
        val id = rest.substringBefore('/')
        val action = rest.substringAfter('/', "")
        val isMalformed = rest.count { it == '/' } > 1 || (action.isEmpty() && '/' in rest)
        when {
            isMalformed -> respond(NO_PATH.toResponse())
            action.isEmpty() -> ifMethod(Method.GET, request, respond) { enqueueJobRequest(id, respond, Event::Poll) }
            action == "cancel" -> ifMethod(Method.POST, request, respond) { enqueueJobRequest(id, respond, Event::Cancel) }
            else -> respond(NO_PATH.toResponse())
        }
    }

    private fun ifMethod(
        method: Method,
        request: Request,
        respond: Respond,
        handle: () -> Unit,
    ) {
        if (request.method == method) handle() else respond(METHOD_NOT_ALLOWED.toResponse())
    }

    private fun health(respond: Respond) {
        val answer = if (isUp()) UP else NOT_READY
        respond(answer.toResponse())
    }

    /** Enqueues a request about the job [id]. An invalid id is refused here, without an event. */
    private fun enqueueJobRequest(
        id: String,
        respond: Respond,
        event: (JobId, ReplyTo) -> Event,
    ) {
        if (!Submission.isJobId(id)) return respond(NO_JOB.toResponse())
        unanswered.enqueueUserRequest(respond) { reply -> event(JobId(id), reply) }
    }

    private fun submit(
        request: Request,
        respond: Respond,
    ) {
        val body = request.boundedBody() ?: return respond(TOO_LARGE.toResponse())
        val refuse = { refuse(TOO_LARGE_SUBMISSIONS, RequestOrigin.USER, respond) }
        decodeWithin(submissionMemory, body.size * SUBMISSION_BYTES_PER_BYTE, refuse) { decodeSubmission(body, respond) }
    }

    /** Enqueues the submission in [body]. Returns the bytes of memory that it keeps until it is answered. */
    private fun decodeSubmission(
        body: ByteArray,
        respond: Respond,
    ): Long {
        val spec =
            try {
                Submission.parse(body.decodeToString())
            } catch (e: MalformedException) {
                refuseMalformed(e, respond)
                return 0
            }
        val keptBytes = minOf(body.size * SUBMISSION_BYTES_PER_BYTE, JobMemory.openJobBytes(spec))
        unanswered.enqueueUserRequest(releasing(submissionMemory, keptBytes, respond)) { reply -> Event.Submit(spec, reply) }
        return keptBytes
    }

    /**
     * Reserves [bytes] of [memory] while [decode] runs, which returns how many of them stay reserved. Calls [refuse] instead if there are
     * too few.
     */
    private inline fun decodeWithin(
        memory: RequestMemory,
        bytes: Long,
        refuse: () -> Unit,
        decode: () -> Long,
    ) {
        if (!memory.tryReserve(bytes)) return refuse()
        var keptBytes = 0L
        try {
            keptBytes = decode()
        } finally {
            memory.release(bytes - keptBytes)
        }
    }

    private fun refuse(
        answer: Answer,
        origin: RequestOrigin,
        respond: Respond,
    ) {
        unanswered.recordRefusal(answer, origin)
        respond(answer.toResponse())
    }

    /** [respond], which also releases [bytes] of [memory]. Must be called once. */
    private fun releasing(
        memory: RequestMemory,
        bytes: Long,
        respond: Respond,
    ): Respond =
        { response ->
            memory.release(bytes)
            respond(response)
        }

    /**
     * Refuses a malformed submission without a job id. One with an id is passed to the event loop: the job may have been
     * accepted before, and its acceptance holds even if the repeated submission is malformed.
     */
    private fun refuseMalformed(
        error: MalformedException,
        respond: Respond,
    ) {
        val reason = error.message ?: MALFORMED
        val id = error.id ?: return respond(errorAnswer(BAD_REQUEST, reason).toResponse())
        unanswered.enqueueUserRequest(respond) { reply -> Event.Malformed(JobId(id), reason, reply) }
    }

    private fun heartbeat(
        request: Request,
        respond: Respond,
    ) {
        val body = request.boundedBody() ?: return respond(TOO_LARGE.toResponse())
        val refuse = { refuse(TOO_LARGE_HEARTBEATS, RequestOrigin.AGENT_OR_PEER, respond) }
        decodeWithin(heartbeatMemory, body.size * HEARTBEAT_BYTES_PER_BYTE, refuse) { decodeHeartbeat(body, respond) }
    }

    /** Enqueues the heartbeat in [body]. Returns the bytes of memory that it keeps until it is answered. */
    private fun decodeHeartbeat(
        body: ByteArray,
        respond: Respond,
    ): Long {
        val heartbeat =
            try {
                decodeJson(MachineReport.serializer(), body.decodeToString())
            } catch (e: IllegalArgumentException) {
                // Includes the decoder's SerializationException and exceptions that constructors throw for invalid values.
                LOG.debug("heartbeat malformed bytes={}", body.size, e)
                respond(errorAnswer(BAD_REQUEST, e.message ?: MALFORMED).toResponse())
                return 0
            }
        val keptBytes = body.size * KEPT_HEARTBEAT_BYTES_PER_BYTE
        unanswered.enqueue(releasing(heartbeatMemory, keptBytes, respond)) { reply -> Event.Report(heartbeat, reply) }
        return keptBytes
    }

    private fun routePeerApi(
        request: Request,
        respond: Respond,
    ) {
        when (request.uri.path) {
            HINT_PATH -> ifMethod(Method.POST, request, respond) { hint(request, respond) }
            STATUS_PATH -> ifMethod(Method.GET, request, respond) { unanswered.enqueue(respond, event = Event::StatusRequest) }
            else -> respond(NO_PATH.toResponse())
        }
    }

    /** Enqueues a peer hint. The body limit of the public API does not apply, because a hint grows with the number of machines. */
    private fun hint(
        request: Request,
        respond: Respond,
    ) {
        val hint = decodeHint(request.body.payload.array()) ?: return respond(NOT_A_HINT.toResponse())
        unanswered.enqueue(respond) { reply -> Event.Hint(hint, reply) }
    }

    private companion object {
        val LOG = LoggerFactory.getLogger(Routes::class.java)
        const val JOB_PREFIX = Paths.JOBS + "/"
        const val HINT_PATH = "/hint"
        const val STATUS_PATH = "/status"
        const val MALFORMED = "malformed"
        const val OK = 200
        const val BAD_REQUEST = 400
        const val NOT_FOUND = 404
        const val NOT_ALLOWED = 405
        const val UNAVAILABLE = 503
        const val RETRY_AFTER_S = 1
        const val CLOSE = "close"

        /** Largest memory for a byte of a submission while it is decoded: a JSON document of empty lists. */
        const val SUBMISSION_BYTES_PER_BYTE = 36L

        /** Largest memory for a byte of a heartbeat while it is decoded, and afterwards. */
        const val HEARTBEAT_BYTES_PER_BYTE = 6L
        const val KEPT_HEARTBEAT_BYTES_PER_BYTE = 3L
        val TOO_LARGE_SUBMISSIONS = errorAnswer(UNAVAILABLE, "too many bytes of submissions", RETRY_AFTER_S)
        val TOO_LARGE_HEARTBEATS = errorAnswer(UNAVAILABLE, "too many bytes of heartbeats", RETRY_AFTER_S)
        val TOO_MANY_AGENTS = errorAnswer(UNAVAILABLE, "too many agents", RETRY_AFTER_S)
        val UP = Answer.json(OK, "{}")
        val NOT_READY = errorAnswer(UNAVAILABLE, "not ready", RETRY_AFTER_S)
        val NO_PATH = errorAnswer(NOT_FOUND, "no such path")
        val NO_JOB = errorAnswer(NOT_FOUND, "no such job")
        val METHOD_NOT_ALLOWED = errorAnswer(NOT_ALLOWED, "method not allowed")
        val TOO_LARGE = errorAnswer(BAD_REQUEST, "body: too large")
        val NOT_A_HINT = errorAnswer(BAD_REQUEST, "not a hint")
    }
}
