package mintpick.sim

import mintpick.Samples
import mintpick.core.Micros
import mintpick.core.SECOND
import mintpick.wire.JobKind
import mintpick.wire.Priority
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.TestFactory

/** Drives three engines through drawn troubles and checks the rules from the stand-ins' own view. */
class ModelTest {
    private fun world(
        seed: Long,
        faultRates: FaultRates,
    ) = World(seed, faultRates) { Samples.settings(it) }

    private fun World.jobs(
        count: Int,
        overUs: Micros,
    ): List<String> =
        (1..count).map { n ->
            val id = "req-%06d".format(n)
            val service = random.nextInt(4) == 0
            val spec =
                Samples.spec(
                    id = id,
                    team = if (random.nextBoolean()) "red" else "blue",
                    tasks = 1 + random.nextInt(if (service) 3 else 8),
                    kind = if (service) JobKind.SERVICE else JobKind.ARRAY,
                    priority = if (service) Priority.PRODUCTION else Priority.NORMAL,
                    cpus = if (service) 1.0 else 2.0,
                    spot = !service,
                    spread = service && random.nextBoolean(),
                    oneZone = !service && random.nextInt(4) == 0,
                    estimateS = 2.0 + random.nextInt(15),
                )
            after(random.nextLong(overUs)) { user(spec, if (random.nextInt(6) == 0) random.nextLong(30 * SECOND) else null) }
            id
        }

    @Test
    fun `a quiet hour finishes every job`() {
        val world = world(1, FaultRates())
        val jobs = world.jobs(20, 30 * SECOND)
        world.run(180 * SECOND)
        world.assertRulesHeld()
        assertTrue(world.rules.starts > 20)
        assertTrue(jobs.all { world.rules.isAccepted(it) })
    }

    @TestFactory
    fun `rules hold through drawn troubles`() =
        (1L..14L).map { seed ->
            DynamicTest.dynamicTest("seed $seed") {
                val world = world(seed, FaultRates(lost = 4, lostAnswer = 4, late = 6))
                world.jobs(24, 60 * SECOND)
                repeat(
                    9,
                ) { world.after(5 * SECOND + world.random.nextLong(100 * SECOND)) { world.draw(ALL_TROUBLES, 4 * SECOND, 50 * SECOND) } }
                world.after(20 * SECOND) { world.pollUnknown("req-999999") }
                world.run(240 * SECOND)
                world.assertRulesHeld()
                assertTrue(world.rules.starts > 20, "${world.rules.starts} starts")
            }
        }

    @Test
    fun `the largest job is accepted, runs in part, and is cancelled in time`() {
        val world = world(5, FaultRates())
        val spec = Samples.spec("req-000001", team = "blue", tasks = 100_000, cpus = 1.0, estimateS = 5.0)
        world.after(SECOND) { world.user(spec, 60 * SECOND) }
        world.run(140 * SECOND)
        world.assertRulesHeld()
        assertTrue(world.rules.starts > 50, "${world.rules.starts} starts")
        assertTrue(world.rules.isFinal("req-000001"))
    }

    /** Machines beyond a cut once were returned one by one while their own zone's controller could serve them. */
    @Test
    fun `a cut between zones costs no machines that the other side serves`() {
        val world = world(3, FaultRates())
        (1..4).forEach { n ->
            val spec =
                Samples.service(n, spread = true)
            world.after(n * SECOND) { world.user(spec, null) }
        }
        world.run(60 * SECOND)
        val running = world.workers.keys.toSet()
        val starts = world.rules.starts
        world.zonesCut = true
        world.run(85 * SECOND)
        world.zonesCut = false
        world.run(100 * SECOND)
        world.assertRulesHeld()
        assertEquals(8, starts)
        assertEquals(starts, world.rules.starts, "no replica had to move")
        assertTrue(running.isNotEmpty() && world.workers.keys.containsAll(running))
    }

    private fun spread(n: Int) = Samples.service(n, tasks = 4, spread = true)

    /**
     * Two thirds of a zone that was cut off once lost their leases, and were returned, beside a controller that could
     * have kept them: it answers for their owners, who take that into account and know when it must have ended.
     */
    @Test
    fun `a zone cut off for longer than a lease keeps its work`() {
        val world = world(21, FaultRates())
        (1..5).forEach { n -> world.after(n * SECOND) { world.user(spread(n), null) } }
        world.run(60 * SECOND)
        val running = world.workers.keys.toSet()
        val starts = world.rules.starts
        world.zoneOut = "south"
        world.run(90 * SECOND)
        world.zoneOut = null
        world.run(130 * SECOND)
        world.assertRulesHeld()
        assertEquals(20, starts)
        assertEquals(starts, world.rules.starts, "no replica had to move")
        assertTrue(world.workers.keys.containsAll(running), "no machine was returned")
    }

    /** A leader that lost its workers alone once returned them, services first, and took back what others had adopted. */
    @Test
    fun `a controller cut off from its workers alone returns none of them`() {
        val world = World(22, FaultRates(), Size(machines = 60)) { Samples.settings(it) }
        (1..24).forEach { n ->
            val spec =
                Samples.service(n, team = "blue", tasks = 4, cpus = 4.0)
            world.after(n * SECOND / 4) { world.user(spec, null) }
        }
        world.run(60 * SECOND)
        val running =
            world.workers.values
                .filter { world.rules.attemptsOn(it.id).isNotEmpty() }
                .map { it.id }
        val starts = world.rules.starts
        val cut = world.leader()
        cut.cutFromWorkers = true
        world.run(110 * SECOND)
        cut.cutFromWorkers = false
        world.run(140 * SECOND)
        world.assertRulesHeld()
        assertTrue(
            running.size > 9 && world.workers.keys.containsAll(running),
            "${running.size} machines, ${running.count { it !in world.workers }} returned",
        )
        assertEquals(starts, world.rules.starts, "no replica had to move")
    }

    /** Whoever stands in ends in time for cancellations, and nobody takes over before that: with the cloud down only leases tell. */
    @TestFactory
    fun `a zone cut off for long breaks no rule`() =
        (31L..42L).map { seed ->
            DynamicTest.dynamicTest("seed $seed") {
                val world = world(seed, FaultRates())
                world.jobs(16, 40 * SECOND)
                (41..45).forEach { n ->
                    world.after(n * SECOND / 4) {
                        world.user(
                            spread(n),
                            if (n % 2 ==
                                0
                            ) {
                                52 * SECOND + world.random.nextLong(12 * SECOND)
                            } else {
                                null
                            },
                        )
                    }
                }
                world.run(60 * SECOND)
                if (seed % 2 == 0L) world.cloud.out = true
                // Of the two controllers in the north each hears the other, and neither hears who is served.
                world.zoneOut = if (seed < 36) "south" else "north"
                if (seed % 3 == 0L) world.nodes[2].crash(5 * SECOND)
                if (seed % 4 == 0L) world.after(5 * SECOND) { world.nodes[1].crash(SECOND / 3) }
                world.after(30 * SECOND + world.random.nextLong(70 * SECOND)) { world.zoneOut = null }
                world.after(60 * SECOND) { world.cloud.out = false }
                world.run(260 * SECOND)
                world.assertRulesHeld()
            }
        }
}
