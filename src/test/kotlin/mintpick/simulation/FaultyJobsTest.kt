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
import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.TestFactory

/** Distinguishes jobs that fail on every machine from machines on which every job fails. */
class FaultyJobsTest {
    private val faultyJobs = (1..4).map { n -> SampleJobs.spec("req-%06d".format(900 + n), team = "blue", tasks = 40, estimateS = 15.0) }
    private val faultyIds = faultyJobs.mapTo(HashSet()) { it.id }

    private fun healthyJob(n: Int): JobSpec = SampleJobs.spec("req-%06d".format(n), team = "blue", tasks = 6, estimateS = 6.0)

    /**
     * A cluster with thirty healthy jobs. Four faulty jobs, which fail on every machine, are submitted at [faultyFromUs] and
     * cancelled [cancelAfterUs] later, if that is given.
     */
    private fun cluster(
        seed: Long,
        faultyFromUs: Micros,
        cancelAfterUs: Micros?,
    ): SimulatedCluster {
        val cluster = SimulatedCluster(seed, FaultRates(), ClusterSize(machines = 16)) { SampleJobs.settings(it) }
        cluster.taskFails = { _, task -> task.substringBeforeLast('/') in faultyIds }
        (1..30).forEach { n -> cluster.after(n * 3 * SECOND) { cluster.addUser(healthyJob(n), null) } }
        faultyJobs.forEach { spec -> cluster.after(faultyFromUs) { cluster.addUser(spec, cancelAfterUs) } }
        return cluster
    }

    private fun SimulatedCluster.startsOf(jobs: Set<String>): Int =
        rules.startsOf
            .filterKeys { it.substringBeforeLast('/') in jobs }
            .values
            .sum()

    /** Guards against releasing every machine on which three jobs have failed, even if the jobs are faulty rather than the machine. */
    @Test
    fun `faulty jobs cause no machine to be replaced and delay no other job`() {
        val withoutFaultyJobs = cluster(seed = 71, faultyFromUs = 1000 * SECOND, cancelAfterUs = null)
        val cluster = cluster(seed = 71, faultyFromUs = 30 * SECOND, cancelAfterUs = null)
        listOf(withoutFaultyJobs, cluster).forEach { it.run(140 * SECOND) }
        assertTrue(
            cluster.cloud.rentedMachines <= withoutFaultyJobs.cloud.rentedMachines + 6,
            "${cluster.cloud.rentedMachines} machines rented instead of ${withoutFaultyJobs.cloud.rentedMachines}",
        )
        assertEquals(
            emptyList<String>(),
            (1..30).map { healthyJob(it).id }.filter { !cluster.rules.isComplete(it) },
            "healthy jobs not completed",
        )
        assertTrue(faultyIds.all { cluster.rules.isAccepted(it) && !cluster.rules.isFinal(it) }, "faulty jobs not accepted or final")
        cluster.assertRulesHeld()
    }

    /** Without the backoff and the limit of one task at a time, an array of forty tasks starts a few hundred times a minute. */
    @Test
    fun `a faulty job is retried with backoff, one task at a time, and ends when cancelled`() {
        val cluster = cluster(seed = 72, faultyFromUs = 30 * SECOND, cancelAfterUs = 100 * SECOND)
        cluster.run(60 * SECOND)
        val startsBefore = cluster.startsOf(faultyIds)
        cluster.run(120 * SECOND)
        val retries = cluster.startsOf(faultyIds) - startsBefore
        assertTrue(retries in 1..faultyJobs.size * 8, "$retries retries of faulty jobs in a minute")
        cluster.run(160 * SECOND)
        assertTrue(faultyIds.all { cluster.rules.stageOf(it) == JobStage.CANCELLED }, "faulty jobs not cancelled")
        cluster.assertRulesHeld()
    }

    @Test
    fun `only the faulty machine is released while faulty jobs fail on other machines too`() {
        val cluster = cluster(seed = 73, faultyFromUs = 30 * SECOND, cancelAfterUs = null)
        cluster.run(35 * SECOND)
        val faultyMachine = cluster.agents.values.maxBy { cluster.rules.tasksOn(it.id).size }
        val rentedBefore = cluster.cloud.rentedMachines
        val jobFails = cluster.taskFails
        cluster.taskFails = { machine, task -> machine === faultyMachine || jobFails(machine, task) }
        (201..230).forEach { n -> cluster.addUser(SampleJobs.spec("req-%06d".format(n), "blue", 1, cpus = 1.0, estimateS = 60.0), null) }
        cluster.run(80 * SECOND)
        assertFalse(faultyMachine.id in cluster.agents, "the faulty machine is not released")
        assertTrue(cluster.cloud.rentedMachines - rentedBefore < 6, "${cluster.cloud.rentedMachines - rentedBefore} more machines rented")
        cluster.run(200 * SECOND)
        assertEquals(
            emptyList<String>(),
            (1..30).map { healthyJob(it).id }.filter { !cluster.rules.isComplete(it) },
            "healthy jobs not completed",
        )
        cluster.assertRulesHeld()
    }

