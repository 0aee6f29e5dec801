package mintpick.simulation

import mintpick.config.Settings
import mintpick.core.JobId
import mintpick.core.SECOND
import mintpick.engine.runtime.Event
import mintpick.engine.runtime.ReplyTo
import mintpick.store.Keys
import mintpick.testing.ALL_FAULTS
import mintpick.testing.ClusterSize
import mintpick.testing.FaultRates
import mintpick.testing.Pipelines
import mintpick.testing.SampleJobs
import mintpick.testing.SimulatedCluster
import mintpick.testing.SimulatedStateStore
import mintpick.testing.assertRulesHeld
import mintpick.testing.injectRandomFault
import mintpick.testing.leader
import mintpick.wire.JobAnswer
import mintpick.wire.JobSpec
import mintpick.wire.JobStage
import mintpick.wire.JobStatus
import mintpick.wire.WireJson
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.TestFactory

/** Jobs with predecessors in a simulated cluster, with low limits on values, transactions and writes of the state store. */
class DependentJobsTest {
    private fun settings(index: Int) =
        Settings.parse(SampleJobs.withStateLimits(SampleJobs.toml(index), writesPerSecond = 18.0, valueKb = 2.0, changes = 5))

    private fun cluster(
        seed: Long,
        faultRates: FaultRates = FaultRates(),
    ) = SimulatedCluster(seed, faultRates, ClusterSize(machines = 20)) { settings(it) }.apply {
        state.limits = SimulatedStateStore.StateLimits(valueBytes = 2 * 1024, changes = 5, changesPerSecond = 18.0)
    }

    private fun SimulatedCluster.assertWithinLimits() = assertEquals(emptyMap<String, Int>(), state.refusals - "rate")

    private fun spec(
        n: Int,
        vararg predecessorNumbers: Int,
        tasks: Int = 1,
        estimateS: Double = 3.0,
    ): JobSpec =
        SampleJobs
            .spec("req-%06d".format(n), "blue", tasks, cpus = 1.0, estimateS = estimateS)
            .copy(predecessors = predecessorNumbers.map { "req-%06d".format(it) }.ifEmpty { null })

    @TestFactory
    fun `chains and diamonds of dependent jobs run in order through random faults`() =
        (401L..408L).map { seed ->
            DynamicTest.dynamicTest("seed $seed") {
                val cluster = cluster(seed, FaultRates(lost = 3, lostAnswer = 3, late = 4, duplicated = 20))
                val pipelines = Pipelines(cluster, 1)
                cluster.after(8 * SECOND) {
                    pipelines.submit(pipelines.chain(12))
                    pipelines.submit(pipelines.diamond(6))
                    val cancelledDiamond = pipelines.diamond(3)
                    pipelines.submit(cancelledDiamond, cancelled = cancelledDiamond[(seed % 5).toInt()], cancelAfterS = seed % 12)
                }
                repeat(4) {
                    cluster.after((10L + cluster.random.nextLong(60)) * SECOND) {
                        cluster.injectRandomFault(
                            ALL_FAULTS,
                            4 * SECOND,
                            30 * SECOND,
                        )
                    }
                }
                cluster.after(110 * SECOND) { cluster.rules.faultsOverAtUs = cluster.now }
                cluster.run(330 * SECOND)
                cluster.rules.checkServed(cluster.now)
                cluster.assertRulesHeld()
                cluster.assertWithinLimits()
                val unfinished = pipelines.jobs.map { it.id }.filterNot(cluster.rules::isFinal)
                assertEquals(emptyList<String>(), unfinished, "jobs neither done nor cancelled")
            }
        }

