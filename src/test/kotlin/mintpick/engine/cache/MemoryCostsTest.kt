package mintpick.engine.cache

import io.kotest.property.Arb
import io.kotest.property.PropTestConfig
import io.kotest.property.arbitrary.long
import io.kotest.property.checkAll
import kotlinx.coroutines.runBlocking
import mintpick.core.Job
import mintpick.core.JobId
import mintpick.core.JobRecordInfo
import mintpick.core.MachineId
import mintpick.core.MachineView
import mintpick.core.TaskId
import mintpick.core.TaskMemory
import mintpick.store.Keys
import mintpick.store.RecordCodec
import mintpick.store.RecordFormat
import mintpick.store.SpecPieces
import mintpick.testing.SampleJobs
import mintpick.wire.JobSpec
import mintpick.wire.MachineReport
import mintpick.wire.StoredStage
import mintpick.wire.TaskReport
import mintpick.wire.TaskState
import mintpick.wire.WireJson
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.TestFactory
import org.openjdk.jol.info.GraphLayout
import java.util.SplittableRandom

/** The estimated memory of open jobs must never be below the real one: admission relies on it. */
class MemoryCostsTest {
    private class Fixture {
        val cache = LocalCache()
        private var version = 0L

        fun done(numbers: IntRange) =
            numbers.forEach { cache.apply(Keys.job(id(it)), RecordCodec.finalJson(StoredStage.DONE, 1), ++version) }

        /** Applies the records of an open job as they are read from the state store. */
        fun open(
            spec: JobSpec,
            pieceBytes: Double? = null,
            edit: (Job) -> Job = { it },
        ) {
            val pieces = pieceBytes?.let { SpecPieces.split(spec, it) }.orEmpty()
            pieces.forEachIndexed { i, piece -> cache.apply(Keys.spec(spec.id, i), SpecPieces.json(piece), ++version) }
            val job = edit(Job(JobId(spec.id), spec, StoredStage.OPEN, 0, JobRecordInfo(0, pieces.size), emptyMap()))
            cache.apply(Keys.job(spec.id), RecordCodec.jobJson(job, RecordFormat.COMPACT), ++version)
            for (chunk in 1 until job.chunkCount) {
                cache.apply(Keys.chunk(spec.id, chunk), RecordCodec.chunkJson(job.chunk(chunk), RecordFormat.COMPACT), ++version)
            }
        }

        fun bytes(): Long = GraphLayout.parseInstance(cache).totalSize()

        fun estimate(): Long = cache.openJobBytes + cache.placedTaskCount * TaskMemory.PLACED_TASK_BYTES.toLong()
    }

    /** Fills a cache with [fill] and checks its growth against the growth of the estimate. */
    private fun check(
        name: String,
        units: Int,
        prepare: Fixture.() -> Unit = {},
        fill: Fixture.() -> Unit,
    ) {
        val fixture = Fixture().apply(prepare)
        val before = fixture.bytes()
        val estimatedBefore = fixture.estimate()
        fixture.fill()
        val measured = fixture.bytes() - before
        val estimated = fixture.estimate() - estimatedBefore
        println("memory of $name: measured ${measured / units} bytes, estimated ${estimated / units}")
        assertTrue(measured <= estimated, "$name: measured $measured bytes, estimated $estimated")
    }

    @TestFactory
    fun `the estimated memory of open jobs is not below the measured one`() =
        listOf(
            "a job with one task" to { check("a job with one task", 500) { (1..500).forEach { open(spec(it)) } } },
            "a name of a done job" to {
                check("a name of a done job", 18_000, { done(1..4_500) }) {
                    (1..4).forEach { open(spec(100_000 + it, (1..4_500).toList()), pieceBytes = 32_766.0) }
                }
            },
            "a dependency on one of few jobs" to {
                check("a dependency on one of few jobs", 18_000) {
                    (1..4).forEach { open(spec(100_000 + it, (1..4_500).toList()), pieceBytes = 32_766.0) }
                }
            },
            "a dependency on a job of its own" to {
                check("a dependency on a job of its own", 18_000) {
                    (0 until 4).forEach { n -> open(spec(100_000 + n, (n * 4_500 until (n + 1) * 4_500).toList()), 32_766.0) }
                }
            },
            "a job that one other waits for" to {
                check("a job that one other waits for", 500) { (1..500).forEach { open(spec(100_000 + it, listOf(it))) } }
            },
            "a machine type" to {
                check("a machine type", 4_000) {
                    (1..4).forEach { n -> open(spec(n).copy(types = (1..1_000).map { "t$it" })) }
                }
            },
            "a text of 200 characters" to {
                check("a text of 200 characters", 800) {
                    (1..4).forEach { n -> open(spec(n).copy(types = (1..200).map { "\u4e00".repeat(190) + it })) }
                }
            },
            "256 tasks that have run" to {
                check("256 tasks that have run", 391) { open(spec(1, tasks = 100_000)) { job -> done(job) } }
            },
            "a placed task" to {
                check("a placed task", 10_000) { (1..2).forEach { n -> open(spec(n, tasks = 5_000)) { job -> placed(job) } } }
            },
        ).map { (name, check) -> DynamicTest.dynamicTest(name) { check() } }

