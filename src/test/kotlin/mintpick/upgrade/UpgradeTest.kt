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

/** Upgrades controllers from the version in production one by one under load; then the state store's limits are lowered. */
class UpgradeTest {
    @TestFactory
    fun `no rule is broken during a rolling upgrade and pipelines run under the lowered limits`() =
        (301L..306L).map { seed -> DynamicTest.dynamicTest("seed $seed") { playUpgradeDay(seed) } }

    /** The record [value] as the version in production rewrites it, without the fields that it does not know. */
    private fun rewrittenByProduction(
        recordClass: String,
        value: JsonElement,
    ): JsonElement {
        val serializer = Production.version.serializer(recordClass)
        return WireJson.encodeToJsonElement(serializer, WireJson.decodeFromJsonElement(serializer, value))
    }

    private fun recordClassOf(key: String): String? =
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

    /** Keys of records that would change if the version in production rewrote them. */
    private fun SimulatedCluster.keysChangedByProduction(): List<String> =
        state.keys().mapNotNull { (key, text) ->
            val value = WireJson.parseToJsonElement(text)
            key.takeIf { recordClassOf(it)?.let { recordClass -> rewrittenByProduction(recordClass, value) != value } ?: false }
        }

    @Test
    fun `records written during the upgrade are rewritten by the old version without loss`() {
        val upgrade = RollingUpgrade(311)
        val cluster = upgrade.cluster
        cluster.submitInitialJobs()
        cluster.run(25 * SECOND)
        val keysBefore =
            cluster.state
                .keys()
                .map { it.first }
                .toSet()
        upgrade.upgradeNode(0)
        cluster.run(38 * SECOND)
        upgrade.upgradeNode(1)
        for (at in 39..75) {
            cluster.run(at * SECOND)
            assertEquals(emptyList<String>(), cluster.keysChangedByProduction(), "at $at s")
        }
        val keysWithoutRecordClass =
            (
                cluster.state
                    .keys()
                    .map { it.first }
                    .toSet() - keysBefore
            ).filter { recordClassOf(it) == null }
        assertEquals(listOf(Keys.format("node-0"), Keys.format("node-1")), keysWithoutRecordClass.sorted())
        // The checks above also pass if the upgraded controllers write nothing, so tasks must have been started.
        assertTrue(cluster.rules.starts > 300, "${cluster.rules.starts} task starts")
        upgrade.upgradeNode(2)
        cluster.run(110 * SECOND)
        assertNotEquals(
            emptyList<String>(),
            cluster.keysChangedByProduction(),
            "the compact format is used after the last controller is upgraded",
        )
        cluster.assertRulesHeld()
    }

    /** A start of the version in production has no higher token behind it, until a controller of the present version raises it. */
    @TestFactory
    fun `a task that the old version started and that moves after the upgrade is not run again where it was`() =
        (321L..326L).map { seed ->
            DynamicTest.dynamicTest("seed $seed") {
                val upgrade = RollingUpgrade(seed)
                val cluster = upgrade.cluster
                val service = SampleJobs.service(1, tasks = 6)
                cluster.repeatedRequests.keepsRequests = true
                cluster.addUser(service, null)
                cluster.run(30 * SECOND)
                (0..2).forEach { upgrade.upgradeNode(it) }
                cluster.run(45 * SECOND)
                val failing =
                    cluster.rules.running
                        .getValue("${service.id}/0")
                        .machine
                cluster.repeatedRequests.repeatEverySecond { it.startsTaskOf(service.id) }
                cluster.taskFails = { agent, task -> agent.id == failing && task.startsWith(service.id) }
                cluster.agents.getValue(failing).complete("${service.id}/0", cluster.now)
                cluster.run(110 * SECOND)
                cluster.assertRulesHeld()
                assertTrue(cluster.repeatedRequests.repeated.isNotEmpty(), "requests executed again")
                assertNotEquals(
                    failing,
                    cluster.rules.running
                        .getValue("${service.id}/0")
                        .machine,
                )
            }
        }

    /** While one controller still runs the old version, jobs with predecessors are refused with 503 and can be resubmitted later. */
    @Test
    fun `a job with predecessors is refused until all controllers support predecessors`() {
        val upgrade = RollingUpgrade(312)
        val cluster = upgrade.cluster
        val initialJobs = cluster.submitInitialJobs()
        cluster.run(20 * SECOND)
        upgrade.upgradeNode(0)
        upgrade.upgradeNode(1)
        cluster.run(50 * SECOND)
        val job = SampleJobs.spec("req-000200", "blue", estimateS = 2.0).copy(predecessors = listOf(initialJobs[1].id))
        val statuses = ArrayList<Int>()
        (0..1).forEach { n -> cluster.submitTo(n, job) { statuses.add(it) } }
        cluster.run(55 * SECOND)
        assertEquals(listOf(503, 503), statuses)
        upgrade.upgradeNode(2)
        cluster.run(70 * SECOND)
        cluster.addUser(job, null)
        cluster.run(150 * SECOND)
        cluster.assertRulesHeld()
        assertTrue(cluster.rules.isComplete(job.id))
    }
}
