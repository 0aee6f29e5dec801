package mintpick.simulation

import mintpick.core.Micros
import mintpick.core.SECOND
import mintpick.testing.ClusterSize
import mintpick.testing.FaultRates
import mintpick.testing.SampleJobs
import mintpick.testing.SimulatedCluster
import mintpick.testing.assertRulesHeld
import mintpick.wire.JobSpec
import mintpick.wire.JobStage
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertFalse
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test

/** Jobs that fail wherever they run, machines on which everything fails, and how they are told apart. */
class FaultyJobsTest {
    private val broken = (1..4).map { n -> SampleJobs.spec("req-%06d".format(900 + n), team = "blue", tasks = 40, estimateS = 15.0) }
    private val brokenIds = broken.mapTo(HashSet()) { it.id }

    private fun sound(n: Int): JobSpec = SampleJobs.spec("req-%06d".format(n), team = "blue", tasks = 6, estimateS = 6.0)

    /** Thirty sound jobs, and from [brokenFromUs] on four that fail everywhere until [cancelAfterUs] after that. */
    private fun cluster(
        seed: Long,
        brokenFromUs: Micros,
        cancelAfterUs: Micros?,
    ): SimulatedCluster {
        val cluster = SimulatedCluster(seed, FaultRates(), ClusterSize(machines = 16)) { SampleJobs.settings(it) }
        cluster.failing = { _, task -> task.substringBeforeLast('/') in brokenIds }
        (1..30).forEach { n -> cluster.after(n * 3 * SECOND) { cluster.user(sound(n), null) } }
        broken.forEach { spec -> cluster.after(brokenFromUs) { cluster.user(spec, cancelAfterUs) } }
        return cluster
    }

    private fun SimulatedCluster.startsOf(jobs: Set<String>): Int =
        rules.startsOf
            .filterKeys { it.substringBeforeLast('/') in jobs }
            .values
            .sum()

    /** Once every machine on which three jobs had failed was emptied and returned, whoever's mistake it was. */
    @Test
    fun `jobs with a mistake cost no machines and hold up nobody`() {
        val without = cluster(seed = 71, brokenFromUs = 1000 * SECOND, cancelAfterUs = null)
        val cluster = cluster(seed = 71, brokenFromUs = 30 * SECOND, cancelAfterUs = null)
        listOf(without, cluster).forEach { it.run(140 * SECOND) }
        assertTrue(
            cluster.cloud.rented <= without.cloud.rented + 6,
            "${cluster.cloud.rented} machines rented instead of ${without.cloud.rented}",
        )
        assertEquals(emptyList<String>(), (1..30).map { sound(it).id }.filter { !cluster.rules.isComplete(it) }, "sound jobs are done")
        assertTrue(brokenIds.all { cluster.rules.isAccepted(it) && !cluster.rules.isFinal(it) }, "the others stay known")
        cluster.assertRulesHeld()
    }

    /** Without the backoff and the bound on its tasks an array of forty starts a few hundred times a minute. */
    @Test
    fun `a job with a mistake is retried less and less, a task at a time, and ends when cancelled`() {
        val cluster = cluster(seed = 72, brokenFromUs = 30 * SECOND, cancelAfterUs = 100 * SECOND)
        cluster.run(60 * SECOND)
        val early = cluster.startsOf(brokenIds)
        cluster.run(120 * SECOND)
        val late = cluster.startsOf(brokenIds) - early
        assertTrue(late in 1..broken.size * 8, "$late retries in a minute")
        cluster.run(160 * SECOND)
        assertTrue(brokenIds.all { cluster.rules.stageOf(it) == JobStage.CANCELLED }, "cancelled")
        cluster.assertRulesHeld()
    }

