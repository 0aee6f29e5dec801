package mintpick.dependencies

import io.kotest.property.Arb
import io.kotest.property.PropTestConfig
import io.kotest.property.arbitrary.int
import io.kotest.property.arbitrary.long
import io.kotest.property.checkAll
import kotlinx.coroutines.runBlocking
import mintpick.core.JobId
import mintpick.core.SECOND
import mintpick.wire.Priority
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Test
import java.util.SplittableRandom

class DependencyGraphTest {
    private fun id(n: Int) = JobId("req-%06d".format(n))

    private val config = PropTestConfig(seed = 31, iterations = 200)

    /** The expected readiness of [job], computed recursively from all edges and final states. */
    private fun expected(
        job: Int,
        edges: Map<Int, Set<Int>>,
        finalStates: Map<Int, PredecessorState>,
        known: Set<Int>,
    ): Readiness {
        val predecessors = edges[job].orEmpty()
        val isCancelled = { n: Int ->
            finalStates[n] == PredecessorState.CANCELLED ||
                (n in known && expected(n, edges, finalStates, known) == Readiness.CANCELLED)
        }
        return when {
            predecessors.any(isCancelled) -> Readiness.CANCELLED
            predecessors.all { finalStates[it] == PredecessorState.DONE } -> Readiness.READY
            else -> Readiness.WAITING
        }
    }

    /**
     * Records become known in any order, because they come from pages of a snapshot and from the watch. After each one, the
     * readiness of all jobs must equal a computation from scratch.
     */
    @Test
    fun `readiness does not depend on the order in which records become known`(): Unit =
        runBlocking {
            checkAll(config, Arb.int(2..24), Arb.long()) { count, seed ->
                val random = SplittableRandom(seed)
                val edges = (0 until count).associateWith { n -> (0 until n).filter { random.nextInt(4) == 0 }.toSet() }
                val graph = DependencyGraph()
                val known = HashSet<Int>()
                val finalStates = HashMap<Int, PredecessorState>()
                val stateOf = { job: JobId ->
                    val n = job.text.takeLast(6).toInt()
                    finalStates[n]
                        ?: if (graph.readiness(job) == Readiness.CANCELLED) PredecessorState.CANCELLED else PredecessorState.PENDING
                }
                (0 until count).shuffled(java.util.Random(seed)).forEach { n ->
                    if (random.nextInt(3) == 0) {
                        // The job has ended before the graph sees it waiting.
                        val canEnd = edges.getValue(n).all { finalStates[it] == PredecessorState.DONE }
                        finalStates[n] = if (canEnd && random.nextBoolean()) PredecessorState.DONE else PredecessorState.CANCELLED
                        if (finalStates[n] == PredecessorState.DONE) graph.markDone(id(n)) else graph.markCancelled(id(n))
                    } else {
                        known += n
                        val readiness = graph.add(id(n), edges.getValue(n).map { id(it).text }, stateOf)
                        if (readiness == Readiness.CANCELLED) graph.markCancelled(id(n))
                    }
                    known.forEach { assertEquals(expected(it, edges, finalStates, known), graph.readiness(id(it)), "job $it") }
                    assertEquals(known.count { expected(it, edges, finalStates, known) == Readiness.WAITING }, graph.waitingCount)
                }
                known.toList().forEach { graph.remove(id(it)) }
                assertEquals(0, graph.waitingCount)
            }
        }

    @Test
    fun `a cancellation propagates along a chain of thousands of jobs without recursion and returns each job once`() {
        val graph = DependencyGraph()
        val pending = { _: JobId -> PredecessorState.PENDING }
        (1..20_000).forEach { graph.add(id(it), listOf(id(it - 1).text), pending) }
        assertEquals((1..20_000).map(::id), graph.markCancelled(id(0)))
        assertEquals(emptyList<JobId>(), graph.markCancelled(id(0)))
        val paths = CriticalPaths(graph) { JobRequirements(Priority.LOW, if (it == id(20_000)) 30_000 * SECOND else null, SECOND) }
        assertEquals(Urgency(Priority.LOW, 9_999 * SECOND), paths.urgency(id(0)))
    }

    @Test
    fun `a job inherits the highest priority of its successors and starts in time for the longest path to a deadline`() {
        val graph = DependencyGraph()
        val pending = { _: JobId -> PredecessorState.PENDING }
        graph.add(id(1), listOf(id(0).text), pending)
        graph.add(id(2), listOf(id(0).text), pending)
        graph.add(id(3), listOf(id(1).text, id(2).text), pending)
        val runs = mapOf(0 to 10L, 1 to 25L, 2 to 60L, 3 to 5L)
        val paths =
            CriticalPaths(graph) {
                val n = it.text.takeLast(6).toInt()
                JobRequirements(if (n == 3) Priority.HIGH else Priority.LOW, if (n == 3) 200 * SECOND else null, runs.getValue(n) * SECOND)
            }
        assertEquals(Urgency(Priority.HIGH, 195 * SECOND), paths.urgency(id(3)))
        assertEquals(Urgency(Priority.HIGH, 170 * SECOND), paths.urgency(id(1)))
        assertEquals(Urgency(Priority.HIGH, 125 * SECOND), paths.urgency(id(0)))
    }
}
