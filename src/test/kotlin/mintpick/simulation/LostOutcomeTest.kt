package mintpick.simulation

import mintpick.core.MILLI
import mintpick.core.SECOND
import mintpick.net.Call
import mintpick.testing.FaultRates
import mintpick.testing.SampleJobs
import mintpick.testing.SimulatedCluster
import mintpick.testing.assertRulesHeld
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.TestFactory

/** Outcomes of single calls that never reach the engine. */
class LostOutcomeTest {
    /** A controller that waited for the outcome of a catch-up for ever answered no poll, while its health check succeeded. */
    @TestFactory
    fun `a controller goes on after the outcome of a call was lost`() =
        CALLS.map { (name, matches) ->
            DynamicTest.dynamicTest(name) {
                val cluster = SimulatedCluster(7, FaultRates()) { SampleJobs.settings(it) }
                (1..12).forEach { n ->
                    val spec = SampleJobs.spec("req-%06d".format(n), team = "blue", estimateS = 200.0)
                    cluster.after(n * SECOND) { cluster.addUser(spec, null) }
                }
                val lost = HashSet<String>()
                cluster.after(20 * SECOND) {
                    cluster.losesOutcome = { node, call -> matches(call) && lost.add(node.name) }
                }
                if (name == "snapshot page") cluster.after(20 * SECOND + MILLI) { cluster.nodes.forEach { it.crash(SECOND) } }
                cluster.run(40 * SECOND)
                cluster.rules.faultsOverAtUs = cluster.now
                assertEquals(cluster.nodes.size, lost.size)
                cluster.run(160 * SECOND)
                cluster.assertRulesHeld()
            }
        }

    private companion object {
        val CALLS: List<Pair<String, (Call) -> Boolean>> =
            listOf(
                "catch-up" to { call -> call.path.startsWith("/follow") && call.path.endsWith("wait_ms=0") },
                "watch" to { call -> call.path.startsWith("/follow") && !call.path.endsWith("wait_ms=0") },
                "renewal" to { call -> call.path.endsWith("/touch") },
                "transaction" to { call -> call.path == "/multi" },
                "snapshot page" to { call -> call.path.startsWith("/keys?") },
            )
    }
}