    /** The record and indexes of a task are on every controller, its status on the one that its agent reports to. */
    @Test
    fun `the estimated memory of a placed task includes its status`() {
        val fixture = Fixture()
        val before = fixture.bytes()
        (1..2).forEach { n -> fixture.open(spec(n, tasks = 5_000)) { job -> placed(job) } }
        val views = (0 until 100).map { MachineView(MachineId("host-%06d".format(it)), 0) }
        val viewsBefore = GraphLayout.parseInstance(views).totalSize()
        views.forEach { view -> view.applyStatus(report(view.id, fixture.cache.tasksOn(view.id)), 0, isDirectAnswer = false) }
        val measured = fixture.bytes() - before + GraphLayout.parseInstance(views).totalSize() - viewsBefore
        println("memory of a placed task with its status: measured ${measured / 10_000} bytes")
        val estimated = 10_000L * TaskMemory.PLACED_TASK_BYTES
        assertTrue(measured <= estimated, "measured $measured bytes, estimated $estimated")
    }

    @Test
    fun `a cache counts nothing for jobs that have ended`() {
        val fixture = Fixture()
        (1..50).forEach { fixture.open(spec(100_000 + it, (1..200).toList(), tasks = 300), pieceBytes = 200.0) { job -> placed(job) } }
        fixture.done(1..200)
        fixture.done(100_001..100_050)
        assertTrue(fixture.estimate() == 0L, "${fixture.cache.openJobBytes} bytes, ${fixture.cache.placedTaskCount} tasks")
    }

    @Test
    fun `the estimate is not below the measured memory for drawn jobs in any order of their records`(): Unit =
        runBlocking {
            checkAll(PropTestConfig(seed = 62, iterations = 10), Arb.long()) { seed ->
                val random = SplittableRandom(seed)
                check("drawn jobs", 1) {
                    repeat(80) { n ->
                        if (random.nextInt(4) == 0) done(n..n)
                        val names = (0 until random.nextInt(1 + n)).filter { random.nextInt(3) == 0 }
                        val tasks = 1 + random.nextInt(600)
                        val pieceBytes = if (random.nextBoolean()) 300.0 else null
                        open(spec(1_000 + n, names, tasks), pieceBytes) { if (random.nextBoolean()) placed(it) else it }
                    }
                }
            }
        }

    private companion object {
        fun id(number: Int) = "req-%06d".format(number)

        fun spec(
            number: Int,
            predecessors: List<Int> = emptyList(),
            tasks: Int = 1,
        ) = SampleJobs.spec(id(number), "blue", tasks).copy(predecessors = predecessors.map(::id).ifEmpty { null })

        /** A heartbeat of [machine] as it is read from JSON. */
        fun report(
            machine: MachineId,
            tasks: Map<TaskId, Int>,
        ): MachineReport {
            val reports = tasks.map { (task, attempt) -> TaskReport(task.toString(), attempt, TaskState.RUNNING) }
            val report = MachineReport(machine.text, "10.0.0.1:1", "small", "north", false, 1, 1, 1, null, reports)
            val text = WireJson.encodeToString(MachineReport.serializer(), report)
            return WireJson.decodeFromString(MachineReport.serializer(), text)
        }

        fun placed(job: Job): Job =
            (0 until job.chunkCount).fold(job) { placed, index ->
                val edit = placed.chunk(index).edit()
                (0 until placed.chunkSize(index)).forEach { edit.place(it, MachineId("host-%06d".format(it % 100))) }
                placed.withChunk(index, edit.build())
            }

        fun done(job: Job): Job =
            (0 until job.chunkCount).fold(job) { done, index ->
                val edit = done.chunk(index).edit()
                (1 until done.chunkSize(index)).forEach(edit::finish)
                done.withChunk(index, edit.build())
            }
    }
}