    /** Covers a job with the maximum number of predecessors and one with the maximum number of successors. Both exceed one record. */
    @Test
    fun `hundreds of jobs wait for one predecessor, and one job waits for hundreds of predecessors`() {
        val cluster = cluster(411)
        cluster.addUser(spec(1, estimateS = 40.0), null)
        (2..301).forEach { n -> cluster.after(n * SECOND / 12) { cluster.addUser(spec(n, 1, estimateS = 1.0), null) } }
        val last = spec(400, *(1..301).toList().toIntArray())
        cluster.addUser(last, null)
        val allIds = (1..301).map { "req-%06d".format(it) } + last.id
        cluster.run(60 * SECOND)
        assertEquals(emptyList<String>(), allIds.filterNot(cluster.rules::isAccepted), "jobs not accepted")
        cluster.nodes.forEach { it.crash(SECOND) }
        cluster.run(240 * SECOND)
        cluster.assertRulesHeld()
        cluster.assertWithinLimits()
        assertEquals(emptyList<String>(), allIds.filterNot(cluster.rules::isComplete), "jobs not completed")
        assertTrue(cluster.state.keys().none { Keys.parse(it.first) is Keys.Subject.Spec }, "specs that no job needs are still stored")
    }

    /**
     * Guards against a load that loses all chunks but the first of a job with a separately stored specification: its running tasks were
     * stopped, and each later placement was refused.
     */
    @Test
    fun `tasks in all chunks of a job with a separate specification run on when all controllers restart`() {
        val cluster = cluster(415)
        (1..200).forEach { n -> cluster.after(n * SECOND / 12) { cluster.addUser(spec(n, estimateS = 1.0), null) } }
        val array = spec(400, *(1..200).toList().toIntArray(), tasks = 300, estimateS = 60.0).copy(cpus = 0.25, memoryGb = 0.25)
        cluster.addUser(array, null)
        cluster.runUntilAllRun(array)
        assertTrue(cluster.state.keys().any { Keys.parse(it.first) is Keys.Subject.Spec }, "the specification is stored separately")
        cluster.nodes.forEach { it.crash(SECOND / 2) }
        cluster.run(cluster.now + 100 * SECOND)
        val tasks = (0 until array.tasks).map { "${array.id}/$it" }
        assertEquals(emptyList<String>(), tasks.filter { cluster.rules.startsOf[it] != 1 }, "tasks not started exactly once")
        assertEquals(JobStage.DONE, cluster.rules.stageOf(array.id))
        cluster.assertRulesHeld()
        cluster.assertWithinLimits()
    }

    private fun SimulatedCluster.runUntilAllRun(job: JobSpec) {
        val tasks = (0 until job.tasks).map { "${job.id}/$it" }
        val deadlineUs = 120 * SECOND
        while (now < deadlineUs && !rules.running.keys.containsAll(tasks)) run(now + SECOND)
        assertTrue(rules.running.keys.containsAll(tasks), "all tasks run")
    }

    private fun SimulatedCluster.request(
        node: Int,
        event: (ReplyTo) -> Event,
    ): Pair<Int, JobStage?> {
        var answer: Pair<Int, JobStage?> = 0 to null
        nodes[node].deliver(
            event(
                ReplyTo { response ->
                    val text = response.body.decodeToString()
                    val stage =
                        runCatching { WireJson.decodeFromString(JobStatus.serializer(), text).stage }
                            .recoverCatching { WireJson.decodeFromString(JobAnswer.serializer(), text).stage }
                    answer = response.status to stage.getOrNull()
                },
            ),
        )
        run(now + 2 * SECOND)
        return answer
    }

    private fun SimulatedCluster.submit(
        node: Int,
        spec: JobSpec,
    ): Pair<Int, JobStage?> {
        if (rules.spec(spec.id) == null) rules.submitted(spec, now)
        return request(node) { Event.Submit(spec, it) }
    }

    private fun SimulatedCluster.poll(
        node: Int,
        n: Int,
    ) = request(node) { Event.Poll(JobId("req-%06d".format(n)), it) }

    private fun SimulatedCluster.cancel(
        node: Int,
        n: Int,
    ) = request(node) { Event.Cancel(JobId("req-%06d".format(n)), it) }

