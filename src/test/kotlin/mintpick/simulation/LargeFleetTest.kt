package mintpick.simulation

import mintpick.testing.FleetCosts
import mintpick.testing.FleetLimits
import mintpick.testing.playLargeFleetDay
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test

/** Fleets of thousands of machines with the lowest specified limits of the state store. */
class LargeFleetTest {
    /** With a single record per shard, machines beyond about 330 in a shard were never listed and therefore never used. */
    @Test
    fun `four thousand machines are listed and served, at the same cost per task start as one thousand`() {
        val limits = FleetLimits(valueKb = 16, changesPerSecond = 25.0)
        assertCostsDoNotGrow(playLargeFleetDay(1000, limits), playLargeFleetDay(4000, limits))
    }

    /** The limits after an upgrade of the state store: an eighth of the value size and a third of the changes per transaction. */
    @Test
    fun `four thousand machines are listed and served under lowered limits, at the same cost per task start as one thousand`() {
        val limits = FleetLimits(valueKb = 2, changesPerSecond = 18.0, changes = 5)
        assertCostsDoNotGrow(playLargeFleetDay(1000, limits), playLargeFleetDay(4000, limits))
    }

    private fun assertCostsDoNotGrow(
        thousand: FleetCosts,
        fourThousand: FleetCosts,
    ) {
        assertTrue(fourThousand.writes < thousand.writes * 1.2, "${fourThousand.writes} writes per start, ${thousand.writes} with 1000")
        assertTrue(fourThousand.calls < thousand.calls * 1.2, "${fourThousand.calls} calls per start, ${thousand.calls} with 1000")
        assertTrue(fourThousand.events < thousand.events * 1.2, "${fourThousand.events} events per start, ${thousand.events} with 1000")
    }
}
