package mintpick.sim

import mintpick.Samples
import mintpick.core.SECOND
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.TestFactory

/** Controllers that stand still for seconds or a minute and then go on, their clocks having gone on meanwhile. */
class ProcessPauseTest {
    @TestFactory
    fun `a controller that stands still costs no machine, no replica and no rule`() =
        listOf(3L, 9L, 20L, 45L, 70L).flatMap { span ->
            (81L..83L).map { seed -> DynamicTest.dynamicTest("$span s, seed $seed") { standsStill(seed, span) } }
        }

    private fun standsStill(
        seed: Long,
        span: Long,
    ) {
        val world = World(seed, FaultRates(), Size()) { Samples.settings(it) }
        (1..6).forEach { n -> world.after(n * SECOND / 2) { world.user(Samples.service(n), null) } }
        (20..60).forEach { n ->
            val spec = Samples.spec("req-%06d".format(n), team = "blue", tasks = 4, cpus = 1.0, estimateS = 8.0)
            world.after((n - 20) * 3 * SECOND) { world.user(spec, if (n % 5 == 0) 6 * SECOND else null) }
        }
        world.run(50 * SECOND)
        val machines = world.workers.keys.filterTo(HashSet()) { world.rules.attemptsOn(it).any { task -> task < "req-000007" } }
        assertTrue(machines.isNotEmpty())
        world.leader().pauseProcess(span * SECOND)
        world.run((50 + span) * SECOND)
        world.rules.calmSinceUs = world.now
        world.run((50 + span + 20) * SECOND)
        assertTrue(world.workers.keys.containsAll(machines), "machines were given up: ${machines - world.workers.keys}")
        val replicas =
            (1..6).sumOf { n ->
                world.workers.keys.sumOf { m -> world.rules.attemptsOn(m).count { it.startsWith("req-%06d/".format(n)) } }
            }
        assertEquals(12, replicas, "replicas that run")
        world.run((50 + span + 120) * SECOND)
        world.assertRulesHeld()
    }
}
