package mintpick.simulation

import mintpick.core.JobId
import mintpick.core.SECOND
import mintpick.engine.runtime.Event
import mintpick.engine.runtime.ReplyTo
import mintpick.testing.FaultRates
import mintpick.testing.SampleJobs
import mintpick.testing.SimulatedAgent
import mintpick.testing.SimulatedCluster
import mintpick.testing.assertRulesHeld
import mintpick.testing.leader
import mintpick.wire.ExitCause
import mintpick.wire.JobKind
import mintpick.wire.JobSpec
import mintpick.wire.JobStage
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertNotEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.TestFactory

/**
 * Direct starts that were carried out and answered arrive again: here every second for minutes, with whatever else their requests
 * contained. None of them may run a task again.
 */
class RepeatedStartTest {
    private val job = "req-000001"

    private fun onSeeds(play: (Long) -> Unit): List<DynamicTest> =
        (1L..6L).map { seed -> DynamicTest.dynamicTest("seed $seed") { play(seed) } }

    /** A cluster that runs six services of two tasks and [spec], whose direct starts are executed again every second. */
    private fun clusterWith(
        seed: Long,
        spec: JobSpec,
        prepare: SimulatedCluster.() -> Unit = {},
    ): SimulatedCluster =
        SimulatedCluster(seed, FaultRates()) { SampleJobs.settings(it) }.apply {
            repeatedRequests.keepsRequests = true
            (11..16).forEach { n -> addUser(SampleJobs.service(n), null) }
            prepare()
            run(40 * SECOND)
            repeatedRequests.repeatEverySecond { it.startsTaskOf(job) }
            addUser(spec, null)
        }

    private fun service() = SampleJobs.service(1, tasks = 3)

    private fun array(
        tasks: Int = 4,
        estimateS: Double = 300.0,
    ) = SampleJobs.spec(job, "blue", tasks, cpus = 1.0, estimateS = estimateS)

    private fun SimulatedCluster.runFor(seconds: Long) = run(now + seconds * SECOND)

    private fun SimulatedCluster.machineOf(task: String): SimulatedAgent = agents.getValue(rules.running.getValue(task).machine)

    /** Checks all rules, and that requests were executed again at all. */
    private fun SimulatedCluster.assertNothingRepeated() {
        assertRulesHeld()
        assertNotEquals(emptyList<String>(), repeatedRequests.repeated.map { it.secondStatus }, "requests executed again")
    }

    /** Lets the first tasks of the job fail that start on the first machine that starts one. */
    private fun SimulatedCluster.failOnFirstMachine() {
        var first: String? = null
        taskFails = { agent, task ->
            task.startsWith(job) && agent.id == (first ?: agent.id.also { first = it })
        }
    }

    private fun SimulatedCluster.cancelJob() {
        rules.cancelRequested(job)
        nodes.first { it.engine != null }.deliver(
            Event.Cancel(JobId(job), ReplyTo { if (it.status == 200) rules.jobAnswered(job, JobStage.CANCELLED, now) }),
        )
    }

    @TestFactory
    fun `a task that has failed and moved is not run again where it was`() =
        onSeeds { seed ->
            val cluster = clusterWith(seed, service()) { failOnFirstMachine() }
            cluster.runFor(90)
            cluster.assertNothingRepeated()
            assertEquals(
                3,
                cluster.rules.running.keys
                    .count { it.startsWith(job) },
                "tasks that run",
            )
        }

    @TestFactory
    fun `a cancelled task is not run again after its cancellation was confirmed`() =
        onSeeds { seed ->
            val cluster = clusterWith(seed, array())
            cluster.runFor(15)
            cluster.cancelJob()
            cluster.runFor(120)
            cluster.assertNothingRepeated()
        }

    @TestFactory
    fun `a preempted task is not run again where it was`() =
        onSeeds { seed ->
            val cluster = clusterWith(seed, array(tasks = 96))
            cluster.runFor(20)
            (101..106).forEach { n -> cluster.addUser(SampleJobs.service(n, "blue", tasks = 4, cpus = 6.0), 20 * SECOND) }
            cluster.runFor(90)
            cluster.assertNothingRepeated()
            assertTrue(cluster.rules.startsOf.any { (task, starts) -> task.startsWith(job) && starts > 1 }, "tasks were preempted")
        }

    @TestFactory
    fun `a task of a drained machine is not run again there`() =
        onSeeds { seed ->
            val cluster = clusterWith(seed, service())
            cluster.runFor(15)
            val drained = cluster.machineOf("$job/0")
            drained.noticeUs = cluster.now + 100 * SECOND
            cluster.runFor(80)
            cluster.assertNothingRepeated()
            assertNotEquals(drained.id, cluster.machineOf("$job/0").id)
        }

    @TestFactory
    fun `a completed task is not run again`() =
        onSeeds { seed ->
            val cluster = clusterWith(seed, array(estimateS = 3.0))
            cluster.runFor(90)
            cluster.assertNothingRepeated()
            assertTrue(cluster.rules.isFinal(job))
            assertEquals(setOf(1), (0 until 4).map { cluster.rules.startsOf["$job/$it"] }.toSet(), "starts of each task")
        }

    @TestFactory
    fun `a task whose start was refused is not run later where it was refused`() =
        ExitCause.entries.filter { it in REFUSALS }.flatMap { cause ->
            onSeeds { seed ->
                var refusals = 0
                val cluster =
                    clusterWith(seed, service()) {
                        startRefusal = { _, task -> cause.takeIf { task.startsWith(job) && refusals++ < 5 } }
                    }
                cluster.runFor(90)
                cluster.assertNothingRepeated()
                assertTrue(refusals > 5, "starts were refused")
                assertEquals(
                    3,
                    cluster.rules.running.keys
                        .count { it.startsWith(job) },
                    "tasks that run",
                )
            }
        }

    @TestFactory
    fun `a task is not run again on a machine that another controller has taken over`() =
        onSeeds { seed ->
            val cluster = clusterWith(seed, service()) { failOnFirstMachine() }
            cluster.runFor(10)
            val cut = cluster.nodes[(seed % 3).toInt()]
            cut.cutFromAgents = true
            cluster.runFor(30)
            cut.cutFromAgents = false
            cluster.runFor(60)
            cluster.assertNothingRepeated()
        }

    @TestFactory
    fun `a task is not run again on a machine that was borrowed and returned`() =
        onSeeds { seed ->
            val cluster = clusterWith(seed, array(tasks = 14).copy(kind = JobKind.GANG, cpus = 4.0, memoryGb = 12.0, estimateS = 5.0))
            cluster.taskFails =
                { agent, task -> task.startsWith(job) && agent.id == cluster.agents.keys.first() && cluster.now < 60 * SECOND }
            cluster.runFor(120)
            cluster.assertNothingRepeated()
        }

    @TestFactory
    fun `a task is not run again after its controller was restarted`() =
        onSeeds { seed ->
            val cluster = clusterWith(seed, service()) { failOnFirstMachine() }
            repeat(4) {
                cluster.runFor(9)
                cluster.nodes.forEach { it.crash(cluster.random.nextLong(SECOND)) }
                cluster.runFor(12)
                cluster.leader().crash(SECOND / 4)
            }
            cluster.runFor(40)
            cluster.assertNothingRepeated()
        }

    private companion object {
        val REFUSALS = setOf(ExitCause.NO_ROOM, ExitCause.BUSY, ExitCause.UNKNOWN)
    }
}
