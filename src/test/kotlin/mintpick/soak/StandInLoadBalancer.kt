package mintpick.soak

import mintpick.core.MILLI
import mintpick.core.Micros
import mintpick.core.SECOND
import mintpick.testing.BackendHealth
import java.util.concurrent.ScheduledExecutorService

/**
 * The platform's load balancer: probes each controller on a connection of its own, and chooses a healthy one for each new connection of a
 * user. Connections of a controller that stays unhealthy are reset.
 */
internal class StandInLoadBalancer(
    controllers: List<ControllerProcess>,
    private val sockets: SocketClient,
    private val timer: ScheduledExecutorService,
    private val nowUs: () -> Micros,
) {
    private class Backend(
        val controller: ControllerProcess,
    ) {
        val health = BackendHealth()
        val connections = HashSet<SocketConnection>()
        var failuresInRow = 0
        var skippedUntilUs: Micros = 0

        /** Open connections in proportion to the controller's present share. */
        fun loadAt(now: Micros): Double = (connections.size + 1) / health.rampAt(now)
    }

    private val backends = controllers.map(::Backend)

    /** How often each controller was removed because its probes failed. */
    val removals: Map<String, Int> @Synchronized get() = backends.associate { it.controller.node to it.health.removals }

    /** Starts the probes. */
    fun start() = probeLoop()

    /** Opens a connection to a healthy controller; [then] receives null if three of them don't accept one, or none is healthy. */
    fun connect(then: (SocketConnection?) -> Unit) = tryNext(emptySet(), then)

    private fun tryNext(
        tried: Set<Backend>,
        then: (SocketConnection?) -> Unit,
    ) {
        val chosen = if (tried.size == MAX_TRIES) null else choose(tried)
        if (chosen == null) return then(null)
        sockets.connect(chosen.controller.apiAddress, MAX_ACCEPT_TIME) { connection ->
            recordConnect(chosen, connection)
            if (connection == null) tryNext(tried + chosen, then) else then(connection)
        }
    }

    @Synchronized
    private fun choose(tried: Set<Backend>): Backend? {
        val now = nowUs()
        return backends.filter { it.health.isHealthy && it !in tried && it.skippedUntilUs <= now }.minByOrNull { it.loadAt(now) }
    }

    @Synchronized
    private fun recordConnect(
        backend: Backend,
        connection: SocketConnection?,
    ) {
        if (connection != null) {
            backend.failuresInRow = 0
            backend.connections += connection
        } else if (++backend.failuresInRow == MAX_TRIES) {
            backend.failuresInRow = 0
            backend.skippedUntilUs = nowUs() + SKIP_TIME
        }
    }

    private fun probeLoop() {
        backends.forEach(::probe)
        timer.after(SECOND) { probeLoop() }
    }

    private fun probe(backend: Backend) =
        sockets.sendOnce(backend.controller.apiAddress, SoakRequest("GET", "/up"), PROBE_TIMEOUT) { answer ->
            recordProbe(backend, succeeded = answer?.status == OK)
        }

    @Synchronized
    private fun recordProbe(
        backend: Backend,
        succeeded: Boolean,
    ) {
        backend.health.onProbe(succeeded, nowUs())
        backend.connections.removeIf { !it.isOpen }
        if (!backend.health.resetsConnections(nowUs())) return
        backend.connections.forEach { it.close() }
        backend.connections.clear()
    }

    private companion object {
        const val OK = 200
        const val MAX_TRIES = 3
        const val MAX_ACCEPT_TIME: Micros = 500 * MILLI
        const val PROBE_TIMEOUT: Micros = SECOND
        const val SKIP_TIME: Micros = 3 * SECOND
    }
}

/** The connection of one user through [loadBalancer], kept until either side closes it. Used for one request at a time. */
internal class BalancedConnection(
    private val loadBalancer: StandInLoadBalancer,
) {
    private var connection: SocketConnection? = null

    /** Sends a request; [then] receives the answer, or null if there is none within [timeoutUs] or no controller can be reached. */
    fun send(
        method: String,
        path: String,
        body: String?,
        timeoutUs: Micros,
        then: (SoakAnswer?) -> Unit,
    ) {
        val open = connection?.takeIf { it.isOpen }
        if (open != null) return open.send(method, path, body, timeoutUs, then)
        loadBalancer.connect { opened ->
            connection = opened
            if (opened == null) then(null) else opened.send(method, path, body, timeoutUs, then)
        }
    }
}
