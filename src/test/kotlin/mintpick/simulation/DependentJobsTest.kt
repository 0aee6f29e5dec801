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
import mintpick.testing.injectRandom
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

/** Pipelines in the model, under limits of the state service that hold little. */
class DependentJobsTest {
    private fun settings(index: Int) =
        Settings.parse(
            SampleJobs
                .toml(index)
                .replace("value_kb = 32.0", "value_kb = 2.0")
                .replace("txn_ops = 16", "txn_ops = 5")
                .replace("write_rps = 40.0", "write_rps = 18.0"),
        )

    private fun cluster(
        seed: Long,
        faultRates: FaultRates = FaultRates(),
    ) = SimulatedCluster(seed, faultRates, ClusterSize(machines = 20)) { settings(it) }.apply {
        state.limits = SimulatedStateStore.StateLimits(valueBytes = 2 * 1024, changes = 5, changesPerSecond = 18.0)
    }

    private fun SimulatedCluster.assertWithinLimits() = assertEquals(emptyMap<String, Int>(), state.refused - "rate")

    private fun spec(
        n: Int,
        vararg needs: Int,
        tasks: Int = 1,
        estimateS: Double = 3.0,
    ): JobSpec =
        SampleJobs
            .spec("req-%06d".format(n), "blue", tasks, cpus = 1.0, estimateS = estimateS)
            .copy(predecessors = needs.map { "req-%06d".format(it) }.ifEmpty { null })

    @TestFactory
    fun `pipelines of all shapes run in order through drawn faults`() =
        (401L..408L).map { seed ->
            DynamicTest.dynamicTest("seed $seed") {
                val cluster = cluster(seed, FaultRates(lost = 3, lostAnswer = 3, late = 4, copied = 20))
                val pipelines = Pipelines(cluster, 1)
                cluster.after(8 * SECOND) {
                    pipelines.submit(pipelines.chain(12))
                    pipelines.submit(pipelines.diamond(6))
                    val late = pipelines.diamond(3)
                    pipelines.submit(late, cancelled = late[(seed % 5).toInt()], cancelAfterS = seed % 12)
                }
                repeat(4) {
                    cluster.after((10L + cluster.random.nextLong(60)) * SECOND) {
                        cluster.injectRandom(
                            ALL_FAULTS,
                            4 * SECOND,
                            30 * SECOND,
                        )
                    }
                }
                cluster.after(110 * SECOND) { cluster.rules.faultsOverSinceUs = cluster.now }
                cluster.run(330 * SECOND)
                cluster.rules.checkServed(cluster.now)
                cluster.assertRulesHeld()
                cluster.assertWithinLimits()
                val open = pipelines.jobs.map { it.id }.filterNot(cluster.rules::isFinal)
                assertEquals(emptyList<String>(), open, "neither done nor withdrawn")
            }
        }

    /** Of the most jobs that may be named, and of the most that may wait for one; both are larger than a record. */
    @Test
    fun `hundreds of jobs wait for one, and one job waits for hundreds`() {
        val cluster = cluster(411)
        cluster.user(spec(1, estimateS = 40.0), null)
        (2..301).forEach { n -> cluster.after(n * SECOND / 12) { cluster.user(spec(n, 1, estimateS = 1.0), null) } }
        val last = spec(400, *(1..301).toList().toIntArray())
        cluster.user(last, null)
        val all = (1..301).map { "req-%06d".format(it) } + last.id
        cluster.run(60 * SECOND)
        assertEquals(emptyList<String>(), all.filterNot(cluster.rules::isAccepted), "not accepted")
        cluster.nodes.forEach { it.crash(SECOND) }
        cluster.run(240 * SECOND)
        cluster.assertRulesHeld()
        cluster.assertWithinLimits()
        assertEquals(emptyList<String>(), all.filterNot(cluster.rules::isComplete), "not run")
        assertTrue(cluster.state.keys().none { Keys.parse(it.first) is Keys.Subject.Spec }, "what nobody needs is removed")
    }

