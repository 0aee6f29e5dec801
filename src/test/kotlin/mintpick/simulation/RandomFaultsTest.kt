package mintpick.simulation

import mintpick.testing.ClusterShape
import mintpick.testing.SEVEN_CONTROLLERS
import mintpick.testing.SampleJobs
import mintpick.testing.SimulatedStateStore
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
    fun `no rule is broken on days with two or three overlapping faults`() =
        assertNoRuleBroken(ClusterShape(), ordinaryDays = ORDINARY_DAYS)

    @Test
    fun `no rule is broken on such days with seven controllers that share few writes`() =
        assertNoRuleBroken(SEVEN_CONTROLLERS, ordinaryDays = ORDINARY_DAYS / 2)

    /** Guards against what holds for one record of a job and not for a job of several: lost tasks, jobs that never end, late outcomes. */
    @Test
    fun `no rule is broken on such days with arrays of several chunks under low limits`() =
        assertNoRuleBroken(ARRAYS_UNDER_LOW_LIMITS, ordinaryDays = ORDINARY_DAYS / 2, furtherSeeds = SEEDS_OF_OPEN_ARRAYS)

    private fun assertNoRuleBroken(
        shape: ClusterShape,
        ordinaryDays: Int,
        furtherSeeds: List<Long> = emptyList(),
    ) {
        val first = java.lang.Long.getLong("mintpick.first", 1)
        val count = Integer.getInteger("mintpick.days", ORDINARY_DAYS) * ordinaryDays / ORDINARY_DAYS
        val days =
            ((first until first + count) + furtherSeeds)
                .distinct()
                .parallelStream()
                .map { playRandomFaultDay(it, shape) }
                .toList()
        val kinds = days.flatMap { it.faults }.groupingBy { it }.eachCountTo(TreeMap())
        println("drawn days: ${days.size} from seed $first on, starts: ${days.sumOf { it.starts }}, faults: $kinds")
        val failedDays = days.filter { it.breaches.isNotEmpty() }
        assertEquals(emptyList<String>(), failedDays.map { "seed ${it.seed} with ${it.faults}: ${it.breaches}" })
    }

    private companion object {
        const val ORDINARY_DAYS = 40

        /** Days on which complete arrays once stayed open. */
        val SEEDS_OF_OPEN_ARRAYS = listOf(47L, 100L, 197L)
        val ARRAYS_UNDER_LOW_LIMITS =
            ClusterShape(
                limits = SimulatedStateStore.StateLimits(valueBytes = 2 * 1024, changes = 8, changesPerSecond = 25.0),
                hasLargeArrays = true,
            ) { index ->
                SampleJobs.withStateLimits(SampleJobs.toml(index), writesPerSecond = 25.0, valueKb = 2.0, changes = 8)
            }
    }
}
