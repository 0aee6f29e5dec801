package mintpick.sim

import mintpick.Samples
import mintpick.core.Micros
import mintpick.core.SECOND
import mintpick.wire.JobSpec
import mintpick.wire.JobStage
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertFalse
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test

/** Jobs that fail wherever they run, machines on which everything fails, and how they are told apart. */
class FaultyJobsTest {
    private val broken = (1..4).map { n -> Samples.spec("req-%06d".format(900 + n), team = "blue", tasks = 40, estimateS = 15.0) }
    private val brokenIds = broken.mapTo(HashSet()) { it.id }

    private fun sound(n: Int): JobSpec = Samples.spec("req-%06d".format(n), team = "blue", tasks = 6, estimateS = 6.0)

    /** Thirty sound jobs, and from [brokenFromUs] on four that fail everywhere until [cancelAfterUs] after that. */
    private fun world(
        seed: Long,
        brokenFromUs: Micros,
        cancelAfterUs: Micros?,
    ): World {
        val world = World(seed, FaultRates(), Size(machines = 16)) { Samples.settings(it) }
        world.failing = { _, task -> task.substringBeforeLast('/') in brokenIds }
        (1..30).forEach { n -> world.after(n * 3 * SECOND) { world.user(sound(n), null) } }
        broken.forEach { spec -> world.after(brokenFromUs) { world.user(spec, cancelAfterUs) } }
        return world
    }

    private fun World.startsOf(jobs: Set<String>): Int =
        rules.startsOf
            .filterKeys { it.substringBeforeLast('/') in jobs }
            .values
            .sum()

    /** Once every machine on which three jobs had failed was emptied and returned, whoever's mistake it was. */
    @Test
    fun `jobs with a mistake cost no machines and hold up nobody`() {
        val without = world(seed = 71, brokenFromUs = 1000 * SECOND, cancelAfterUs = null)
        val world = world(seed = 71, brokenFromUs = 30 * SECOND, cancelAfterUs = null)
        listOf(without, world).forEach { it.run(140 * SECOND) }
        assertTrue(
            world.cloud.rented <= without.cloud.rented + 6,
            "${world.cloud.rented} machines rented instead of ${without.cloud.rented}",
        )
        assertEquals(emptyList<String>(), (1..30).map { sound(it).id }.filter { !world.rules.isComplete(it) }, "sound jobs are done")
        assertTrue(brokenIds.all { world.rules.isAccepted(it) && !world.rules.isFinal(it) }, "the others stay known")
        world.assertRulesHeld()
    }

    /** Without the backoff and the bound on its tasks an array of forty starts a few hundred times a minute. */
    @Test
    fun `a job with a mistake is retried less and less, a task at a time, and ends when cancelled`() {
        val world = world(seed = 72, brokenFromUs = 30 * SECOND, cancelAfterUs = 100 * SECOND)
        world.run(60 * SECOND)
        val early = world.startsOf(brokenIds)
        world.run(120 * SECOND)
        val late = world.startsOf(brokenIds) - early
        assertTrue(late in 1..broken.size * 8, "$late retries in a minute")
        world.run(160 * SECOND)
        assertTrue(brokenIds.all { world.rules.stageOf(it) == JobStage.CANCELLED }, "cancelled")
        world.assertRulesHeld()
    }

    @Test
    fun `a faulty machine is emptied although faulty jobs fail elsewhere, and no other is`() {
        val world = world(seed = 73, brokenFromUs = 30 * SECOND, cancelAfterUs = null)
        world.run(35 * SECOND)
        val faulty = world.workers.values.maxBy { world.rules.attemptsOn(it.id).size }
        val before = world.cloud.rented
        val jobs = world.failing
        world.failing = { machine, task -> machine === faulty || jobs(machine, task) }
        (201..230).forEach { n -> world.user(Samples.spec("req-%06d".format(n), "blue", 1, cpus = 1.0, estimateS = 60.0), null) }
        world.run(80 * SECOND)
        assertFalse(faulty.id in world.workers, "the faulty machine is returned")
        assertTrue(world.cloud.rented - before < 6, "${world.cloud.rented - before} machines rented anew")
        world.run(200 * SECOND)
        assertEquals(emptyList<String>(), (1..30).map { sound(it).id }.filter { !world.rules.isComplete(it) }, "sound jobs are done")
        world.assertRulesHeld()
    }

    /**
     * A job that was taken for faulty goes on once it no longer fails, whichever controller had found it faulty: those that
     * are not its home leave it to its home, which goes on trying.
     */
    @Test
    fun `what has failed everywhere for a while runs once it no longer fails`() {
        val world = World(76, FaultRates(), Size(machines = 30)) { Samples.settings(it) }
        world.failing = { _, task -> task < "req-000100" && world.now < 80 * SECOND }
        (1..8).forEach { n ->
            world.after(n * SECOND) { world.user(Samples.spec("req-%06d".format(n), "blue", 40, cpus = 2.0, estimateS = 8.0), null) }
            world.after(n * SECOND) { world.user(Samples.service(n + 20, team = "blue"), null) }
        }
        (1..20).forEach { n ->
            world.after(n * 5 * SECOND) { world.user(Samples.spec("req-%06d".format(200 + n), "blue", 20, estimateS = 8.0), null) }
        }
        world.run(240 * SECOND)
        assertEquals(emptyList<Int>(), (1..8).filter { !world.rules.isComplete("req-%06d".format(it)) }, "not done")
        val replicas =
            world.rules.running.keys
                .count { it in "req-000021".."req-000029" }
        assertEquals(16, replicas, "replicas that run")
        world.assertRulesHeld()
    }

    /** What fails everywhere keeps no machines: others would be idle, too, until its users cancel it. */
    @Test
    fun `no machines are kept for jobs with a mistake, whichever controller knows of it`() {
        val world = World(74, FaultRates(), Size(machines = 200)) { Samples.settings(it) }
        world.failing = { _, task -> task.substringBeforeLast('/') in brokenIds }
        world.user(sound(1), null)
        world.run(30 * SECOND)
        broken.forEach { world.user(it.copy(tasks = 400), null) }
        world.run(50 * SECOND)
        assertTrue(world.workers.size > 50, "${world.workers.size} machines before it is known")
        world.run(150 * SECOND)
        assertTrue(world.workers.size < 12, "${world.workers.size} machines are kept for what fails everywhere")
        world.assertRulesHeld()
    }

    /** A team at its limit gets no more, however many machines there are. */
    @Test
    fun `no machines are rented for what a team's limit holds back`() {
        val world = World(75, FaultRates(), Size(machines = 200)) { Samples.settings(it) }
        (1..10).forEach { n -> world.user(Samples.spec("req-%06d".format(n), "red", tasks = 60, estimateS = 30.0), null) }
        world.run(60 * SECOND)
        assertTrue(world.cloud.rented < 12, "${world.cloud.rented} machines rented for 24 processors")
        world.assertRulesHeld()
    }
}
