package mintpick.simulation

import mintpick.core.JobId
import mintpick.core.SECOND
import mintpick.engine.runtime.Event
import mintpick.engine.runtime.ReplyTo
import mintpick.testing.ClusterSize
import mintpick.testing.FaultRates
import mintpick.testing.MACHINE_TYPES
import mintpick.testing.SampleJobs
import mintpick.testing.SimulatedCluster
import mintpick.testing.assertRulesHeld
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Test

/** A controller that was cut off while much was written, so that the changes it missed are longer than an answer may be. */
class LongWatchAnswerTest {
    /** The answer was truncated, read as malformed and requested again for good, so that all polls got 503. */
    @Test
    fun `a controller loads all records when the changes it missed are too long for its memory`() {
        val cluster = SimulatedCluster(631, FaultRates(), ClusterSize(machines = 10)) { SampleJobs.settings(it) }
        cluster.maxAnswerBytes = 600 * 1024
        val types = listOf(MACHINE_TYPES.first().name) + List(2_000) { "type-$it" }
        val jobs = (1..60).map { SampleJobs.spec("req-%06d".format(it), "blue", tasks = 1, estimateS = 2.0).copy(types = types) }
        cluster.run(8 * SECOND)
        cluster.nodes[2].cutFromState = true
        jobs.forEach { cluster.addUser(it, null) }
        cluster.run(60 * SECOND)
        cluster.nodes[2].cutFromState = false
        cluster.run(80 * SECOND)
        val statuses = jobs.map { job -> poll(cluster, job.id) }
        assertEquals(setOf(200), statuses.toSet())
        cluster.assertRulesHeld()
        assertEquals(emptyList<String>(), jobs.map { it.id }.filterNot(cluster.rules::isComplete), "jobs not completed")
    }

    private fun poll(
        cluster: SimulatedCluster,
        id: String,
    ): Int {
        var status = 0
        cluster.nodes[2].deliver(Event.Poll(JobId(id), ReplyTo { status = it.status }))
        cluster.run(cluster.now + SECOND)
        return status
    }
}
