package mintpick.simulation

import io.kotest.property.Arb
import io.kotest.property.PropTestConfig
import io.kotest.property.arbitrary.double
import io.kotest.property.arbitrary.int
import io.kotest.property.checkAll
import kotlinx.coroutines.runBlocking
import mintpick.config.Settings
import mintpick.core.Job
import mintpick.core.JobId
import mintpick.core.JobRecordInfo
import mintpick.core.SECOND
import mintpick.engine.runtime.EngineContext
import mintpick.engine.state.RequestLimits
import mintpick.engine.transactions.TransactionLimits
import mintpick.testing.ClusterSize
import mintpick.testing.FaultRates
import mintpick.testing.SampleJobs
import mintpick.testing.SimulatedAgent
import mintpick.testing.SimulatedCluster
import mintpick.testing.SimulatedStateStore
import mintpick.testing.assertRulesHeld
import mintpick.testing.ownerOf
import mintpick.testing.runUntil
import mintpick.wire.JobSpec
import mintpick.wire.JobStage
import mintpick.wire.StoredStage
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.TestFactory
import java.util.SplittableRandom

/** Updates of one job that need many of the writes that a controller may send, for all limits that the settings accept. */
class WriteLimitsTest {
    /** Limits of the state store, and the number of controllers that share them. */
    private data class Limits(
        val writesPerSecond: Double,
        val changes: Int,
        val valueKb: Double,
        val controllers: Int,
    ) {
        fun settings(index: Int): Settings =
            Settings.parse(
                SampleJobs.withStateLimits(
                    SampleJobs.toml(index, cpusMax = 2_000.0, controllers = controllers),
                    writesPerSecond,
                    valueKb,
                    changes,
                ),
            )

        val enforced get() = SimulatedStateStore.StateLimits((valueKb * 1024).toInt(), changes, writesPerSecond)
    }

    private fun cluster(
        seed: Long,
        limits: Limits,
    ) = SimulatedCluster(seed, FaultRates(), ClusterSize(machines = 160, controllers = limits.controllers)) { limits.settings(it) }
        .apply { state.limits = limits.enforced }

    private fun array(
        n: Int,
        tasks: Int,
        team: String = "blue",
    ): JobSpec = SampleJobs.spec("req-%06d".format(n), team, tasks, cpus = 0.5, estimateS = 4.0)

    private fun SimulatedCluster.machineOf(task: String): SimulatedAgent = agents.values.first { task in it.assignedTasks() }

    private fun SimulatedCluster.complete(tasks: Collection<String>) = tasks.forEach { machineOf(it).complete(it, now) }

    private fun chunkOf(task: String): Int = task.substringAfter('/').toInt() / Job.TASKS_PER_CHUNK

    /**
     * Lets the last tasks of an array, one in each of [chunks] chunks, end on machines of one controller while the state store is out, so
     * that one update records them all. Returns the array; null if no controller has a task of each chunk.
     */
    private fun SimulatedCluster.endTogetherInOutage(
        team: String,
        chunks: Int,
    ): JobSpec? {
        val array = array(1, (chunks + 1) * Job.TASKS_PER_CHUNK, team)
        val held = (Job.TASKS_PER_CHUNK until array.tasks step HELD_EVERY).map { "${array.id}/$it" }
        held.forEach { runTimes[it] = 1_000 * SECOND }
        after(10 * SECOND) { addUser(array, null) }
        assertTrue(runUntil(300 * SECOND) { rules.running.keys == held.toSet() }, "only held tasks run")
        val byOwner = held.groupBy { ownerOf(machineOf(it)) }
        val last = byOwner.values.map { tasks -> tasks.distinctBy(::chunkOf) }.maxBy { it.size }
        if (last.size < chunks) return null
        complete(held - last.toSet())
        run(now + 30 * SECOND)
        state.unavailable = true
        run(now + SECOND)
        complete(last)
        run(now + 11 * SECOND)
        state.unavailable = false
        return array
    }

