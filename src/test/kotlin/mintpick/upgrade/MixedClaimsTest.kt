package mintpick.upgrade

import mintpick.config.Operators
import mintpick.engine.Engine
import mintpick.testing.BorrowBeforeOutage
import mintpick.testing.SampleJobs
import mintpick.testing.SimulatedCluster
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test

/**
 * Borrowings while the version in production, which claims shards without having read their borrowings, runs beside the present
 * version. A task runs once if its borrower or the owner of its shard is of the present version.
 */
class MixedClaimsTest {
    private class MixedDay(
        val seed: Long,
        val present: Set<Int>,
        val play: BorrowBeforeOutage,
    ) {
        fun isPresent(node: SimulatedCluster.Node?): Boolean = node?.index in present

        val ranTwice: List<String> get() =
            play.cluster.rules.breaches
                .filter { it.startsWith("ran_twice") }
                .distinct()
                .take(2)

        override fun toString() = "seed $seed, nodes $present of the present version: $ranTwice"
    }

    private fun play(
        seed: Long,
        endingClaim: BorrowBeforeOutage.EndingClaim,
        present: Set<Int>,
    ): MixedDay {
        val day = BorrowBeforeOutage(seed, endingClaim)
        day.cluster.rules.checksRemovals = false
        day.cluster.controllerFactory = { node ->
            val random = day.cluster.random.split()
            if (node.index in present) {
                SimulatedCluster.Controller(Engine(node.settings, Operators(), random)::step)
            } else {
                VersionedEngine(Production.version, SampleJobs.toml(node.index), random)
            }
        }
        day.play()
        return MixedDay(seed, present, day)
    }

    private fun days(
        endingClaim: BorrowBeforeOutage.EndingClaim,
        versions: List<Set<Int>>,
    ): List<MixedDay> = SEEDS.flatMap { seed -> versions.map { play(seed, endingClaim, it) } }

    private fun assertRanOnce(days: List<MixedDay>) {
        assertTrue(days.size >= MIN_DAYS, "${days.size} days with this pair of versions")
        assertEquals(emptyList<String>(), days.filter { it.ranTwice.isNotEmpty() }.map { "$it" })
    }

    @Test
    fun `a borrower of the present version requeues nothing that an owner of the earlier one may keep`() =
        assertRanOnce(
            BorrowBeforeOutage.EndingClaim.entries
                .flatMap { days(it, SINGLE) }
                .filter { it.isPresent(it.play.borrower) && it.play.owner != null },
        )

    @Test
    fun `an owner of the present version obtains no token above that of a borrower of the earlier one`() =
        assertRanOnce(
            days(BorrowBeforeOutage.EndingClaim.OF_OWNER, PAIRS)
                .filter { it.isPresent(it.play.owner) && it.play.borrower != null && !it.isPresent(it.play.borrower) },
        )

    private companion object {
        val SEEDS = 1L..12L
        val SINGLE = listOf(setOf(0), setOf(1), setOf(2))
        val PAIRS = listOf(setOf(0, 1), setOf(0, 2), setOf(1, 2))
        const val MIN_DAYS = 5
    }
}
