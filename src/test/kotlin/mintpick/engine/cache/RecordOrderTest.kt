package mintpick.engine.cache

import io.kotest.property.Arb
import io.kotest.property.PropTestConfig
import io.kotest.property.arbitrary.int
import io.kotest.property.arbitrary.long
import io.kotest.property.checkAll
import kotlinx.coroutines.runBlocking
import kotlinx.serialization.json.JsonElement
import mintpick.core.Chunk
import mintpick.core.Job
import mintpick.core.JobId
import mintpick.core.JobRecordInfo
import mintpick.core.MachineId
import mintpick.core.Resources
import mintpick.core.TaskId
import mintpick.store.Keys
import mintpick.store.RecordCodec
import mintpick.store.RecordFormat
import mintpick.store.SpecPieces
import mintpick.testing.SampleJobs
import mintpick.wire.StoredStage
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertNull
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import java.util.BitSet
import java.util.SplittableRandom

/** Records that arrive in any order, and some of them twice, must lead to the same cache. */
class RecordOrderTest {
    private val config = PropTestConfig(seed = 91)
    private val id = JobId("req-000007")
    private val machines = (1..4).map { MachineId("host-%06d".format(it)) }

    /** A write of [key], or its deletion if [value] is null. */
    private class Change(
        val key: String,
        val value: JsonElement?,
        val version: Long,
    )

    /** What the other components see of the job [id]. */
    private data class View(
        val stage: StoredStage?,
        val finalStage: StoredStage?,
        val doneCount: Int?,
        val waitingCount: Int?,
        val chunkVersions: List<Long>?,
        val isWaiting: Boolean,
        val tasks: List<Map<TaskId, Int>>,
        val used: Resources,
    )

    /** The history of one job: its submission, placements, outcomes, and possibly its end. */
    private class History(
        private val id: JobId,
        private val machines: List<MachineId>,
        private val random: SplittableRandom,
        tasks: Int,
    ) {
        val changes = ArrayList<Change>()
        private val spec = SampleJobs.spec(id.text, team = "blue", tasks = tasks, cpus = 0.25)
        private val pieces = SpecPieces.split(spec, PIECE_BYTES)
        private val isSpecSeparate = random.nextBoolean()
        private var version = 0L
        private var job =
            Job(id, spec, StoredStage.OPEN, 0, JobRecordInfo(0, if (isSpecSeparate) pieces.size else 0), emptyMap())

        fun play(
            steps: Int,
            ends: Boolean,
        ): List<Change> {
            if (isSpecSeparate) pieces.forEachIndexed { i, piece -> write(Keys.spec(id.text, i), SpecPieces.json(piece), ++version) }
            writeChunk(0, ++version)
            repeat(steps) { changeChunk(random.nextInt(job.chunkCount)) }
            if (ends) end()
            return changes
        }

        private fun changeChunk(index: Int) {
            val edit = job.chunk(index).edit()
            repeat(TASKS_PER_STEP) {
                val task = random.nextInt(job.chunkSize(index))
                if (edit.place(task, machines[random.nextInt(machines.size)]) == null) edit.finish(task)
            }
            job = job.withChunk(index, edit.build())
            writeChunk(index, ++version)
        }

        private fun writeChunk(
            index: Int,
            version: Long,
        ) {
            val chunk = job.chunk(index)
            job = job.withChunk(index, Chunk(version, chunk.size, chunk.placed, finishedOf(chunk), chunk.attempts))
            val value =
                if (index ==
                    0
                ) {
                    RecordCodec.jobJson(job, RecordFormat.COMPACT)
                } else {
                    RecordCodec.chunkJson(chunk, RecordFormat.COMPACT)
                }
            write(Keys.chunk(id.text, index), value, version)
        }

        private fun finishedOf(chunk: Chunk) = BitSet().apply { (0 until chunk.size).filter(chunk::isDone).forEach(::set) }

        private fun end() {
            version++
            write(Keys.job(id.text), RecordCodec.finalJson(StoredStage.DONE, job.spec.tasks), version)
            (1 until job.chunkCount).forEach { write(Keys.chunk(id.text, it), null, version) }
            version++
            if (isSpecSeparate) pieces.indices.forEach { write(Keys.spec(id.text, it), null, version) }
        }

        private fun write(
            key: String,
            value: JsonElement?,
            version: Long,
        ) {
            changes += Change(key, value, version)
        }
    }

