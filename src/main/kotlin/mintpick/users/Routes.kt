package mintpick.users

import kotlinx.serialization.SerializationException
import mintpick.core.JobId
import mintpick.core.Micros
import mintpick.core.SECOND
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
import mintpick.wire.WireJson
import mintpick.wire.decodeHint
import org.http4k.core.Method
import org.http4k.core.Request
import java.util.concurrent.ConcurrentLinkedQueue
import java.util.concurrent.atomic.AtomicInteger
import java.util.concurrent.atomic.AtomicReference

/** Brings requests to the owner's queue, and its answers back; one that does not come in time is given up. */
class Routes(
    private val offer: (Event) -> Boolean,
    /** Asked by the load balancer every second: not to wait behind what hundreds of workers bring. */
    private val isUp: () -> Boolean,
    private val maxWaiting: Int,
    private val steadyUs: () -> Micros,
) {
    /** One request that waits for the owner. Whoever answers first, owner or [giveUpLate], answers alone. */
    private inner class Waiting(
        val sinceUs: Micros,
        private val counted: Boolean,
        respond: Respond,
    ) : ReplyTo {
        // Taken out with the answer: what is answered must not be held until its turn to be late.
        private val open = AtomicReference<Respond?>(respond)

        override fun answer(answer: Answer) {
            val respond = open.getAndSet(null) ?: return
            if (counted) users.decrementAndGet()
            respond(answer.toResponse())
        }
    }

    private val users = AtomicInteger()
    private val waiting = ConcurrentLinkedQueue<Waiting>()

    /** What users, workers and health checks see. */
    val api: LaterHandler = { request, respond -> route(request, respond) }

    /** What other controllers and people on call see. */
    val mesh: LaterHandler = { request, respond -> meshRoute(request, respond) }

    /** Answers requests that have waited too long; to be called now and then. */
    fun giveUpLate() {
        while (true) {
            val oldest = waiting.peek() ?: return
            if (steadyUs() - oldest.sinceUs < PATIENCE) return
            waiting.poll()
            oldest.answer(errorAnswer(UNAVAILABLE, "no answer in time", RETRY_S))
        }
    }

    private fun route(
        request: Request,
        respond: Respond,
    ) {
        val path = request.uri.path
        when {
            path == Paths.HEALTH -> only(request, Method.GET, respond) { respond((if (isUp()) UP else NOT_READY).toResponse()) }
            path == Paths.REPORT -> only(request, Method.POST, respond) { report(request, respond) }
            path == Paths.JOBS -> only(request, Method.POST, respond) { submit(request, respond) }
            path.startsWith(JOB_PREFIX) -> job(request, path.substring(JOB_PREFIX.length), respond)
            else -> respond(NO_PATH.toResponse())
        }
    }

    private fun job(
        request: Request,
        rest: String,
        respond: Respond,
    ) {
        val id = rest.substringBefore('/')
        val action = rest.substringAfter('/', "")
        when {
            rest.count { it == '/' } > 1 || (action.isEmpty() && '/' in rest) -> respond(NO_PATH.toResponse())
            action.isEmpty() -> only(request, Method.GET, respond) { known(id, respond) { job -> shed(respond) { Event.Poll(job, it) } } }
            action == "cancel" ->
                only(
                    request,
                    Method.POST,
                    respond,
                ) { known(id, respond) { job -> shed(respond) { Event.Cancel(job, it) } } }
            else -> respond(NO_PATH.toResponse())
        }
    }

    private fun known(
        id: String,
        respond: Respond,
        then: (JobId) -> Unit,
    ) = if (Submission.isJobId(id)) then(JobId(id)) else respond(errorAnswer(NOT_FOUND, "no such job").toResponse())

    private fun submit(
        request: Request,
        respond: Respond,
    ) {
        val body = request.boundedBody() ?: return respond(TOO_LARGE.toResponse())
        val spec =
            try {
                Submission.parse(body.decodeToString())
            } catch (e: MalformedException) {
                return malformed(e, respond)
            }
        shed(respond) { Event.Submit(spec, it) }
    }

    /** A job that was accepted stays so, whatever its submission looks like when it is repeated. */
    private fun malformed(
        error: MalformedException,
        respond: Respond,
    ) {
        val reason = error.message ?: "malformed"
        val id = error.id ?: return respond(errorAnswer(BAD_REQUEST, reason).toResponse())
        shed(respond) { Event.Malformed(JobId(id), reason, it) }
    }

    private fun report(
        request: Request,
        respond: Respond,
    ) {
        val body = request.boundedBody() ?: return respond(TOO_LARGE.toResponse())
        val report =
            try {
                WireJson.decodeFromString(MachineReport.serializer(), body.decodeToString())
            } catch (e: SerializationException) {
                return respond(errorAnswer(BAD_REQUEST, e.message ?: "malformed").toResponse())
            } catch (e: IllegalArgumentException) {
                return respond(errorAnswer(BAD_REQUEST, e.message ?: "malformed").toResponse())
            }
        ask(respond) { Event.Report(report, it) }
    }

    private fun meshRoute(
        request: Request,
        respond: Respond,
    ) {
        when (request.uri.path) {
            "/hint" -> only(request, Method.POST, respond) { hint(request, respond) }
            "/status" -> only(request, Method.GET, respond) { ask(respond, event = Event::Inspect) }
            else -> respond(NO_PATH.toResponse())
        }
    }

    /** Its size goes with the fleet, so the bound of the platform's own interfaces does not apply. */
    private fun hint(
        request: Request,
        respond: Respond,
    ) {
        val hint = decodeHint(request.body.payload.array()) ?: return respond(errorAnswer(BAD_REQUEST, "not a hint").toResponse())
        ask(respond) { Event.Hint(hint, it) }
    }

    private fun only(
        request: Request,
        method: Method,
        respond: Respond,
        then: () -> Unit,
    ) = if (request.method == method) then() else respond(errorAnswer(NOT_ALLOWED, "method not allowed").toResponse())

    /** Users' requests are refused early, so that workers and health checks always find room in the queue. */
    private fun shed(
        respond: Respond,
        event: (ReplyTo) -> Event,
    ) {
        if (users.incrementAndGet() <= maxWaiting) return ask(respond, counted = true, event)
        users.decrementAndGet()
        respond(TOO_MANY.toResponse())
    }

    private fun ask(
        respond: Respond,
        counted: Boolean = false,
        event: (ReplyTo) -> Event,
    ) {
        val reply = Waiting(steadyUs(), counted, respond)
        waiting += reply
        if (!offer(event(reply))) reply.answer(TOO_MANY)
    }

    companion object {
        private const val JOB_PREFIX = Paths.JOBS + "/"
        private const val OK = 200
        private const val BAD_REQUEST = 400
        private const val NOT_FOUND = 404
        private const val NOT_ALLOWED = 405
        private const val UNAVAILABLE = 503
        private const val RETRY_S = 1

        /** As long as a worker waits. */
        private const val PATIENCE: Micros = 4 * SECOND
        private val UP = Answer.json(OK, "{}")
        private val NOT_READY = errorAnswer(UNAVAILABLE, "not ready", RETRY_S)
        private val NO_PATH = errorAnswer(NOT_FOUND, "no such path")
        private val TOO_LARGE = errorAnswer(BAD_REQUEST, "body: too large")
        private val TOO_MANY = errorAnswer(UNAVAILABLE, "too many requests", RETRY_S)
    }
}
