package mintpick.simulation

import mintpick.testing.FleetCosts
import mintpick.testing.FleetLimits
import mintpick.testing.playLargeFleetDay
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test

/** Fleets of thousands of machines on the smallest state services that are named. */
class LargeFleetTest {
    /**
     * With a single record for each part, machines beyond some 330 in a part were never listed and so never used.
     */
    @Test
    fun `four thousand machines are listed and served, at the cost for each start of a thousand`() {
        val limits = FleetLimits(valueKb = 16, changesPerSecond = 25.0)
        assertSameCosts(playLargeFleetDay(1000, limits), playLargeFleetDay(4000, limits))
    }

    /** As they are after an upgrade: an eighth of the value, a third of the changes in a transaction. */
    @Test
    fun `four thousand machines are listed and served under lowered limits, at the cost for each start of a thousand`() {
        val limits = FleetLimits(valueKb = 2, changesPerSecond = 18.0, changes = 5)
        assertSameCosts(playLargeFleetDay(1000, limits), playLargeFleetDay(4000, limits))
    }

    private fun assertSameCosts(
        thousand: FleetCosts,
        full: FleetCosts,
    ) {
        assertTrue(full.writes < thousand.writes * 1.2, "${full.writes} writes a start, ${thousand.writes} with a thousand")
        assertTrue(full.calls < thousand.calls * 1.2, "${full.calls} calls a start, ${thousand.calls} with a thousand")
        assertTrue(full.events < thousand.events * 1.2, "${full.events} events a start, ${thousand.events} with a thousand")
    }
}
