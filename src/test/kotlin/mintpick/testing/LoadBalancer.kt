package mintpick.testing

import mintpick.core.Micros
import mintpick.core.SECOND

/** Simulates the platform's load balancer: health checks, and the choice of a controller for each new connection of a user. */
internal class LoadBalancer(
    private val cluster: SimulatedCluster,
) {
    /** What the load balancer knows about one controller. */
    private class Backend(
        val node: SimulatedCluster.Node,
    ) {
        var isHealthy = false
        var wasEverHealthy = false
        val recentProbes = ArrayDeque<Boolean>()
        var unhealthySinceUs: Micros = 0
        val removalsUs = ArrayList<Micros>()
        val connections = HashSet<UserConnection>()
    }

    private val backends = cluster.nodes.map(::Backend)

    /** Starts the health checks. */
    fun start() = probeLoop()

    /** Opens a connection to the healthy controller with the fewest connections; null if there is none. */
    fun connect(): UserConnection? {
        val reachable = backends.filter { it.isHealthy && it.node.engine != null && it.node.settings.zone != cluster.isolatedZone }
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
        backend.recentProbes.addLast(isReachable && backend.node.isUp)
        if (backend.recentProbes.size > RECENT_PROBES) backend.recentProbes.removeFirst()
        if (backend.isHealthy) removeIfFailing(backend) else admitIfRecovered(backend)
        val isLongUnhealthy = !backend.isHealthy && cluster.now - backend.unhealthySinceUs >= RESET_AFTER
        if (isLongUnhealthy) closeAll(backend)
    }

    private fun removeIfFailing(backend: Backend) {
        val failsTwice = backend.recentProbes.takeLast(2).none { it }
        val failsOften = backend.recentProbes.count { !it } >= FAILURES_AMONG_RECENT
        if (!failsTwice && !failsOften) return
        backend.isHealthy = false
        backend.unhealthySinceUs = cluster.now
        backend.removalsUs += cluster.now
    }

    private fun admitIfRecovered(backend: Backend) {
        val needed = if (backend.wasEverHealthy) 2 else 1
        val recovers = backend.recentProbes.size >= needed && backend.recentProbes.takeLast(needed).all { it }
        if (!recovers || cluster.now - backend.unhealthySinceUs < pauseOf(backend)) return
        backend.isHealthy = true
        backend.wasEverHealthy = true
        backend.recentProbes.clear()
    }

    /** How long a removed controller stays removed: doubled by each further removal within two minutes. */
    private fun pauseOf(backend: Backend): Micros {
        if (!backend.wasEverHealthy) return 0
        val recentRemovals = backend.removalsUs.count { cluster.now - it < REMOVAL_MEMORY }
        return minOf(MAX_PAUSE, MIN_PAUSE shl (recentRemovals - 1).coerceIn(0, MAX_DOUBLINGS))
    }

    private fun closeAll(backend: Backend) {
        backend.connections.forEach { it.isOpen = false }
        backend.connections.clear()
    }

    private companion object {
        const val RECENT_PROBES = 6
        const val FAILURES_AMONG_RECENT = 3
        const val MAX_DOUBLINGS = 5
        const val RESET_AFTER: Micros = 5 * SECOND
        const val MIN_PAUSE: Micros = 3 * SECOND
        const val MAX_PAUSE: Micros = 60 * SECOND
        const val REMOVAL_MEMORY: Micros = 120 * SECOND
    }
}

/** A user's connection to [node], kept open between requests. */
internal class UserConnection(
    val node: SimulatedCluster.Node,
) {
    var isOpen = true
}
