package mintpick.sim

import mintpick.Samples
import mintpick.config.Settings
import mintpick.core.JobId
import mintpick.core.SECOND
import mintpick.engine.runtime.Event
import mintpick.engine.runtime.ReplyTo
import mintpick.store.Keys
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
            Samples
                .toml(index)
                .replace("value_kb = 32.0", "value_kb = 2.0")
                .replace("txn_ops = 16", "txn_ops = 5")
                .replace("write_rps = 40.0", "write_rps = 18.0"),
        )

    private fun world(
        seed: Long,
        faultRates: FaultRates = FaultRates(),
    ) = World(seed, faultRates, Size(machines = 20)) { settings(it) }.apply {
        state.limits = SimState.StateLimits(valueBytes = 2 * 1024, changes = 5, changesPerSecond = 18.0)
    }

    private fun World.assertWithinLimits() = assertEquals(emptyMap<String, Int>(), state.refused - "rate")

    private fun spec(
        n: Int,
        vararg needs: Int,
        tasks: Int = 1,
        estimateS: Double = 3.0,
    ): JobSpec =
        Samples
            .spec("req-%06d".format(n), "blue", tasks, cpus = 1.0, estimateS = estimateS)
            .copy(predecessors = needs.map { "req-%06d".format(it) }.ifEmpty { null })

    @TestFactory
    fun `pipelines of all shapes run in order through drawn troubles`() =
        (401L..408L).map { seed ->
            DynamicTest.dynamicTest("seed $seed") {
                val world = world(seed, FaultRates(lost = 3, lostAnswer = 3, late = 4, copied = 20))
                val pipelines = Pipelines(world, 1)
                world.after(8 * SECOND) {
                    pipelines.submit(pipelines.chain(12))
                    pipelines.submit(pipelines.diamond(6))
                    val late = pipelines.diamond(3)
                    pipelines.submit(late, cancelled = late[(seed % 5).toInt()], cancelAfterS = seed % 12)
                }
                repeat(4) { world.after((10L + world.random.nextLong(60)) * SECOND) { world.draw(ALL_TROUBLES, 4 * SECOND, 30 * SECOND) } }
                world.after(110 * SECOND) { world.rules.calmSinceUs = world.now }
                world.run(330 * SECOND)
                world.rules.checkServed(world.now)
                world.assertRulesHeld()
                world.assertWithinLimits()
                val open = pipelines.jobs.map { it.id }.filterNot(world.rules::isFinal)
                assertEquals(emptyList<String>(), open, "neither done nor withdrawn")
            }
        }

    /** Of the most jobs that may be named, and of the most that may wait for one; both are larger than a record. */
    @Test
    fun `hundreds of jobs wait for one, and one job waits for hundreds`() {
        val world = world(411)
        world.user(spec(1, estimateS = 40.0), null)
        (2..301).forEach { n -> world.after(n * SECOND / 12) { world.user(spec(n, 1, estimateS = 1.0), null) } }
        val last = spec(400, *(1..301).toList().toIntArray())
        world.user(last, null)
        val all = (1..301).map { "req-%06d".format(it) } + last.id
        world.run(60 * SECOND)
        assertEquals(emptyList<String>(), all.filterNot(world.rules::isAccepted), "not accepted")
        world.nodes.forEach { it.crash(SECOND) }
        world.run(240 * SECOND)
        world.assertRulesHeld()
        world.assertWithinLimits()
        assertEquals(emptyList<String>(), all.filterNot(world.rules::isComplete), "not run")
        assertTrue(world.state.keys().none { Keys.parse(it.first) is Keys.Subject.Spec }, "what nobody needs is removed")
    }

    private fun World.ask(
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

    private fun World.submit(
        node: Int,
        spec: JobSpec,
    ): Pair<Int, JobStage?> {
        if (rules.spec(spec.id) == null) rules.submitted(spec, now)
        return ask(node) { Event.Submit(spec, it) }
    }

    private fun World.poll(
        node: Int,
        n: Int,
    ) = ask(node) { Event.Poll(JobId("req-%06d".format(n)), it) }

    private fun World.cancel(
        node: Int,
        n: Int,
    ) = ask(node) { Event.Cancel(JobId("req-%06d".format(n)), it) }

    @Test
    fun `what a submission names is looked up, and what follows is told alike by every controller`() {
        val world = world(412)
        world.run(8 * SECOND)
        assertEquals(201 to JobStage.QUEUED, world.submit(0, spec(1, estimateS = 500.0)))
        assertEquals(422 to null, world.submit(1, spec(9, 1, 8)), "8 was never accepted")
        assertEquals(201 to JobStage.QUEUED, world.submit(1, spec(2, 1)))
        assertEquals(201 to JobStage.QUEUED, world.submit(2, spec(3, 2)))
        assertEquals(201 to JobStage.QUEUED, world.submit(0, spec(4, 3, 1)))
        world.run(20 * SECOND)
        (0..2).forEach { node -> (2..4).forEach { assertEquals(200 to JobStage.QUEUED, world.poll(node, it)) } }
        assertEquals(200 to JobStage.CANCELLED, world.cancel(1, 2))
        (0..2).forEach { node -> (3..4).forEach { assertEquals(200 to JobStage.CANCELLED, world.poll(node, it), "$it at $node") } }
        assertEquals(200 to JobStage.RUNNING, world.poll(2, 1))
        // Accepted all the same, and over.
        assertEquals(201 to JobStage.CANCELLED, world.submit(2, spec(5, 4)))
        assertEquals(200 to JobStage.CANCELLED, world.submit(0, spec(4, 3, 1)), "a repeat")
        world.nodes.forEach { it.crash(SECOND) }
        world.run(world.now + 20 * SECOND)
        (0..2).forEach { node -> (2..5).forEach { assertEquals(200 to JobStage.CANCELLED, world.poll(node, it), "$it at $node") } }
        assertTrue(world.rules.starts == 1, "${world.rules.starts} starts")
    }

    @Test
    fun `a cancellation that comes too late withdraws nothing`() {
        val world = world(413)
        world.run(8 * SECOND)
        world.submit(0, spec(1, estimateS = 1.0))
        world.submit(1, spec(2, 1, estimateS = 60.0))
        world.run(40 * SECOND)
        assertEquals(200 to JobStage.DONE, world.cancel(2, 1))
        (0..2).forEach { assertEquals(200 to JobStage.RUNNING, world.poll(it, 2)) }
        assertEquals(201 to JobStage.QUEUED, world.submit(0, spec(3, 1)), "on one that has been over for long")
        world.run(60 * SECOND)
        assertEquals(200 to JobStage.DONE, world.poll(1, 3))
    }

    /** The worst meeting known: confirmed, then an outage longer than a cancellation has, in which controllers start anew. */
    @Test
    fun `jobs behind a cancelled one are never called open again, through an outage and restarts`() {
        val world = world(414)
        val chain = Pipelines(world, 1).chain(6)
        world.after(8 * SECOND) {
            chain.forEachIndexed { i, job ->
                world.user(
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
        world.after(19 * SECOND) { world.leader().cutFromState = true }
        world.after(21 * SECOND) { world.state.out = true }
        world.after(35 * SECOND) { world.nodes[1].crash(SECOND / 3) }
        world.after(75 * SECOND) {
            world.state.out = false
            world.nodes.forEach { it.cutFromState = false }
        }
        world.run(180 * SECOND)
        world.assertRulesHeld()
        assertTrue(chain.drop(1).all { world.rules.isFinal(it.id) })
        val records = world.state.keys().toMap()
        assertTrue(chain.drop(1).none { "spec" in records.getValue(Keys.job(it.id)) }, "each has its final record in the end")
    }
}
