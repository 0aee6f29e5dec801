package mintpick.upgrade

import kotlinx.serialization.json.JsonElement
import mintpick.core.SECOND
import mintpick.store.Keys
import mintpick.testing.SampleJobs
import mintpick.testing.SimulatedCluster
import mintpick.testing.assertRulesHeld
import mintpick.testing.submitTo
import mintpick.wire.WireJson
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertNotEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.TestFactory

/** Controllers of the version in production are exchanged one by one while they serve, and then the limits fall. */
class UpgradeTest {
    @TestFactory
    fun `a rolling upgrade keeps every rule, and pipelines run under the lowered limits`() =
        (301L..306L).map { seed -> DynamicTest.dynamicTest("seed $seed") { playUpgradeDay(seed) } }

    /** What the version in production makes of a record when it rewrites it: it drops what it does not know. */
    private fun rewritten(
        record: String,
        value: JsonElement,
    ): JsonElement {
        val serializer = Production.version.serializer(record)
        return WireJson.encodeToJsonElement(serializer, WireJson.decodeFromJsonElement(serializer, value))
    }

    private fun recordOf(key: String): String? =
        when (Keys.parse(key)) {
            is Keys.Subject.Job -> "wire.JobRecord"
            is Keys.Subject.Chunk -> "wire.ChunkRecord"
            is Keys.Subject.MachineList -> "wire.FleetRecord"
            is Keys.Subject.Node -> "wire.NodeRecord"
            is Keys.Subject.Usage -> "wire.UsageRecord"
            is Keys.Subject.Team -> "wire.ReservationRecord"
            is Keys.Subject.Shard, is Keys.Subject.Borrow, Keys.Subject.Leader, Keys.Subject.ShardEpoch -> "wire.ClaimRecord"
            else -> null
        }

    /** Records that the version in production would not rewrite as they are. */
    private fun SimulatedCluster.unreadableBefore(): List<String> =
        state.keys().mapNotNull { (key, text) ->
            val value = WireJson.parseToJsonElement(text)
            key.takeIf { recordOf(it)?.let { record -> rewritten(record, value) != value } ?: false }
        }

    @Test
    fun `while one controller is still old, all that is written is read and rewritten by it without loss`() {
        val roll = RollingUpgrade(311)
        val cluster = roll.cluster
        cluster.beforehand()
        cluster.run(25 * SECOND)
        val before =
            cluster.state
                .keys()
                .map { it.first }
                .toSet()
        roll.exchange(0)
        cluster.run(38 * SECOND)
        roll.exchange(1)
        for (at in 39..75) {
            cluster.run(at * SECOND)
            assertEquals(emptyList<String>(), cluster.unreadableBefore(), "at $at s")
        }
        val prefixes =
            (
                cluster.state
                    .keys()
                    .map { it.first }
                    .toSet() - before
            ).filter { recordOf(it) == null }
        assertEquals(listOf(Keys.format("node-0"), Keys.format("node-1")), prefixes.sorted())
        // A controller that only wrote nothing would pass: the new ones have placed, finished and listed.
        assertTrue(cluster.rules.starts > 300, "${cluster.rules.starts} starts")
        roll.exchange(2)
        cluster.run(110 * SECOND)
        assertNotEquals(emptyList<String>(), cluster.unreadableBefore(), "the compact format is in use afterwards")
        cluster.assertRulesHeld()
    }

    /** An old controller that waits for its turn for long: submissions with the new field are refused, and may come again. */
    @Test
    fun `a job that waits for others is not accepted before all controllers know what that means`() {
        val roll = RollingUpgrade(312)
        val cluster = roll.cluster
        val earlier = cluster.beforehand()
        cluster.run(20 * SECOND)
        roll.exchange(0)
        roll.exchange(1)
        cluster.run(50 * SECOND)
        val job = SampleJobs.spec("req-000200", "blue", estimateS = 2.0).copy(predecessors = listOf(earlier[1].id))
        val statuses = ArrayList<Int>()
        (0..1).forEach { n -> cluster.submitTo(n, job) { statuses.add(it) } }
        cluster.run(55 * SECOND)
        assertEquals(listOf(503, 503), statuses)
        roll.exchange(2)
        cluster.run(70 * SECOND)
        cluster.user(job, null)
        cluster.run(150 * SECOND)
        cluster.assertRulesHeld()
        assertTrue(cluster.rules.isComplete(job.id))
    }
}
