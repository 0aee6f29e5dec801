package mintpick.simulation

import kotlinx.serialization.json.JsonElement
import mintpick.config.Settings
import mintpick.core.Chunk
import mintpick.core.Job
import mintpick.core.JobId
import mintpick.core.JobRecordInfo
import mintpick.core.MILLI
import mintpick.core.SECOND
import mintpick.engine.runtime.Event
import mintpick.engine.runtime.ReplyTo
import mintpick.net.Target
import mintpick.store.Keys
import mintpick.store.RecordCodec
import mintpick.store.RecordFormat
import mintpick.store.SpecPieces
import mintpick.testing.ClusterSize
import mintpick.testing.FaultRates
import mintpick.testing.SampleJobs
import mintpick.testing.SimulatedCluster
import mintpick.testing.assertRulesHeld
import mintpick.testing.runUntil
import mintpick.wire.Change
import mintpick.wire.JobSpec
import mintpick.wire.JobStage
import mintpick.wire.JobStatus
import mintpick.wire.StoredStage
import mintpick.wire.Transaction
import mintpick.wire.WireJson
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.TestFactory
import java.util.BitSet

/** A job whose tasks have all ended gets its final record, whichever update recorded the last of them. */
class FinalRecordTest {
    private fun cluster(
        seed: Long,
        controllers: Int = 3,
    ) = SimulatedCluster(seed, FaultRates(), ClusterSize(controllers = controllers)) {
        Settings.parse(SampleJobs.toml(it, controllers = controllers))
    }

    private fun spec(
        n: Int,
        tasks: Int,
        predecessors: List<String>? = null,
    ): JobSpec = SampleJobs.spec("req-%06d".format(n), "blue", tasks, cpus = 0.25).copy(predecessors = predecessors)

    private fun SimulatedCluster.store(
        key: String,
        value: JsonElement,
    ) = state.transact(Transaction(emptyList(), listOf(Change(put = key, value = value))))

    /** Stores the records of an open job whose tasks are all done, or cancelled, without its final record. */
    private fun SimulatedCluster.storeEnded(
        spec: JobSpec,
        stage: StoredStage = StoredStage.OPEN,
        isSpecSeparate: Boolean = false,
    ) {
        val pieces = if (isSpecSeparate) SpecPieces.split(spec, PIECE_BYTES) else emptyList()
        pieces.forEachIndexed { i, piece -> store(Keys.spec(spec.id, i), SpecPieces.json(piece)) }
        val empty = Job(JobId(spec.id), spec, stage, 0, JobRecordInfo(0, pieces.size), emptyMap())
        val done = (0 until empty.chunkCount).associateWith { doneChunk(empty.chunkSize(it)) }
        val job = Job(empty.id, spec, stage, 0, JobRecordInfo(0, pieces.size), done)
        store(Keys.job(spec.id), RecordCodec.jobJson(job, RecordFormat.COMPACT))
        for (index in 1 until job.chunkCount) {
            store(
                Keys.chunk(spec.id, index),
                RecordCodec.chunkJson(job.chunk(index), RecordFormat.COMPACT),
            )
        }
    }

    private fun doneChunk(size: Int) = Chunk(0, size, emptyMap(), BitSet().apply { set(0, size) }, emptyMap())

    private fun SimulatedCluster.isFinal(spec: JobSpec): Boolean =
        RecordCodec.decodeJob(WireJson.parseToJsonElement(state.keys().toMap().getValue(Keys.job(spec.id)))).isFinal

    private fun SimulatedCluster.stageAt(
        node: Int,
        spec: JobSpec,
    ): JobStage? {
        var stage: JobStage? = null
        val reply = ReplyTo { stage = WireJson.decodeFromString(JobStatus.serializer(), it.body.decodeToString()).stage }
        nodes[node].deliver(Event.Poll(JobId(spec.id), reply))
        run(now + SECOND)
        return stage
    }

    /** Guards against open jobs whose stored tasks are all done and that no controller ends: they were called queued for good. */
    @TestFactory
    fun `a job whose stored tasks have all ended becomes final`() =
        listOf(1, 3, 7).map { controllers ->
            DynamicTest.dynamicTest("$controllers controllers") {
                val cluster = cluster(501L + controllers, controllers)
                val first = spec(1, tasks = 3)
                val jobs =
                    listOf(first, spec(2, tasks = 640), spec(3, tasks = 640), spec(4, tasks = 300, predecessors = listOf(first.id)))
                jobs.forEach { cluster.storeEnded(it, isSpecSeparate = it.id == jobs[2].id) }
                val cancelled = spec(5, tasks = 640).also { cluster.storeEnded(it, StoredStage.CANCELLED) }
                cluster.run(60 * SECOND)
                assertEquals(
                    emptyList<String>(),
                    (jobs + cancelled).filterNot { cluster.isFinal(it) }.map { it.id },
                    "jobs without final record",
                )
                for (node in 0 until controllers) {
                    jobs.forEach { assertEquals(JobStage.DONE, cluster.stageAt(node, it), it.id) }
                    assertEquals(JobStage.CANCELLED, cluster.stageAt(node, cancelled))
                }
            }
        }

    /** Guards against a done job that stays open because the controller that should end it can't write. */
    @Test
    fun `a done job becomes final while one controller can't reach the state store`() {
        (0..2).forEach { isolated ->
            val cluster = cluster(511L + isolated)
            cluster.run(20 * SECOND)
            cluster.nodes[isolated].cutFromState = true
            val job = spec(1, tasks = 640).also { cluster.storeEnded(it) }
            cluster.run(cluster.now + 4 * SECOND)
            assertTrue(cluster.isFinal(job), "final while node $isolated is cut off")
        }
    }

    private fun SimulatedCluster.complete(task: String) = agents.values.first { task in it.assignedTasks() }.complete(task, now)

    /** Guards against the last tasks of two chunks that are recorded at the same time by two controllers, none of which sees the other's update. */
    @TestFactory
    fun `an array whose last tasks end at two machines while the state store answers slowly is done soon after`() =
        (521L..532L).map { seed ->
            DynamicTest.dynamicTest("seed $seed") {
                val cluster = cluster(seed)
                val array = spec(1, tasks = 640).copy(estimateS = 4.0)
                val held = (256 until array.tasks step 8).map { "${array.id}/$it" }
                held.forEach { cluster.runTimes[it] = 1_000 * SECOND }
                cluster.after(10 * SECOND) { cluster.addUser(array, null) }
                assertTrue(cluster.runUntil(120 * SECOND) { cluster.rules.running.keys == held.toSet() }, "only held tasks run")
                val chunks = held.groupBy { it.substringAfter('/').toInt() / Job.TASKS_PER_CHUNK }
                val last = listOf(chunks.getValue(1), chunks.getValue(2)).map { it[cluster.random.nextInt(it.size)] }
                (held - last.toSet()).forEach { cluster.complete(it) }
                cluster.run(cluster.now + 10 * SECOND)
                cluster.answerDelay = { _, call -> if (call.target is Target.State) 400 * MILLI else 0 }
                cluster.run(cluster.now + SECOND)
                last.forEach { cluster.complete(it) }
                cluster.run(cluster.now + SECOND)
                cluster.answerDelay = { _, _ -> 0 }
                cluster.run(cluster.now + 4 * SECOND)
                assertTrue(cluster.rules.isComplete(array.id))
                assertTrue(cluster.isFinal(array), "final")
                cluster.assertRulesHeld()
            }
        }

    private companion object {
        const val PIECE_BYTES = 100.0
    }
}