    @Test
    fun `unknown predecessors are rejected, and all controllers answer alike about successors of a cancelled job`() {
        val cluster = cluster(412)
        cluster.run(8 * SECOND)
        assertEquals(201 to JobStage.QUEUED, cluster.submit(0, spec(1, estimateS = 500.0)))
        assertEquals(422 to null, cluster.submit(1, spec(9, 1, 8)), "predecessor 8 was never accepted")
        assertEquals(201 to JobStage.QUEUED, cluster.submit(1, spec(2, 1)))
        assertEquals(201 to JobStage.QUEUED, cluster.submit(2, spec(3, 2)))
        assertEquals(201 to JobStage.QUEUED, cluster.submit(0, spec(4, 3, 1)))
        cluster.run(20 * SECOND)
        (0..2).forEach { node -> (2..4).forEach { assertEquals(200 to JobStage.QUEUED, cluster.poll(node, it)) } }
        assertEquals(200 to JobStage.CANCELLED, cluster.cancel(1, 2))
        (0..2).forEach { node -> (3..4).forEach { assertEquals(200 to JobStage.CANCELLED, cluster.poll(node, it), "$it at $node") } }
        assertEquals(200 to JobStage.RUNNING, cluster.poll(2, 1))
        // Accepted although the predecessor is cancelled, and therefore cancelled at once.
        assertEquals(201 to JobStage.CANCELLED, cluster.submit(2, spec(5, 4)))
        assertEquals(200 to JobStage.CANCELLED, cluster.submit(0, spec(4, 3, 1)), "repeated submission")
        cluster.nodes.forEach { it.crash(SECOND) }
        cluster.run(cluster.now + 20 * SECOND)
        (0..2).forEach { node -> (2..5).forEach { assertEquals(200 to JobStage.CANCELLED, cluster.poll(node, it), "$it at $node") } }
        assertTrue(cluster.rules.starts == 1, "${cluster.rules.starts} starts, expected only that of job 1")
    }

    @Test
    fun `cancelling a job that is already done cancels none of its successors`() {
        val cluster = cluster(413)
        cluster.run(8 * SECOND)
        cluster.submit(0, spec(1, estimateS = 1.0))
        cluster.submit(1, spec(2, 1, estimateS = 60.0))
        cluster.run(40 * SECOND)
        assertEquals(200 to JobStage.DONE, cluster.cancel(2, 1))
        (0..2).forEach { assertEquals(200 to JobStage.RUNNING, cluster.poll(it, 2)) }
        assertEquals(201 to JobStage.QUEUED, cluster.submit(0, spec(3, 1)), "submission with a predecessor that has long been done")
        cluster.run(60 * SECOND)
        assertEquals(200 to JobStage.DONE, cluster.poll(1, 3))
    }

    /**
     * The worst known scenario: the cancellation of a predecessor is confirmed, and then the state store is down for longer than
     * `cancel_s`, while a controller restarts.
     */
    @Test
    fun `successors of a cancelled job are never reported as open again after an outage and a restart`() {
        val cluster = cluster(414)
        val chain = Pipelines(cluster, 1).chain(6)
        cluster.after(8 * SECOND) {
            chain.forEachIndexed { i, job ->
                cluster.addUser(
                    job.copy(estimateS = 120.0),
                    if (i ==
                        1
                    ) {
                        10 * SECOND
                    } else {
                        null
                    },
                )
            }
        }
        cluster.after(19 * SECOND) { cluster.leader().cutFromState = true }
        cluster.after(21 * SECOND) { cluster.state.unavailable = true }
        cluster.after(35 * SECOND) { cluster.nodes[1].crash(SECOND / 3) }
        cluster.after(75 * SECOND) {
            cluster.state.unavailable = false
            cluster.nodes.forEach { it.cutFromState = false }
        }
        cluster.run(180 * SECOND)
        cluster.assertRulesHeld()
        assertTrue(chain.drop(1).all { cluster.rules.isFinal(it.id) })
        val records = cluster.state.keys().toMap()
        assertTrue(chain.drop(1).none { "spec" in records.getValue(Keys.job(it.id)) }, "a successor has no final record")
    }
}
