package mintpick.sim

import mintpick.Samples
import mintpick.core.SECOND
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test

/** Machines that come up several times as late as their type says, or never. */
class SlowBootTest {
    private fun world(seed: Long): World {
        val world = World(seed, FaultRates(), Size(machines = 400, boots = 3 * SECOND..6 * SECOND)) { Samples.settings(it) }
        (1..24).forEach { n ->
            world.after(2 * SECOND + n) { world.user(Samples.spec("req-%06d".format(n), "blue", 10, cpus = 2.0, estimateS = 30.0), null) }
        }
        return world
    }

    private fun World.done(): Int = (1..24).count { rules.isComplete("req-%06d".format(it)) }

    @Test
    fun `a fleet that boots late is not rented several times over`() {
        val usual = world(75).apply { run(120 * SECOND) }
        val late = world(75).apply { cloud.bootFactor = { 4 } }
        late.run(120 * SECOND)
        assertTrue(late.done() == 24, "${late.done()} jobs done")
        assertTrue(late.cloud.rented < usual.cloud.rented * 2, "${late.cloud.rented} machines rented instead of ${usual.cloud.rented}")
        late.assertRulesHeld()
    }

    @Test
    fun `where a zone's machines never come up, the other zone's do the work`() {
        val world = world(76).apply { cloud.bootFactor = { if (it.zone == "north") null else 1 } }
        world.run(150 * SECOND)
        assertTrue(world.done() == 24, "${world.done()} jobs done")
        world.assertRulesHeld()
    }
}
