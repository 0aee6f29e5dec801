package mintpick.core

import mintpick.testing.SampleJobs
import mintpick.wire.JobKind
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import java.util.SplittableRandom

class FairShareTest {
    private fun randomTree(
        random: SplittableRandom,
        depth: Int,
        prefix: String,
    ): ShareNode =
        if (depth == 0 || random.nextInt(3) == 0) {
            ShareNode.Team(prefix, 0.5 + random.nextDouble() * 4)
        } else {
            val children = List(1 + random.nextInt(3)) { randomTree(random, depth - 1, "$prefix.$it") }
            ShareNode.Group(prefix, 0.5 + random.nextDouble() * 4, children)
        }

    @Test
    fun `at every level the branch with the lowest ratio of usage to weight comes first`() {
        val random = SplittableRandom(3)
        repeat(300) {
            val root = ShareNode.Group("root", 1.0, List(3) { randomTree(random, 3, "t$it") })
            val tree = ShareTree(root)
            val use = root.teams().associateWith { random.nextDouble() * 100 }
            // Independent descent level by level, which must find the team that the comparison puts first.
            var node: ShareNode = root
            while (node is ShareNode.Group) {
                node = node.children.minBy { child -> child.teams().sumOf(use::getValue) / child.weight }
            }
            val first = root.teams().sortedWith { a, b -> tree.compare(a, b, use::getValue) }.first()
            assertEquals(node.name, first)
        }
    }

    @Test
    fun `usage older than the window expires`() {
        val window = UsageWindow(600 * SECOND, 60 * SECOND)
        window.add("a", 5.0, 0)
        window.add("a", 3.0, 500 * SECOND)
        window.expire(590 * SECOND)
        assertEquals(8.0, window.usageOf("a"))
        window.expire(700 * SECOND)
        assertEquals(3.0, window.usageOf("a"))
    }

    @Test
    fun `a guarantee funds the earliest jobs that fit into it together`() {
        val random = SplittableRandom(5)
        repeat(300) {
            val guarantee = Resources(random.nextInt(1, 64).toDouble(), 0.0, 0.0)
            val jobs = List(random.nextInt(1, 8)) { UnfinishedJob(JobId("req-$it"), Resources(random.nextInt(1, 20).toDouble(), 0.0, 9.0)) }
            val funded = FundingPolicy.fundedJobs(guarantee, jobs)
            assertTrue(jobs.filter { it.id in funded }.sumOf { it.demand.cpus } <= guarantee.cpus)
            assertEquals(jobs.take(funded.size).map { it.id }.toSet(), funded, "only a prefix is funded")
            jobs.getOrNull(funded.size)?.let { next ->
                assertTrue(jobs.take(funded.size).sumOf { it.demand.cpus } + next.demand.cpus > guarantee.cpus)
            }
        }
        assertEquals(
            emptySet<JobId>(),
            FundingPolicy.fundedJobs(Resources.ZERO, listOf(UnfinishedJob(JobId("req-1"), Resources(1.0, 0.0, 0.0)))),
        )
    }

    @Test
    fun `a minimum runtime is never below the image fetch nor above the cap`() {
        val cap = 600 * SECOND
        assertEquals(10 * SECOND, FundingPolicy.minimumRuntime(SampleJobs.spec(estimateS = 10.0), 2 * SECOND, cap))
        assertEquals(20 * SECOND, FundingPolicy.minimumRuntime(SampleJobs.spec(estimateS = 10.0), 20 * SECOND, cap))
        assertEquals(cap, FundingPolicy.minimumRuntime(SampleJobs.spec(estimateS = 9000.0), SECOND, cap))
        assertEquals(cap, FundingPolicy.minimumRuntime(SampleJobs.spec(kind = JobKind.SERVICE), SECOND, cap))
    }
}
