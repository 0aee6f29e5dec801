package mintpick.simulation

import mintpick.testing.CommitKind
import mintpick.testing.FaultPoint
import mintpick.testing.FaultPointResult
import mintpick.testing.FollowUp
import mintpick.testing.playFaultPoint
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test

/**
 * Faults in the instant before or after a commit of each kind: all pairs that [FaultPoint.ALL] lists, each at a drawn commit of its
 * kind. The ordinary test run plays a fixed sample. `-Dmintpick.pairs=all` plays every pair, `-Dmintpick.pair=` one of them by its
 * number, and `-Dmintpick.first=` sets the seed, which also chooses the commit.
 */
class FaultPointsTest {
    private val seed = java.lang.Long.getLong("mintpick.first", 1)

    private fun chosen(): List<FaultPoint> {
        val number = Integer.getInteger("mintpick.pair")
        return when {
            number != null -> listOf(FaultPoint.ALL[number])
            System.getProperty("mintpick.pairs") == "all" -> FaultPoint.ALL
            else -> FaultPoint.ALL.filter { it.number % SAMPLE_STEP == 0 || it.isStaleClaim() }
        }
    }

    /** Whether controllers act on old records around a commit that changes who holds a token. */
    private fun FaultPoint.isStaleClaim(): Boolean =
        kind in setOf(CommitKind.TOKEN_RAISE, CommitKind.BORROWING, CommitKind.LEADERSHIP) &&
            followUp in setOf(FollowUp.OTHERS_READ_LATE, FollowUp.OTHERS_READ_LATE_THEN_STORE_OUT)

    private fun play(
        points: List<FaultPoint>,
        controllers: Int,
    ): List<FaultPointResult> = points.parallelStream().map { playFaultPoint(it, seed, controllers) }.toList()

    private fun assertNoRuleBroken(results: List<FaultPointResult>) {
        val notMet = results.filterNot { it.isMet }
        println("fault points: ${results.size} played, ${results.size - notMet.size} met, not met: ${notMet.map { it.point }}")
        assertTrue(notMet.size * 2 < results.size, "most pairs are met")
        assertEquals(emptyList<String>(), results.filter { it.breaches.isNotEmpty() }.map { "${it.point}, seed $seed: ${it.breaches}" })
    }

    private fun assertEveryKindMet(results: List<FaultPointResult>) {
        val kindsNotMet = results.groupBy { it.point.kind }.filterValues { sameKind -> sameKind.none { it.isMet } }
        assertEquals(emptySet<CommitKind>(), kindsNotMet.keys, "kinds of commits at which no fault was injected")
    }

    @Test
    fun `no rule is broken by a fault in the instant of a commit`() {
        val results = play(chosen(), controllers = 3)
        assertNoRuleBroken(results)
        assertEveryKindMet(results)
    }

    @Test
    fun `no rule is broken by such a fault with seven controllers`() =
        assertNoRuleBroken(play(chosen().filterIndexed { i, _ -> i % SEVEN_CONTROLLERS_STEP == 0 }, controllers = 7))

    private companion object {
        const val SAMPLE_STEP = 7
        const val SEVEN_CONTROLLERS_STEP = 4
    }
}
