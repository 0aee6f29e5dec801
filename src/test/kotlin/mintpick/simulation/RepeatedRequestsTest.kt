package mintpick.simulation

import mintpick.core.SECOND
import mintpick.net.Call
import mintpick.net.Target
import mintpick.store.Keys
import mintpick.testing.ClusterSize
import mintpick.testing.FaultRates
import mintpick.testing.SampleJobs
import mintpick.testing.SimulatedCluster
import mintpick.testing.assertRulesHeld
import mintpick.wire.JobKind
import mintpick.wire.NodeRecord
import mintpick.wire.Transaction
import mintpick.wire.WireJson
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.TestFactory

/**
 * Every request of one kind that was carried out and answered is carried out once more, from a moment to minutes later, while
 * controllers end and are back within a moment. None of them may break a rule.
 */
class RepeatedRequestsTest {
    /** A kind of request that controllers send. */
    private enum class Kind(
        val includes: (Call) -> Boolean,
    ) {
        COMMAND({ it.target is Target.Worker }),
        TRANSACTION({ it.target is Target.State && it.path == "/multi" }),
        TRANSACTION_WITHOUT_GUARDS({ it.path == "/multi" && transactionIn(it).guards.isEmpty() }),
        LEASE({ it.path.startsWith("/leases") }),
        RENTAL_OR_RELEASE({ it.target is Target.Cloud }),
        HINT({ it.target is Target.Peer }),
    }

    private fun id(n: Int): String = "req-%06d".format(n)

    /** Services, short and long arrays, gangs that need borrowed machines, and cancellations; a task fails on one in five machines. */
    private fun clusterWithWork(seed: Long): SimulatedCluster =
        SimulatedCluster(seed, FaultRates(), ClusterSize(machines = 12)) { SampleJobs.settings(it) }.apply {
            taskFails = { agent, task -> now < 110 * SECOND && (agent.id + task).hashCode() % 5 == 0 }
            (1..6).forEach { n -> addUser(SampleJobs.service(n), null) }
            (11..40).forEach { n ->
                val cancelAfterUs = if (n % 4 == 0) 6 * SECOND else null
                val spec = SampleJobs.spec(id(n), "blue", tasks = 3, cpus = 1.0, estimateS = 3.0 + n % 3 * 20)
                after(n * 3 * SECOND) { addUser(spec, cancelAfterUs) }
            }
            listOf(50L, 90L).forEachIndexed { n, second ->
                val gang = SampleJobs.spec(id(50 + n), "blue", 12, JobKind.GANG, cpus = 3.0, estimateS = 6.0, spot = false)
                after(second * SECOND) { addUser(gang, null) }
            }
            listOf(40L, 70L, 100L).forEachIndexed { n, second -> after(second * SECOND) { nodes[n].crash(SECOND / 4) } }
            after(120 * SECOND) { nodes.forEach { it.crash(random.nextLong(SECOND)) } }
        }

    private fun SimulatedCluster.assertAllServed() {
        run(330 * SECOND)
        assertRulesHeld()
        assertEquals(emptyList<Int>(), (11..40).filterNot { rules.isFinal(id(it)) }, "jobs that have not ended")
        assertEquals(12, rules.running.keys.count { it < id(7) }, "replicas that run")
    }

    @TestFactory
    fun `no rule is broken while every request of one kind is executed once more`() =
        Kind.entries.flatMap { kind ->
            (1L..4L).map { seed ->
                DynamicTest.dynamicTest("$kind, seed $seed") {
                    val cluster = clusterWithWork(seed)
                    cluster.repeatedRequests.rate = ALL
                    cluster.repeatedRequests.mayRepeat = { _, call -> kind.includes(call) }
                    cluster.after(180 * SECOND) { cluster.repeatedRequests.rate = 0 }
                    cluster.assertAllServed()
                    assertTrue(cluster.repeatedRequests.repeated.isNotEmpty(), "requests executed again")
                }
            }
        }

    @TestFactory
    fun `no rule is broken while every submission, poll and cancellation is delivered once more`() =
        (1L..4L).map { seed ->
            DynamicTest.dynamicTest("seed $seed") {
                val cluster = clusterWithWork(seed)
                cluster.repeatedRequests.userRate = ALL
                cluster.after(180 * SECOND) { cluster.repeatedRequests.userRate = 0 }
                cluster.assertAllServed()
                assertTrue(cluster.repeatedRequests.repeatedUserRequests > 100, "requests delivered again")
            }
        }

    /** A registration is not guarded: executed again, it attaches the record to the lease of an earlier process, and ends with it. */
    @Test
    fun `a controller is registered again after a registration of its earlier process was executed again`() {
        val cluster = clusterWithWork(seed = 7)
        val key = Keys.node("node-0")
        cluster.repeatedRequests.keepsRequests = true
        cluster.repeatedRequests.mayRepeat = { node, call ->
            node.index == 0 && call.path == "/multi" && transactionIn(call).changes.any { it.put == key }
        }
        cluster.run(60 * SECOND)
        cluster.nodes[0].crash(SECOND / 4)
        cluster.run(63 * SECOND)
        val lease = cluster.leaseOf(key)
        cluster.repeatedRequests.repeatKept { it.atUs < 60 * SECOND }
        cluster.run(64 * SECOND)
        assertEquals(1, cluster.repeatedRequests.repeated.count { it.secondStatus == 200 }, "registrations executed again")
        cluster.run(66 * SECOND)
        assertEquals(lease, cluster.leaseOf(key), "the record is attached to the present lease again")
        cluster.run(75 * SECOND)
        assertEquals(lease, cluster.leaseOf(key), "the record outlives the earlier lease")
        cluster.assertAllServed()
    }

    private fun SimulatedCluster.leaseOf(key: String): Long? =
        state.keys().firstOrNull { it.first == key }?.let { WireJson.decodeFromString(NodeRecord.serializer(), it.second).lease }

    private companion object {
        const val ALL = 1000

        fun transactionIn(call: Call): Transaction =
            WireJson.decodeFromString(Transaction.serializer(), requireNotNull(call.body).decodeToString())
    }
}
