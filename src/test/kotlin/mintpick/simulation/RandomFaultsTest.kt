package mintpick.simulation

import mintpick.testing.playRandomFaultDay
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Test
import java.util.TreeMap

/**
 * Simulates short days with two or three overlapping faults, chosen at random from fixed seeds, and checks every rule throughout.
 * The ordinary test run simulates [ORDINARY_DAYS] of them. `mvn test -Pexplore` simulates hundreds, or as many as
 * `-Dmintpick.days=` sets, starting at the seed `-Dmintpick.first=`.
 */
class RandomFaultsTest {
    @Test
    fun `no rule is broken on days with two or three overlapping faults`() {
        val first = java.lang.Long.getLong("mintpick.first", 1)
        val count = Integer.getInteger("mintpick.days", ORDINARY_DAYS)
        val days =
            (first until first + count)
                .toList()
                .parallelStream()
                .map { playRandomFaultDay(it) }
                .toList()
        val kinds = days.flatMap { it.faults }.groupingBy { it }.eachCountTo(TreeMap())
        println("drawn days: ${days.size} from seed $first on, starts: ${days.sumOf { it.starts }}, faults: $kinds")
        val failedDays = days.filter { it.breaches.isNotEmpty() }
        assertEquals(emptyList<String>(), failedDays.map { "seed ${it.seed} with ${it.faults}: ${it.breaches}" })
    }

    private companion object {
        const val ORDINARY_DAYS = 40
    }
}
