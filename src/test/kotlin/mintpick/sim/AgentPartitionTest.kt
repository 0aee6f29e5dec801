package mintpick.sim

import mintpick.Samples
import mintpick.core.SECOND
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.TestFactory

/** A controller that loses its workers alone, for longer than it takes to hand them over and back. */
class AgentPartitionTest {
    /** All that tells it of the cut goes while the cut lasts: it must not take shards back, whose workers would lose their leases. */
    @TestFactory
    fun `a controller without workers takes none back before it reaches one`() =
        (61L..64L).map { seed -> DynamicTest.dynamicTest("seed $seed") { staysCutOff(seed) } }

    private fun staysCutOff(seed: Long) {
        val world = World(seed, FaultRates(), Size(machines = 120)) { Samples.settings(it) }
        (1..60).forEach { n -> world.after(n * SECOND / 8) { world.user(Samples.service(n, team = "blue", tasks = 3, cpus = 2.0), null) } }
        world.run(60 * SECOND)
        val cut = world.leader()
        cut.cutFromWorkers = true
        world.run(85 * SECOND)
        val sessions = world.workers.values.associate { it.id to it.session }
        // All machines whose calls had failed go, a few at a time, while new ones come.
        world.workers.keys
            .toList()
            .chunked(4)
            .forEachIndexed { n, gone -> world.after(n * SECOND) { gone.forEach(world::remove) } }
        (101..130).forEach { n ->
            world.after((n - 100) * SECOND) { world.user(Samples.service(n, team = "blue", tasks = 3, cpus = 2.0), null) }
        }
        world.run(150 * SECOND)
        val lapsed = world.workers.values.filter { it.session > (sessions[it.id] ?: 1) }
        assertEquals(emptyList<String>(), lapsed.map { it.id }, "machines whose leases lapsed although others could serve them")
        cut.cutFromWorkers = false
        world.rules.calmSinceUs = world.now
        world.run(215 * SECOND)
        assertTrue(world.claimsOf(cut) > 0, "it serves again")
        world.assertRulesHeld()
    }
}