    /**
     * A job that was found faulty runs again as soon as it no longer fails, whichever controllers found it faulty, although the
     * machines of its preferred controller may be full.
     */
    @TestFactory
    fun `a job that has failed on every machine runs as soon as it no longer fails`() =
        listOf(76L, 5L, 10L, 11L, 34L, 36L, 50L, 52L).map { seed ->
            DynamicTest.dynamicTest("seed $seed") {
                val cluster = SimulatedCluster(seed, FaultRates(), ClusterSize(machines = 30)) { SampleJobs.settings(it) }
                cluster.taskFails = { _, task -> task < "req-000100" && cluster.now < 80 * SECOND }
                (1..8).forEach { n ->
                    cluster.after(n * SECOND) {
                        cluster.addUser(SampleJobs.spec("req-%06d".format(n), "blue", 40, cpus = 2.0, estimateS = 8.0), null)
                    }
                    cluster.after(n * SECOND) { cluster.addUser(SampleJobs.service(n + 20, team = "blue"), null) }
                }
                (1..20).forEach { n ->
                    cluster.after(n * 5 * SECOND) {
                        cluster.addUser(SampleJobs.spec("req-%06d".format(200 + n), "blue", 20, estimateS = 8.0), null)
                    }
                }
                cluster.run(240 * SECOND)
                assertEquals(emptyList<Int>(), (1..8).filter { !cluster.rules.isComplete("req-%06d".format(it)) }, "jobs not completed")
                val replicas = (21..28).flatMap { n -> (0..1).map { "req-%06d/%d".format(n, it) } }
                // A replica that started just before it no longer failed ends without an error.
                val missing = replicas.filterNot { it in cluster.rules.running || cluster.rules.isCompleted(it) }
                assertEquals(emptyList<String>(), missing, "replicas that do not run")
                cluster.assertRulesHeld()
            }
        }

    /** Guards against keeping machines for tasks of faulty jobs: they would be idle until users cancel the jobs. */
    @Test
    fun `no machines are kept for faulty jobs, whichever controller has found them faulty`() {
        val cluster = SimulatedCluster(74, FaultRates(), ClusterSize(machines = 200)) { SampleJobs.settings(it) }
        cluster.taskFails = { _, task -> task.substringBeforeLast('/') in faultyIds }
        cluster.addUser(healthyJob(1), null)
        cluster.run(30 * SECOND)
        faultyJobs.forEach { cluster.addUser(it.copy(tasks = 400), null) }
        cluster.run(50 * SECOND)
        assertTrue(cluster.agents.size > 50, "${cluster.agents.size} machines before the jobs are found faulty")
        cluster.run(150 * SECOND)
        assertTrue(cluster.agents.size < 12, "${cluster.agents.size} machines are kept for faulty jobs")
        cluster.assertRulesHeld()
    }

    /** A team at its limit can't use more machines, so renting them would be useless. */
    @Test
    fun `no machines are rented for tasks that their team's limit delays`() {
        val cluster = SimulatedCluster(75, FaultRates(), ClusterSize(machines = 200)) { SampleJobs.settings(it) }
        (1..10).forEach { n -> cluster.addUser(SampleJobs.spec("req-%06d".format(n), "red", tasks = 60, estimateS = 30.0), null) }
        cluster.run(60 * SECOND)
        assertTrue(cluster.cloud.rentedMachines < 12, "${cluster.cloud.rentedMachines} machines rented for 24 CPUs")
        cluster.assertRulesHeld()
    }

    /** Guards against a job that waits beside an empty machine because its tasks failed there once. */
    @Test
    fun `a job whose only machine failed its tasks for a while runs soon after`() {
        (77L..84L).forEach { seed ->
            val cluster = SimulatedCluster(seed, FaultRates(), ClusterSize(machines = 1)) { SampleJobs.settings(it) }
            cluster.taskFails = { _, _ -> cluster.now < 40 * SECOND }
            val job = SampleJobs.spec("req-000001", "blue", tasks = 4, cpus = 1.0, estimateS = 4.0)
            cluster.after(10 * SECOND) { cluster.addUser(job, null) }
            cluster.run(40 * SECOND)
            assertTrue(cluster.rules.startsOf.isNotEmpty(), "the machine has failed tasks of the job")
            cluster.run(100 * SECOND)
            assertEquals(JobStage.DONE, cluster.rules.stageOf(job.id), "seed $seed")
            cluster.assertRulesHeld()
        }
    }

    /** Guards against a planner that takes a machine for free capacity on which the placer places no task of the job. */
    @Test
    fun `another machine is rented for a job whose only machine fails all of its tasks`() {
        (85L..92L).forEach { seed ->
            val cluster = SimulatedCluster(seed, FaultRates(), ClusterSize(machines = 4)) { SampleJobs.settings(it) }
            var faulty: String? = null
            cluster.taskFails = { machine, _ -> machine.id == (faulty ?: machine.id.also { faulty = it }) }
            val job = SampleJobs.spec("req-000001", "blue", tasks = 4, cpus = 1.0, estimateS = 4.0)
            cluster.after(10 * SECOND) { cluster.addUser(job, null) }
            cluster.run(110 * SECOND)
            assertEquals(JobStage.DONE, cluster.rules.stageOf(job.id), "seed $seed")
            cluster.assertRulesHeld()
        }
    }
}
