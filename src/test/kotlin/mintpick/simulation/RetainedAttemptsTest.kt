package mintpick.simulation

import kotlinx.serialization.builtins.ListSerializer
import mintpick.core.SECOND
import mintpick.testing.ClusterSize
import mintpick.testing.FaultRates
import mintpick.testing.SampleJobs
import mintpick.testing.SimulatedCluster
import mintpick.testing.assertRulesHeld
import mintpick.wire.TaskReport
import mintpick.wire.TaskState
import mintpick.wire.WireJson
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test

/** Agents keep ended attempts in their lists until their tokens are raised, which costs writes of the state store. */
class RetainedAttemptsTest {
    /** Observes the lists of all agents from the given time on. */
    private class Lists(
        private val cluster: SimulatedCluster,
    ) {
        var mostEnded = 0
        var largestHeartbeat = 0

        fun observe() {
            for (agent in cluster.agents.values) {
                val listed = agent.listedAttempts()
                mostEnded = maxOf(mostEnded, listed.count { it.state == TaskState.EXITED })
                largestHeartbeat = maxOf(largestHeartbeat, WireJson.encodeToString(ListSerializer(TaskReport.serializer()), listed).length)
            }
            cluster.after(SECOND) { observe() }
        }
    }

    private fun clusterOfShortTasks(
        seed: Long,
        machines: Int,
    ): SimulatedCluster =
        SimulatedCluster(seed, FaultRates(), ClusterSize(machines = machines)) { SampleJobs.settings(it) }.apply {
            (1..JOBS).forEach { n ->
                after(n * 2 * SECOND) { addUser(SampleJobs.spec("req-%06d".format(n), "blue", 250, cpus = 0.25, estimateS = 1.0), null) }
            }
        }

    @Test
    fun `agents list a bounded number of ended attempts, at a twentieth of the writes`() {
        val cluster = clusterOfShortTasks(seed = 1, machines = 6)
        val lists = Lists(cluster).apply { observe() }
        cluster.run(30 * SECOND)
        val claimsBefore = claimWrites(cluster)
        cluster.run(130 * SECOND)
        val raises = claimWrites(cluster) - claimsBefore
        assertTrue(cluster.rules.starts > 10_000, "${cluster.rules.starts} starts")
        assertTrue(lists.mostEnded in 1..LIST_BOUND, "${lists.mostEnded} ended attempts in a list")
        assertTrue(lists.largestHeartbeat < LIST_BYTES, "${lists.largestHeartbeat} bytes in a heartbeat")
        assertTrue(raises <= 100 * WRITES_PER_SECOND / 20, "$raises of ${cluster.state.writes} writes")
        cluster.assertRulesHeld()
    }

    @Test
    fun `nothing is forgotten and nothing overflows while the state store is out`() {
        val cluster = clusterOfShortTasks(seed = 2, machines = 6)
        val lists = Lists(cluster).apply { observe() }
        cluster.run(60 * SECOND)
        cluster.state.unavailable = true
        cluster.run(150 * SECOND)
        cluster.state.unavailable = false
        cluster.run(290 * SECOND)
        assertTrue(lists.largestHeartbeat < LIST_BYTES, "${lists.largestHeartbeat} bytes in a heartbeat")
        assertEquals(emptyList<Int>(), (1..JOBS).filterNot { cluster.rules.isComplete("req-%06d".format(it)) }, "incomplete jobs")
        cluster.assertRulesHeld()
    }

    private fun claimWrites(cluster: SimulatedCluster): Int = listOf("s", "b").sumOf { cluster.state.writesByKind[it] ?: 0 }

    private companion object {
        const val JOBS = 60
        const val WRITES_PER_SECOND = 40

        /** The limit of a heartbeat less what surrounds the list. */
        const val LIST_BYTES = 63 * 1024

        /** Retained attempts of direct starts, tasks that run on a machine, and those that end between two heartbeats. */
        const val LIST_BOUND = 128 + 2 * 64
    }
}
