package mintpick.testing

import mintpick.core.SECOND

/** Simulates the platform's load balancer: health checks, and the choice of a controller for each new connection of a user. */
internal class LoadBalancer(
    private val cluster: SimulatedCluster,
) {
    private class Backend(
        val node: SimulatedCluster.Node,
    ) {
        val health = BackendHealth()
        val connections = HashSet<UserConnection>()
    }

    private val backends = cluster.nodes.map(::Backend)

    /** Starts the health checks. */
    fun start() = probeLoop()

    /** Opens a connection to the healthy controller with the fewest connections; null if there is none. */
    fun connect(): UserConnection? {
        val reachable = backends.filter { it.health.isHealthy && it.node.engine != null && it.node.settings.zone != cluster.isolatedZone }
        val chosen = reachable.minByOrNull { it.connections.size } ?: return null
        return UserConnection(chosen.node).also { chosen.connections += it }
    }

    /** Closes [connection]. */
    fun close(connection: UserConnection) {
        connection.isOpen = false
        backends.forEach { it.connections -= connection }
    }

    private fun probeLoop() {
        backends.forEach(::probe)
        cluster.after(SECOND) { probeLoop() }
    }

    private fun probe(backend: Backend) {
        val isReachable = backend.node.engine != null && backend.node.settings.zone != cluster.isolatedZone
        if (backend.node.engine == null) closeAll(backend)
        backend.health.onProbe(isReachable && backend.node.isUp, cluster.now)
        if (backend.health.resetsConnections(cluster.now)) closeAll(backend)
    }

    private fun closeAll(backend: Backend) {
        backend.connections.forEach { it.isOpen = false }
        backend.connections.clear()
    }
}

/** A user's connection to [node], kept open between requests. */
internal class UserConnection(
    val node: SimulatedCluster.Node,
) {
    var isOpen = true
}
