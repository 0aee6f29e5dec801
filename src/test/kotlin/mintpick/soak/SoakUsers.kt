package mintpick.soak

import kotlinx.serialization.json.jsonObject
import mintpick.core.Micros
import mintpick.core.SECOND
import mintpick.testing.RuleChecker
import mintpick.wire.JobSpec
import mintpick.wire.JobStage
import mintpick.wire.WireJson
import java.util.SplittableRandom
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.ScheduledExecutorService

/**
 * Users who submit and ask through the load balancer, each on a connection of its own, and repeat, ask and cancel at all controllers.
 * What they see goes to [rules], under [lock].
 */
internal class SoakUsers(
    private val controllers: List<ControllerProcess>,
    private val sockets: SocketClient,
    private val loadBalancer: StandInLoadBalancer,
    private val rules: RuleChecker,
    private val lock: Any,
    private val timer: ScheduledExecutorService,
    private val random: SplittableRandom,
    private val nowUs: () -> Micros,
) {
    /** For each job the time of the newest poll through the load balancer that was answered, or of its acceptance. */
    private val answeredAt = ConcurrentHashMap<String, Micros>()

    /** Answers by kind of request and status. */
    val answers = ConcurrentHashMap<String, Int>()

    /** Accepted jobs of which no question asked after [since] was answered. */
    fun unansweredSince(since: Micros): List<String> =
        synchronized(lock) { answeredAt.keys.filter { rules.isAccepted(it) && answeredAt.getValue(it) < since }.sorted() }

    /** Adds a user who submits [spec], and cancels it [cancelAfterUs] after that if not null. */
    fun add(
        spec: JobSpec,
        cancelAfterUs: Micros?,
    ) {
        synchronized(lock) { rules.submitted(spec, nowUs()) }
        val connection = BalancedConnection(loadBalancer)
        submit(spec) {
            poll(spec.id, connection)
            askAnyController(spec.id)
        }
        if (cancelAfterUs != null) timer.after(cancelAfterUs) { cancel(spec.id) }
    }

    private fun submit(
        spec: JobSpec,
        then: () -> Unit,
    ) {
        val requestedUs = nowUs()
        val body = WireJson.encodeToString(JobSpec.serializer(), spec)
        sendOnce(SoakRequest("POST", "/api/jobs", body), SUBMIT_TIMEOUT) { answer ->
            count("submit", answer)
            if (answer?.status in ACCEPTED) {
                record(spec.id, answer, requestedUs)
                answeredAt.putIfAbsent(spec.id, requestedUs)
                then()
                if (random.occurs(REPEATED)) timer.after(random.seconds(1, 20)) { submit(spec) { } }
            } else {
                synchronized(lock) { rules.requestRefused(spec.id, answer?.status ?: 0) }
                timer.after(SECOND) { submit(spec, then) }
            }
        }
    }

    /** Polls as users do, on one [connection] through the load balancer. */
    private fun poll(
        id: String,
        connection: BalancedConnection,
    ) {
        val requestedUs = nowUs()
        synchronized(lock) { rules.polled(id, requestedUs) }
        connection.send("GET", "/api/jobs/$id", null, POLL_TIMEOUT) { answer ->
            count("poll", answer)
            if (answer?.status == OK) {
                synchronized(lock) { rules.pollAnswered(id) }
                answeredAt.merge(id, requestedUs, ::maxOf)
            }
            recordPoll(id, answer, requestedUs)
            timer.after(random.seconds(1, 3)) { poll(id, connection) }
        }
    }

    /** Asks a controller that the load balancer might not have chosen. */
    private fun askAnyController(id: String) {
        val requestedUs = nowUs()
        sendOnce(SoakRequest("GET", "/api/jobs/$id"), POLL_TIMEOUT) { answer ->
            count("ask", answer)
            recordPoll(id, answer, requestedUs)
            timer.after(random.seconds(1, 3)) { askAnyController(id) }
        }
    }

    private fun recordPoll(
        id: String,
        answer: SoakAnswer?,
        requestedUs: Micros,
    ) {
        when (answer?.status) {
            OK -> record(id, answer, requestedUs)
            NOT_FOUND -> synchronized(lock) { rules.jobAnswered(id, null, nowUs(), requestedUs) }
        }
    }

    private fun cancel(id: String) {
        if (!synchronized(lock) { rules.isAccepted(id) }) return timer.after(SECOND) { cancel(id) }
        synchronized(lock) { rules.cancelRequested(id) }
        val requestedUs = nowUs()
        sendOnce(SoakRequest("POST", "/api/jobs/$id/cancel", ""), SUBMIT_TIMEOUT) { answer ->
            count("cancel", answer)
            if (answer?.status == OK) record(id, answer, requestedUs) else timer.after(SECOND) { cancel(id) }
        }
    }

    /** Asks about a job that nobody has submitted. */
    fun pollUnknown(id: String) =
        sendOnce(SoakRequest("GET", "/api/jobs/$id"), POLL_TIMEOUT) { answer ->
            if (answer?.status == OK) synchronized(lock) { rules.jobAnswered(id, JobStage.QUEUED, nowUs()) }
        }

    private fun record(
        id: String,
        answer: SoakAnswer?,
        requestedUs: Micros,
    ) {
        val body = answer?.body ?: return
        val stage = WireJson.parseToJsonElement(body).jsonObject.getValue("stage")
        synchronized(lock) { rules.jobAnswered(id, WireJson.decodeFromJsonElement(JobStage.serializer(), stage), nowUs(), requestedUs) }
    }

    private fun count(
        kind: String,
        answer: SoakAnswer?,
    ) {
        answers.merge("$kind ${answer?.status ?: "none"}", 1, Int::plus)
    }

    /** Sends a request to any controller on a connection that is closed afterwards. */
    private fun sendOnce(
        request: SoakRequest,
        timeoutUs: Micros,
        then: (SoakAnswer?) -> Unit,
    ) = sockets.sendOnce(anyController(), request, timeoutUs, connectTimeoutUs = minOf(timeoutUs, SECOND), then)

    private fun anyController(): String = controllers[synchronized(random) { random.nextInt(controllers.size) }].apiAddress

    private companion object {
        const val OK = 200
        const val NOT_FOUND = 404
        val ACCEPTED = listOf(200, 201)

        /** Thousandths of submissions that are repeated after they were accepted. */
        const val REPEATED = 300
        const val SUBMIT_TIMEOUT: Micros = 5 * SECOND
        const val POLL_TIMEOUT: Micros = 2 * SECOND
    }
}
