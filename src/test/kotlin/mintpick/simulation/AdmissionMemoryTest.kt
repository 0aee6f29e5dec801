package mintpick.simulation

import mintpick.config.Operators
import mintpick.core.MemoryBudget
import mintpick.core.Micros
import mintpick.core.SECOND
import mintpick.engine.Engine
import mintpick.engine.runtime.Event
import mintpick.engine.runtime.ReplyTo
import mintpick.net.Answer
import mintpick.testing.ClusterSize
import mintpick.testing.FaultRates
import mintpick.testing.SampleJobs
import mintpick.testing.SimulatedCluster
import mintpick.testing.assertRulesHeld
import mintpick.wire.JobSpec
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test

/** Controllers with little memory, and more jobs than it holds. */
class AdmissionMemoryTest {
    private val engines = HashMap<Int, Engine>()
    private var mostBytes = 0L
    private var mostTasks = 0L

    private fun cluster(
        seed: Long,
        memory: MemoryBudget,
    ) = SimulatedCluster(seed, FaultRates(), ClusterSize(machines = 20)) { SampleJobs.settings(it) }.apply {
        controllerFactory = { node ->
            val engine = Engine(node.settings, Operators(), random.split(), memory)
            engines[node.index] = engine
            SimulatedCluster.Controller { now, wallClockUs, events -> engine.step(now, wallClockUs, events) }
        }
    }

    /** Runs until [untilUs] and records the most that any controller reports. */
    private fun SimulatedCluster.observe(untilUs: Micros) {
        while (now < untilUs) {
            run(now + SECOND / 10)
            val reports = engines.values.map { it.takeReport() }
            mostBytes = maxOf(mostBytes, reports.maxOf { valueOf("open_job_bytes", it) })
            mostTasks = maxOf(mostTasks, reports.maxOf { valueOf("placed_tasks", it) })
        }
    }

    private fun valueOf(
        name: String,
        report: String,
    ): Long = Regex("$name=(\\d+)").find(report)!!.groupValues[1].toLong()

    private fun largeJob(n: Int): JobSpec =
        SampleJobs.spec("req-%06d".format(n), "blue", tasks = 1, estimateS = 4.0).copy(image = "i".repeat(200), jobClass = "c".repeat(200))

    /** All accepted jobs were kept in memory without a limit, so that controllers could end, and end again after a restart. */
    @Test
    fun `submissions that do not fit in memory are refused at once, accepted once others have ended, and all run`() {
        val memory = MemoryBudget(heapBytes = 256 * 1024)
        val cluster = cluster(621, memory)
        val jobs = (1..120).map(::largeJob)
        cluster.observe(8 * SECOND)
        val refusals = ArrayList<Answer>()
        var longestUs: Micros = 0
        for (job in jobs.map { it.copy(id = "req-9" + it.id.takeLast(6)) }) {
            val sentUs = cluster.now
            cluster.rules.submitted(job, sentUs)
            cluster.nodes[0].deliver(
                Event.Submit(
                    job,
                    ReplyTo {
                        if (it.status != CREATED) refusals += it
                        longestUs = maxOf(longestUs, cluster.now - sentUs)
                    },
                ),
            )
        }
        cluster.observe(14 * SECOND)
        val fullMemory = refusals.filter { "too many open jobs" in it.body.decodeToString() }
        assertTrue(fullMemory.isNotEmpty(), "refusals: ${refusals.map { it.body.decodeToString() }}")
        assertTrue(fullMemory.all { it.status == UNAVAILABLE && it.retryAfterS != null })
        assertTrue(longestUs < 5 * SECOND, "answered after $longestUs us")
        jobs.forEach { cluster.addUser(it, null) }
        cluster.observe(40 * SECOND)
        cluster.nodes.forEach { it.crash(SECOND) }
        cluster.observe(200 * SECOND)
        assertEquals(emptyList<String>(), jobs.map { it.id }.filterNot(cluster.rules::isComplete), "jobs not completed")
        cluster.assertRulesHeld()
        assertTrue(mostBytes in 1..memory.openJobBytes, "$mostBytes bytes of ${memory.openJobBytes}")
    }

    /** Submissions that waited for the same catch-up were each checked alone, before it, and accepted together. */
    @Test
    fun `submissions that wait until their predecessors are known do not fit together if each fits alone`() {
        val memory = MemoryBudget(heapBytes = 160 * 1024)
        val cluster = cluster(623, memory)
        cluster.observe(8 * SECOND)
        val first = SampleJobs.spec("req-000001", "blue", tasks = 1, estimateS = 600.0)
        val dependent = (2..60).map { largeJob(it).copy(predecessors = listOf(first.id)) }
        cluster.rules.submitted(first, cluster.now)
        cluster.nodes[0].deliver(
            Event.Submit(
                first,
                ReplyTo {
                    for (job in dependent) {
                        cluster.rules.submitted(job, cluster.now)
                        cluster.nodes[1].deliver(Event.Submit(job, ReplyTo { }))
                    }
                },
            ),
        )
        cluster.observe(30 * SECOND)
        assertTrue(mostBytes in 1..memory.openJobBytes, "$mostBytes bytes of ${memory.openJobBytes}")
        cluster.assertRulesHeld()
    }

    /** Placed tasks need memory on every controller, and a job may have 100,000 of them. */
    @Test
    fun `no more tasks are placed than the memory holds, and the others follow`() {
        val memory = MemoryBudget(heapBytes = 96 * 1024)
        val cluster = cluster(622, memory)
        val array = SampleJobs.spec("req-000001", "blue", tasks = 200, cpus = 0.1, estimateS = 5.0)
        cluster.addUser(array, null)
        cluster.observe(120 * SECOND)
        assertTrue(cluster.rules.isComplete(array.id), "the job has not completed")
        assertTrue(mostTasks in 1..memory.placedTasks, "$mostTasks tasks of ${memory.placedTasks}")
        cluster.assertRulesHeld()
    }

    private companion object {
        const val CREATED = 201
        const val UNAVAILABLE = 503
    }
}
