package mintpick.testing

import kotlinx.serialization.json.jsonObject
import mintpick.core.MemoryBudget
import mintpick.core.Micros
import mintpick.core.SECOND
import mintpick.users.ConnectionLimits
import mintpick.users.Routes
import mintpick.wire.JobSpec
import mintpick.wire.JobStage
import mintpick.wire.WireJson
import org.http4k.core.MemoryBody
import org.http4k.core.Method
import org.http4k.core.Request
import org.http4k.core.Response

/** The model has no connections to count. */
internal val NO_CONNECTION_LIMITS = ConnectionLimits(Int.MAX_VALUE, Int.MAX_VALUE, Int.MAX_VALUE, SECOND)

/**
 * Simulates users who reach the controllers through the load balancer. Each keeps a connection open until an answer does not come in
 * time or the other side closes it. Users submit until accepted and then poll, waiting for each answer as long as the platform's do.
 */
internal class ConnectedUsers(
    private val cluster: SimulatedCluster,
    private val loadBalancer: LoadBalancer,
) {
    private val rules get() = cluster.rules
    private val routes =
        cluster.nodes.associateWith { node ->
            Routes({ node.deliver(it) }, { node.isUp }, MAX_PENDING_USER_REQUESTS, NO_CONNECTION_LIMITS, MemoryBudget()) { cluster.now }
        }

    /** Polls by result: the status of the answer, or a word for the lack of one. */
    val pollResults = sortedMapOf<String, Int>()

    private inner class User(
        val spec: JobSpec,
    ) {
        private var connection: UserConnection? = null

        fun submit() {
            send("submit", SUBMIT_TIMEOUT, submission()) { response ->
                if (response != null && response.status.code in ACCEPTED) {
                    record(response)
                    cluster.after(cluster.random.nextLong(POLL_INTERVAL)) { poll() }
                } else {
                    cluster.after(SECOND) { submit() }
                }
            }
        }

        private fun submission() = Request(Method.POST, "/api/jobs").body(MemoryBody(WireJson.encodeToString(JobSpec.serializer(), spec)))

        private fun poll() {
            if (rules.isFinal(spec.id)) return
            rules.polled(spec.id, cluster.now)
            send("poll", POLL_TIMEOUT, Request(Method.GET, "/api/jobs/${spec.id}")) { response ->
                pollResults.merge(response?.status?.code?.toString() ?: "none", 1, Int::plus)
                if (response?.status?.code == OK) {
                    rules.pollAnswered(spec.id)
                    record(response)
                }
                cluster.after(POLL_INTERVAL) { poll() }
            }
        }

        private fun record(response: Response) {
            val stage = WireJson.parseToJsonElement(response.bodyString()).jsonObject.getValue("stage")
            rules.jobAnswered(spec.id, WireJson.decodeFromJsonElement(JobStage.serializer(), stage), cluster.now)
        }

        /** Sends [request]; [then] receives the response, or null after [timeout] or without a connection. */
        private fun send(
            kind: String,
            timeout: Micros,
            request: Request,
            then: (Response?) -> Unit,
        ) {
            val open = connection?.takeIf { it.isOpen } ?: loadBalancer.connect()
            connection = open
            if (open == null) {
                if (kind == "poll") pollResults.merge("no controller", 1, Int::plus)
                return then(null)
            }
            var isPending = true
            cluster.after(timeout) {
                if (isPending) {
                    isPending = false
                    loadBalancer.close(open)
                    then(null)
                }
            }
            cluster.after(cluster.networkDelay()) {
                routes.getValue(open.node).api(request) { response ->
                    cluster.after(cluster.networkDelay()) {
                        if (isPending && open.isOpen) {
                            isPending = false
                            if (response.header("Connection") == "close") loadBalancer.close(open)
                            then(response)
                        }
                    }
                }
            }
        }
    }

    /** Adds a user who submits [spec] and polls it. */
    fun add(spec: JobSpec) {
        rules.submitted(spec, cluster.now)
        User(spec).submit()
    }

    private companion object {
        const val OK = 200
        val ACCEPTED = listOf(200, 201)
        const val MAX_PENDING_USER_REQUESTS = 225
        const val SUBMIT_TIMEOUT: Micros = 5 * SECOND
        const val POLL_TIMEOUT: Micros = 2 * SECOND
        const val POLL_INTERVAL: Micros = 5 * SECOND
    }
}