    @Test
    fun `a faulty machine is emptied although faulty jobs fail elsewhere, and no other is`() {
        val cluster = cluster(seed = 73, brokenFromUs = 30 * SECOND, cancelAfterUs = null)
        cluster.run(35 * SECOND)
        val faulty = cluster.workers.values.maxBy { cluster.rules.attemptsOn(it.id).size }
        val before = cluster.cloud.rented
        val jobs = cluster.failing
        cluster.failing = { machine, task -> machine === faulty || jobs(machine, task) }
        (201..230).forEach { n -> cluster.user(SampleJobs.spec("req-%06d".format(n), "blue", 1, cpus = 1.0, estimateS = 60.0), null) }
        cluster.run(80 * SECOND)
        assertFalse(faulty.id in cluster.workers, "the faulty machine is returned")
        assertTrue(cluster.cloud.rented - before < 6, "${cluster.cloud.rented - before} machines rented anew")
        cluster.run(200 * SECOND)
        assertEquals(emptyList<String>(), (1..30).map { sound(it).id }.filter { !cluster.rules.isComplete(it) }, "sound jobs are done")
        cluster.assertRulesHeld()
    }

    /**
     * A job that was taken for faulty goes on once it no longer fails, whichever controller had found it faulty: those that
     * are not its home leave it to its home, which goes on trying.
     */
    @Test
    fun `what has failed everywhere for a while runs once it no longer fails`() {
        val cluster = SimulatedCluster(76, FaultRates(), ClusterSize(machines = 30)) { SampleJobs.settings(it) }
        cluster.failing = { _, task -> task < "req-000100" && cluster.now < 80 * SECOND }
        (1..8).forEach { n ->
            cluster.after(n * SECOND) { cluster.user(SampleJobs.spec("req-%06d".format(n), "blue", 40, cpus = 2.0, estimateS = 8.0), null) }
            cluster.after(n * SECOND) { cluster.user(SampleJobs.service(n + 20, team = "blue"), null) }
        }
        (1..20).forEach { n ->
            cluster.after(n * 5 * SECOND) { cluster.user(SampleJobs.spec("req-%06d".format(200 + n), "blue", 20, estimateS = 8.0), null) }
        }
        cluster.run(240 * SECOND)
        assertEquals(emptyList<Int>(), (1..8).filter { !cluster.rules.isComplete("req-%06d".format(it)) }, "not done")
        val replicas =
            cluster.rules.running.keys
                .count { it in "req-000021".."req-000029" }
        assertEquals(16, replicas, "replicas that run")
        cluster.assertRulesHeld()
    }

    /** What fails everywhere keeps no machines: others would be idle, too, until its users cancel it. */
    @Test
    fun `no machines are kept for jobs with a mistake, whichever controller knows of it`() {
        val cluster = SimulatedCluster(74, FaultRates(), ClusterSize(machines = 200)) { SampleJobs.settings(it) }
        cluster.failing = { _, task -> task.substringBeforeLast('/') in brokenIds }
        cluster.user(sound(1), null)
        cluster.run(30 * SECOND)
        broken.forEach { cluster.user(it.copy(tasks = 400), null) }
        cluster.run(50 * SECOND)
        assertTrue(cluster.workers.size > 50, "${cluster.workers.size} machines before it is known")
        cluster.run(150 * SECOND)
        assertTrue(cluster.workers.size < 12, "${cluster.workers.size} machines are kept for what fails everywhere")
        cluster.assertRulesHeld()
    }

    /** A team at its limit gets no more, however many machines there are. */
    @Test
    fun `no machines are rented for what a team's limit holds back`() {
        val cluster = SimulatedCluster(75, FaultRates(), ClusterSize(machines = 200)) { SampleJobs.settings(it) }
        (1..10).forEach { n -> cluster.user(SampleJobs.spec("req-%06d".format(n), "red", tasks = 60, estimateS = 30.0), null) }
        cluster.run(60 * SECOND)
        assertTrue(cluster.cloud.rented < 12, "${cluster.cloud.rented} machines rented for 24 processors")
        cluster.assertRulesHeld()
    }
}
