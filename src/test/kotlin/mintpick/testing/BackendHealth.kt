package mintpick.testing

import mintpick.core.Micros
import mintpick.core.SECOND

/** What the platform's load balancer concludes from its health checks of one controller. */
internal class BackendHealth {
    private val recentProbes = ArrayDeque<Boolean>()
    private val removalsUs = ArrayList<Micros>()
    private var wasEverHealthy = false
    private var changedUs: Micros = 0

    /** Whether new connections go to the controller. */
    var isHealthy = false
        private set

    /** Number of times that the controller was removed. */
    val removals: Int get() = removalsUs.size

    /** Records whether the probe at [now] succeeded. */
    fun onProbe(
        succeeded: Boolean,
        now: Micros,
    ) {
        recentProbes.addLast(succeeded)
        if (recentProbes.size > RECENT_PROBES) recentProbes.removeFirst()
        if (isHealthy) removeIfFailing(now) else admitIfRecovered(now)
    }

    /** Whether connections that were open when the controller was removed are reset by [now]. */
    fun resetsConnections(now: Micros): Boolean = !isHealthy && now - changedUs >= RESET_AFTER

    /** Share of the full rate of new connections, which a controller that has become healthy gets at [now]. */
    fun rampAt(now: Micros): Double = ((now - changedUs).toDouble() / RAMP).coerceIn(MIN_RAMP, 1.0)

    private fun removeIfFailing(now: Micros) {
        val failsTwice = recentProbes.takeLast(2).none { it }
        val failsOften = recentProbes.count { !it } >= FAILURES_AMONG_RECENT
        if (!failsTwice && !failsOften) return
        isHealthy = false
        changedUs = now
        removalsUs += now
    }

    private fun admitIfRecovered(now: Micros) {
        val needed = if (wasEverHealthy) 2 else 1
        val recovers = recentProbes.size >= needed && recentProbes.takeLast(needed).all { it }
        if (!recovers || now - changedUs < pauseAt(now)) return
        isHealthy = true
        wasEverHealthy = true
        changedUs = now
        recentProbes.clear()
    }

    /** How long a removed controller stays removed: doubled by each further removal within two minutes. */
    private fun pauseAt(now: Micros): Micros {
        if (!wasEverHealthy) return 0
        val recentRemovals = removalsUs.count { now - it < REMOVAL_MEMORY }
        return minOf(MAX_PAUSE, MIN_PAUSE shl (recentRemovals - 1).coerceIn(0, MAX_DOUBLINGS))
    }

    private companion object {
        const val RECENT_PROBES = 6
        const val FAILURES_AMONG_RECENT = 3
        const val MAX_DOUBLINGS = 5
        const val MIN_RAMP = 0.1
        const val RESET_AFTER: Micros = 5 * SECOND
        const val MIN_PAUSE: Micros = 3 * SECOND
        const val MAX_PAUSE: Micros = 60 * SECOND
        const val REMOVAL_MEMORY: Micros = 120 * SECOND
        const val RAMP: Micros = 10 * SECOND
    }
}