    /** Guards against an update that needs more writes than the limit ever allows, and that holds back all updates behind it. */
    @TestFactory
    fun `outcomes that gather in an outage are recorded soon after it, and so are those of other jobs`() =
        listOf(
            Limits(writesPerSecond = 25.0, changes = 16, valueKb = 32.0, controllers = 3) to "blue",
            Limits(writesPerSecond = 25.0, changes = 16, valueKb = 32.0, controllers = 3) to "red",
            Limits(writesPerSecond = 40.0, changes = 32, valueKb = 16.0, controllers = 3) to "red",
            Limits(writesPerSecond = 30.0, changes = 8, valueKb = 32.0, controllers = 2) to "red",
        ).map { (limits, team) ->
            DynamicTest.dynamicTest("$limits, team $team") {
                val (cluster, array) =
                    (601L..620L).firstNotNullOf { seed ->
                        val cluster = cluster(seed, limits)
                        cluster.endTogetherInOutage(team, chunks = 6)?.let { cluster to it }
                    }
                val others = (2..7).map { array(it, 2).copy(estimateS = 1.0) }
                others.forEach { cluster.addUser(it, null) }
                cluster.run(cluster.now + 20 * SECOND)
                assertEquals(JobStage.DONE, cluster.rules.stageOf(array.id))
                others.forEach { assertEquals(JobStage.DONE, cluster.rules.stageOf(it.id), it.id) }
                assertEquals(emptyMap<String, Int>(), cluster.state.refusals - "rate")
                cluster.assertRulesHeld()
            }
        }

    /** Guards against limits for which a part can be built that is never allowed. */
    @Test
    fun `the largest part of a job is within what the write limit allows at some time`(): Unit =
        runBlocking {
            checkAll(
                PropTestConfig(seed = 611),
                Arb.double(3.0, 100.0),
                Arb.int(3..64),
                Arb.int(1..7),
                Arb.int(1..100_000),
            ) { writesPerSecond, changes, controllers, tasks ->
                val settings = Limits(writesPerSecond, changes, 2.0, controllers).settings(0)
                val context = EngineContext(settings, SplittableRandom(1))
                val limits = TransactionLimits(settings.limits.transactionOps)
                val spec = array(1, tasks)
                val job = Job(JobId(spec.id), spec, StoredStage.OPEN, 0, JobRecordInfo(1), emptyMap())
                // Besides its chunks an update writes the main record and the reservation of its team.
                val largest = maxOf(limits.maxChunks(job) + 2, limits.maxPartChanges)
                assertTrue(largest <= settings.limits.transactionOps, "changes of a transaction")
                assertTrue(largest <= RequestLimits(context).maxWrites, "writes allowed at once")
                assertTrue(largest <= writesPerSecond, "burst of the state store")
                assertTrue(limits.maxMachineGuards(job) > 0, "guards of a placement")
            }
        }

    /** Guards against limits, lowered in service or low from the start, under which some job never ends. */
    @Test
    fun `arrays of several chunks end under any limits`(): Unit =
        runBlocking {
            val config = PropTestConfig(seed = 621, iterations = 16)
            checkAll(
                config,
                Arb.double(6.0, 40.0),
                Arb.int(3..32),
                Arb.double(2.0, 32.0),
                Arb.int(1..7),
            ) { rate, changes, kb, controllers ->
                val cluster = cluster(622, Limits(rate, changes, kb, controllers))
                val jobs = listOf(array(1, 1_000, "red"), array(2, 700), array(3, 300, "red"), array(4, 3))
                jobs.forEach { job -> cluster.after(15 * SECOND) { cluster.addUser(job, null) } }
                val areDone = { jobs.all { cluster.rules.stageOf(it.id) == JobStage.DONE } }
                assertTrue(cluster.runUntil(600 * SECOND, areDone), "done: ${jobs.map { cluster.rules.stageOf(it.id) }}")
                assertEquals(emptyMap<String, Int>(), cluster.state.refusals - "rate")
                cluster.assertRulesHeld()
            }
        }

    private companion object {
        /** Of so many tasks beyond the first chunk one runs until it is told to complete. */
        const val HELD_EVERY = 2
    }
}
