package mintpick.simulation

import mintpick.testing.playRandomFaultDay
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Test
import java.util.TreeMap

/**
 * Short days on which two or three faults meet, drawn by fixed seeds; every rule is checked throughout. The ordinary test
 * run plays a few of them; `mvn test -Pexplore` plays hundreds, or as many as `-Dmintpick.days=` says, from the seed
 * `-Dmintpick.first=` on.
 */
class RandomFaultsTest {
    @Test
    fun `no rule breaks on days on which two or three faults meet`() {
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
        val broken = days.filter { it.breaches.isNotEmpty() }
        assertEquals(emptyList<String>(), broken.map { "seed ${it.seed} with ${it.faults}: ${it.breaches}" })
    }

    private companion object {
        const val ORDINARY_DAYS = 40
    }
}