    private fun viewOf(cache: LocalCache): View {
        val job = cache.job(id)
        return View(
            stage = job?.stage,
            finalStage = cache.finalJob(id)?.stage,
            doneCount = job?.doneCount,
            waitingCount = job?.waitingCount,
            chunkVersions = job?.let { (0 until it.chunkCount).map { index -> it.chunk(index).version } },
            isWaiting = cache.waitingJobs().isNotEmpty(),
            tasks = machines.map { cache.tasksOn(it).toMap() },
            used = cache.usedBy("blue"),
        )
    }

    private fun cacheOf(changes: List<Change>) = LocalCache().apply { changes.forEach { apply(it.key, it.value, it.version) } }

    /** A load as the state store serves it: the newest record of each key that exists, in the order of the keys. */
    private fun load(changes: List<Change>): List<Change> =
        changes
            .groupBy { it.key }
            .map { (_, sameKey) -> sameKey.maxBy { it.version } }
            .filter { it.value != null }
            .sortedBy { it.key }

    private fun shuffled(
        changes: List<Change>,
        random: SplittableRandom,
    ): List<Change> {
        val repeated = changes + changes.filter { random.nextInt(4) == 0 }
        return repeated.sortedBy { random.split().nextInt() }
    }

    /**
     * Guards against tasks that are forgotten because their chunk was read before the job that it belongs to was known, and against a
     * final job that a late piece of its specification opens again.
     */
    @Test
    fun `records of a job that arrive in any order lead to the same cache`(): Unit =
        runBlocking {
            checkAll(config, Arb.long(), Arb.int(1..1_000), Arb.int(0..12)) { seed, tasks, steps ->
                val random = SplittableRandom(seed)
                val changes = History(id, machines, random, tasks).play(steps, ends = random.nextInt(3) == 0)
                val expected = viewOf(cacheOf(changes))
                assertEquals(expected, viewOf(cacheOf(load(changes))), "loaded")
                repeat(4) { assertEquals(expected, viewOf(cacheOf(shuffled(changes, random))), "received in a drawn order") }
                val loadedUntil = random.nextInt(changes.size + 1)
                val loadThenWatch = load(changes.take(loadedUntil)) + changes.drop(random.nextInt(loadedUntil + 1))
                assertEquals(expected, viewOf(cacheOf(loadThenWatch)), "loaded, then watched")
            }
        }

    /** Guards against records that wait for a job for ever and fill the memory. */
    @Test
    fun `nothing waits for a job that is known or final`(): Unit =
        runBlocking {
            checkAll(config, Arb.long(), Arb.int(257..1_000)) { seed, tasks ->
                val random = SplittableRandom(seed)
                val changes = History(id, machines, random, tasks).play(6, ends = random.nextBoolean())
                val cache = cacheOf(shuffled(changes, random))
                assertEquals(0, cache.earlyChunkCount + cache.incompleteJobCount)
                assertTrue(cache.isKnown(id))
            }
        }

    /** Guards against a job that is lost because one of its chunks can't be read. */
    @Test
    fun `an unreadable chunk that arrives early leaves its job known`() {
        val changes = History(id, machines, SplittableRandom(5), 600).play(4, ends = false)
        val unreadable = Change(Keys.chunk(id.text, 2), SpecPieces.json("unreadable"), 90)
        val cache = cacheOf(listOf(unreadable) + changes)
        assertEquals(StoredStage.OPEN, cache.job(id)?.stage)
        assertNull(cache.finalJob(id))
        assertEquals(0, cache.earlyChunkCount)
    }

    private companion object {
        const val PIECE_BYTES = 60.0
        const val TASKS_PER_STEP = 20
    }
}