    private fun SimulatedCluster.ask(
        node: Int,
        event: (ReplyTo) -> Event,
    ): Pair<Int, JobStage?> {
        var answer: Pair<Int, JobStage?> = 0 to null
        nodes[node].deliver(
            event(
                ReplyTo { given ->
                    val text = given.body.decodeToString()
                    val stage =
                        runCatching { WireJson.decodeFromString(JobStatus.serializer(), text).stage }
                            .recoverCatching { WireJson.decodeFromString(JobAnswer.serializer(), text).stage }
                    answer = given.status to stage.getOrNull()
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
        return ask(node) { Event.Submit(spec, it) }
    }

    private fun SimulatedCluster.poll(
        node: Int,
        n: Int,
    ) = ask(node) { Event.Poll(JobId("req-%06d".format(n)), it) }

    private fun SimulatedCluster.cancel(
        node: Int,
        n: Int,
    ) = ask(node) { Event.Cancel(JobId("req-%06d".format(n)), it) }

    @Test
    fun `what a submission names is looked up, and what follows is told alike by every controller`() {
        val cluster = cluster(412)
        cluster.run(8 * SECOND)
        assertEquals(201 to JobStage.QUEUED, cluster.submit(0, spec(1, estimateS = 500.0)))
        assertEquals(422 to null, cluster.submit(1, spec(9, 1, 8)), "8 was never accepted")
        assertEquals(201 to JobStage.QUEUED, cluster.submit(1, spec(2, 1)))
        assertEquals(201 to JobStage.QUEUED, cluster.submit(2, spec(3, 2)))
        assertEquals(201 to JobStage.QUEUED, cluster.submit(0, spec(4, 3, 1)))
        cluster.run(20 * SECOND)
        (0..2).forEach { node -> (2..4).forEach { assertEquals(200 to JobStage.QUEUED, cluster.poll(node, it)) } }
        assertEquals(200 to JobStage.CANCELLED, cluster.cancel(1, 2))
        (0..2).forEach { node -> (3..4).forEach { assertEquals(200 to JobStage.CANCELLED, cluster.poll(node, it), "$it at $node") } }
        assertEquals(200 to JobStage.RUNNING, cluster.poll(2, 1))
        // Accepted all the same, and over.
        assertEquals(201 to JobStage.CANCELLED, cluster.submit(2, spec(5, 4)))
        assertEquals(200 to JobStage.CANCELLED, cluster.submit(0, spec(4, 3, 1)), "a repeat")
        cluster.nodes.forEach { it.crash(SECOND) }
        cluster.run(cluster.now + 20 * SECOND)
        (0..2).forEach { node -> (2..5).forEach { assertEquals(200 to JobStage.CANCELLED, cluster.poll(node, it), "$it at $node") } }
        assertTrue(cluster.rules.starts == 1, "${cluster.rules.starts} starts")
    }

    @Test
    fun `a cancellation that comes too late withdraws nothing`() {
        val cluster = cluster(413)
        cluster.run(8 * SECOND)
        cluster.submit(0, spec(1, estimateS = 1.0))
        cluster.submit(1, spec(2, 1, estimateS = 60.0))
        cluster.run(40 * SECOND)
        assertEquals(200 to JobStage.DONE, cluster.cancel(2, 1))
        (0..2).forEach { assertEquals(200 to JobStage.RUNNING, cluster.poll(it, 2)) }
        assertEquals(201 to JobStage.QUEUED, cluster.submit(0, spec(3, 1)), "on one that has been over for long")
        cluster.run(60 * SECOND)
        assertEquals(200 to JobStage.DONE, cluster.poll(1, 3))
    }

    /** The worst scenario known: confirmed, then an outage longer than a cancellation has, in which controllers start anew. */
    @Test
    fun `jobs behind a cancelled one are never called open again, through an outage and restarts`() {
        val cluster = cluster(414)
        val chain = Pipelines(cluster, 1).chain(6)
        cluster.after(8 * SECOND) {
            chain.forEachIndexed { i, job ->
                cluster.user(
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
        cluster.after(21 * SECOND) { cluster.state.out = true }
        cluster.after(35 * SECOND) { cluster.nodes[1].crash(SECOND / 3) }
        cluster.after(75 * SECOND) {
            cluster.state.out = false
            cluster.nodes.forEach { it.cutFromState = false }
        }
        cluster.run(180 * SECOND)
        cluster.assertRulesHeld()
        assertTrue(chain.drop(1).all { cluster.rules.isFinal(it.id) })
        val records = cluster.state.keys().toMap()
        assertTrue(chain.drop(1).none { "spec" in records.getValue(Keys.job(it.id)) }, "each has its final record in the end")
    }
}
