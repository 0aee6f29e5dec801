package mintpick.sim

import mintpick.Samples
import mintpick.config.Settings
import mintpick.core.SECOND
import mintpick.wire.Priority
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test

/** What a team without a guarantee brings: thousands of jobs of one task, and arrays of tens of thousands. */
class UnguaranteedTeamsTest {
    private fun world(seed: Long): World =
        World(seed, FaultRates(), Size(machines = 60)) { index ->
            Settings.parse(Samples.toml(index).replace("write_rps = 40.0", "write_rps = 25.0"))
        }

    private fun guest(
        n: Int,
        tasks: Int = 1,
        estimateS: Double = 8.0,
    ) = Samples.spec("req-%06d".format(n), "blue", tasks, priority = Priority.LOW, cpus = 0.25, estimateS = estimateS)

    /** Six jobs a second for a minute take about three writes each, of 25 a second; services and a team's own arrays go on. */
    @Test
    fun `a swarm of one-task jobs costs few writes and holds up nobody`() {
        val world = world(95)
        val swarm = 360
        world.user(Samples.service(9000, tasks = 2), null)
        world.run(20 * SECOND)
        val before = world.state.writes
        (1..swarm).forEach { n -> world.after(n * SECOND / 6) { world.user(guest(n), null) } }
        (1..10).forEach { n ->
            world.after(n * 5 * SECOND) { world.user(Samples.service(8000 + n, tasks = 1), null) }
            world.after(n * 5 * SECOND) { world.user(Samples.spec("req-%06d".format(7000 + n), "red", 6, estimateS = 6.0), null) }
        }
        world.run(85 * SECOND)
        val writes = world.state.writes - before
        assertTrue(writes < 1450, "$writes writes for $swarm jobs of one task and twenty others")
        val late =
            (1..10).filter { n ->
                val began = world.rules.startOf("req-%06d".format(8000 + n))
                began == null || began > (26L + n * 5) * SECOND
            }
        assertTrue(late.size <= 1, "services that began late: $late")
        world.run(110 * SECOND)
        val left = (1..swarm).filter { !world.rules.isFinal("req-%06d".format(it)) }
        assertEquals(emptyList<Int>(), left.take(5), "${left.size} jobs of the swarm are not done")
        assertEquals(emptyList<Int>(), (7001..7010).filter { !world.rules.isFinal("req-%06d".format(it)) }, "arrays are not done")
        world.assertRulesHeld()
    }

    /** An array of twenty thousand short tasks begins at once, gives way to funded work, and ends. */
    @Test
    fun `a huge array without a guarantee begins, yields and ends`() {
        val world = world(96)
        world.user(guest(1, tasks = 20_000, estimateS = 3.0), null)
        (1..20).forEach { n ->
            world.after((30L + n * 6) * SECOND) { world.user(Samples.spec("req-%06d".format(7000 + n), "red", 4, estimateS = 6.0), null) }
        }
        world.run(170 * SECOND)
        val began = world.rules.startOf("req-000001")
        assertTrue(began != null && began < 30 * SECOND, "began after $began")
        assertEquals(emptyList<Int>(), (7001..7020).filter { !world.rules.isFinal("req-%06d".format(it)) }, "funded arrays wait")
        world.run(400 * SECOND)
        assertTrue(world.rules.isFinal("req-000001"), "the array has not ended")
        world.assertRulesHeld()
    }

    /** `Scheduling.keepsToSpot`: spare-time work filled the ordinary machines of a peak, so that none of them was ever returned. */
    @Test
    fun `spare-time work keeps no ordinary machines`() {
        val world = World(98, FaultRates(), Size(machines = 60, spot = 6)) { Samples.settings(it) }
        (1..4).forEach { n -> world.user(guest(n, tasks = 800, estimateS = 40.0), null) }
        (1..10).forEach { n -> world.user(Samples.spec("req-%06d".format(7000 + n), "blue", 20, cpus = 2.0, estimateS = 15.0), null) }
        world.run(25 * SECOND)
        assertTrue(world.workers.values.count { !it.spot } > 5, "ordinary machines for the peak")
        world.run(100 * SECOND)
        assertEquals(0, world.workers.values.count { !it.spot }, "ordinary machines left")
        assertTrue(
            world.rules.running.keys
                .any { it < "req-007000" },
            "spare-time work goes on",
        )
        world.assertRulesHeld()
    }

    @Test
    fun `where there are no spot machines spare-time work is served all the same`() {
        val world = World(99, FaultRates(), Size(machines = 20, spot = 0)) { Samples.settings(it) }
        (1..3).forEach { n -> world.user(guest(n, tasks = 30, estimateS = 40.0), null) }
        world.run(240 * SECOND)
        assertEquals(emptyList<Int>(), (1..3).filter { !world.rules.isFinal("req-%06d".format(it)) }, "spare-time work waits")
        world.assertRulesHeld()
    }
}
