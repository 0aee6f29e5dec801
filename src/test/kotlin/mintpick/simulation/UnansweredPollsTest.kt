package mintpick.simulation

import mintpick.core.SECOND
import mintpick.testing.measuredCosts
import mintpick.testing.playIncidentDay
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Test

/** Polls of accepted jobs at 4,000 machines, whose controllers are charged processor time for their work. */
class UnansweredPollsTest {
    /** While heartbeats were served first, polls waited behind them for longer than their users did. */
    @Test
    fun `polls are answered although heartbeats of 4,000 machines arrive at once after overlapping faults`() {
        val result =
            playIncidentDay(seed = 1, measuredCosts(share = 0.272)) { cluster ->
                cluster.state.unavailable = true
                cluster.after(20 * SECOND) { cluster.state.unavailable = false }
                cluster.after(15 * SECOND) { cluster.nodes.forEach { it.crash(3 * SECOND) } }
                cluster.after(30 * SECOND) { cluster.isolatedZone = "south" }
                cluster.after(73 * SECOND) { cluster.isolatedZone = null }
                cluster.after(74 * SECOND) { cluster.nodes.forEach { it.crash(SECOND / 3) } }
            }
        val summary = "longest ${result.longestUnansweredUs / SECOND} s, polls ${result.pollResults}, machines ${result.machines}"
        println("4,000 machines: $summary")
        assertEquals(emptyList<String>(), result.breaches.take(3), summary)
        assertEquals(0, result.discardedEffects, "effects of steps that exceeded their time limit")
    }
}
