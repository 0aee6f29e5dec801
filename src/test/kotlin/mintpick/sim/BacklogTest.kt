package mintpick.sim

import mintpick.Samples
import mintpick.config.Settings
import mintpick.core.SECOND
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test

/** More work waits than there is room for, and the limit on writes to the state service is what holds it up. */
class BacklogTest {
    private fun world(
        seed: Long,
        writesPerSecond: Double,
    ) = World(seed, FaultRates(), Size(machines = MACHINES)) { index ->
        Settings.parse(Samples.toml(index).replace("write_rps = 40.0", "write_rps = $writesPerSecond"))
    }

    private fun World.empty(): Int = workers.keys.count { rules.attemptsOn(it).isEmpty() }

    /** Empty machines in each of the next seconds. */
    private fun World.emptyEachSecond(): List<Int> =
        List(30) {
            run(now + SECOND)
            empty()
        }

    /** A full fleet whose many jobs of one task all end at about [JOBS_END_S], with large jobs waiting for their room. */
    private fun fullFleet(
        seed: Long,
        writesPerSecond: Double = 12.0,
    ): World {
        val world = world(seed, writesPerSecond)
        (1..JOBS).forEach { n ->
            val submittedS = n / 6.0
            val spec = Samples.spec("req-%06d".format(n), team = "blue", cpus = 4.0, tasks = 1, estimateS = JOBS_END_S - submittedS)
            world.after((submittedS * SECOND).toLong()) { world.user(spec, null) }
        }
        (1..LARGE_JOBS).forEach { n ->
            val spec = Samples.spec("req-%06d".format(1000 + n), team = "blue", cpus = 4.0, tasks = 40, estimateS = 30.0)
            world.after(60 * SECOND + n) { world.user(spec, null) }
        }
        return world
    }

    /**
     * `Changes.inTurn`: what had become of ended or lost tasks once took every write, so that a fleet fell empty beside
     * thousands of waiting tasks. Without turns this sum is 1.7 times as large.
     */
    @Test
    fun `machines do not stay empty beside waiting tasks while many ends of jobs are written`() {
        val empty =
            (81L..84L).map { seed ->
                val world = fullFleet(seed)
                world.run(JOBS_END_S.toLong() * SECOND)
                assertEquals(0, world.empty(), "the fleet is full")
                val emptyEachSecond = world.emptyEachSecond()
                assertTrue(emptyEachSecond.max() > MACHINES / 4, "jobs end faster than others can be placed: $emptyEachSecond")
                world.assertRulesHeld()
                emptyEachSecond.sum()
            }
        assertTrue(empty.sum() < MACHINES * 11 / 2 * empty.size, "$empty seconds of empty machines")
    }

    /**
     * `StateLink.transactionsOpen`: each transaction without an answer once kept one of four places for two seconds, so that
     * writes which the limit allowed were not sent. Counted until they are given up, this sum is over three times as large.
     */
    @Test
    fun `transactions whose answers are lost hold up no others`() {
        val empty =
            (83L..84L).sumOf { seed ->
                val world = fullFleet(seed, writesPerSecond = 60.0)
                world.run(JOBS_END_S.toLong() * SECOND)
                assertEquals(0, world.empty(), "the fleet is full")
                world.stateTroubles.lost = 450
                val emptyEachSecond = world.emptyEachSecond()
                assertTrue(world.stateTroubles.carriedOut().isNotEmpty(), "some were carried out late")
                world.assertRulesHeld()
                emptyEachSecond.sum()
            }
        assertTrue(empty < MACHINES * 8, "$empty seconds of empty machines")
    }

    private companion object {
        const val MACHINES = 60
        const val JOBS = 120
        const val LARGE_JOBS = 6
        const val JOBS_END_S = 90.0
    }
}
