package mintpick.sim

import mintpick.Samples
import mintpick.core.MILLI
import mintpick.core.SECOND
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertNotEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.TestFactory

/** Machines that boot at once meet writes that lag and the end of the leader. */
class QuickBootTest {
    /** Machines are up within two seconds and get work while writes are carried out late, and the leader ends. */
    @TestFactory
    fun `machines that are up at once finish their work while writes lag and the leader ends`() =
        (41L..46L).map { seed ->
            DynamicTest.dynamicTest("seed $seed") {
                val world = World(seed, FaultRates(), Size(machines = 12, boots = SECOND..2 * SECOND)) { Samples.settings(it) }
                world.run(20 * SECOND)
                val before = world.workers.keys.toSet()
                world.stateTroubles.lost = 250
                val jobs = (1..16).map { n -> Samples.spec("req-%06d".format(n), "blue", 2, cpus = 3.0, estimateS = 8.0) }
                jobs.forEachIndexed { n, job -> world.after(n * SECOND / 8) { world.user(job, null) } }
                val leader = world.leader()
                world.after(4 * SECOND) { leader.crash(12 * SECOND) }
                val given = HashSet<String>()
                (1..60).forEach { n ->
                    world.after(n * 250 * MILLI) {
                        given += world.rules.running.values
                            .map { it.machine } - before
                    }
                }
                world.run(36 * SECOND)
                val next = world.leader()
                world.stateTroubles.lost = 0
                world.rules.calmSinceUs = world.now + 12 * SECOND
                world.run(90 * SECOND)
                assertTrue(given.isNotEmpty(), "no new machine got work")
                assertTrue(world.stateTroubles.carriedOut().isNotEmpty(), "no write was carried out late")
                assertNotEquals(leader.settings.node, next.settings.node)
                assertEquals(emptyList<String>(), jobs.map { it.id }.filter { !world.rules.isFinal(it) }, "not ended")
                world.assertRulesHeld()
            }
        }
}
