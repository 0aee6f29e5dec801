package mintpick.simulation

import mintpick.core.SECOND
import mintpick.testing.ALL_FAULTS
import mintpick.testing.ClusterSize
import mintpick.testing.FaultRates
import mintpick.testing.SampleJobs
import mintpick.testing.SimulatedAgent
import mintpick.testing.SimulatedCluster
import mintpick.testing.assertRulesHeld
import mintpick.testing.injectRandom
import mintpick.testing.recordsNaming
import mintpick.wire.JobSpec
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertFalse
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.TestFactory

/** The rules and faults that came with growth, each as a failure that its guard prevents. */
class ServiceGuaranteesTest {
    private fun cluster(
        seed: Long,
        faultRates: FaultRates = FaultRates(),
        size: ClusterSize = ClusterSize(),
    ) = SimulatedCluster(seed, faultRates, size) { SampleJobs.settings(it) }

    private fun service(
        n: Int,
        tasks: Int = 2,
    ): JobSpec = SampleJobs.service(n, tasks = tasks)

    private fun SimulatedCluster.services(count: Int) = (1..count).forEach { n -> after(n * SECOND / 2) { user(service(n), null) } }

    private fun SimulatedCluster.busiest(): SimulatedAgent = workers.values.maxBy { rules.attemptsOn(it.id).size }

    /**
     * Once a machine whose reports alone get through was taken for alive: it kept its replicas, and got new ones,
     * until its lease ran out again and again.
     */
    @Test
    fun `a machine that commands do not reach is released, and its work runs elsewhere`() {
        val cluster = cluster(11)
        cluster.services(6)
        cluster.run(60 * SECOND)
        val deaf = cluster.busiest()
        val held = cluster.rules.attemptsOn(deaf.id)
        assertTrue(held.isNotEmpty())
        deaf.deaf = true
        cluster.run(64 * SECOND)
        (7..10).forEach { n -> cluster.user(service(n), null) }
        cluster.run(100 * SECOND)
        assertFalse(deaf.id in cluster.workers, "released")
        assertTrue(held.all { task -> cluster.workers.values.any { task in cluster.rules.attemptsOn(it.id) } }, "moved")
        assertTrue(
            (7..10).all { n ->
                cluster.workers.values.any { w ->
                    cluster.rules.attemptsOn(w.id).any { it.startsWith("req-%06d".format(n)) }
                }
            },
            "nobody waits for it",
        )
        cluster.assertRulesHeld()
    }

    /** A start that is sent once and lost blocks its task until the session rises; a second one must not follow it there. */
    @Test
    fun `nothing new is placed where a call has failed`() {
        val cluster = cluster(12)
        cluster.services(4)
        cluster.run(60 * SECOND)
        val deaf = cluster.busiest()
        deaf.deaf = true
        cluster.cloud.out = true
        cluster.run(66 * SECOND)
        (5..12).forEach { n -> cluster.user(service(n, tasks = 1), null) }
        cluster.run(76 * SECOND)
        val late =
            (5..12).count { n ->
                cluster.workers.values.none { w -> cluster.rules.attemptsOn(w.id).any { it.startsWith("req-%06d".format(n)) } }
            }
        assertTrue(late <= 1, "$late of 8 wait for a machine that does not hear")
        // With the cloud down its own lease settles what it held.
        cluster.run(100 * SECOND)
        cluster.assertRulesHeld()
    }

    /** Copies of its reports arrive after a machine is gone, also at controllers that have just started and know no better. */
    @Test
    fun `late copies revive nothing, prove nothing and drain nothing`() {
        val cluster = cluster(13)
        cluster.services(6)
        cluster.run(60 * SECOND)
        val gone = cluster.busiest()
        gone.noticeUs = cluster.now + 20 * SECOND
        val copies = List(3) { gone.report(cluster.now) }
        gone.noticeUs = null
        cluster.remove(gone.id)
        val other = cluster.workers.values.first { it !== gone }
        val kept = cluster.rules.attemptsOn(other.id)
        other.noticeUs = cluster.now + 20 * SECOND
        val old = other.report(cluster.now).copy(tasks = emptyList())
        other.noticeUs = null
        cluster.run(85 * SECOND)
        cluster.nodes.forEach { it.crash(SECOND / 5) }
        for (at in listOf(1L, 3L, 6L, 9L)) {
            cluster.after(at * SECOND) {
                copies.forEach { copy -> cluster.nodes.forEach { cluster.replay(copy, it) } }
                cluster.nodes.forEach { cluster.replay(old, it) }
            }
        }
        cluster.run(130 * SECOND)
        cluster.assertRulesHeld()
        assertEquals(emptySet<String>(), cluster.recordsNaming(gone.id), "no record of a machine that is gone")
        assertEquals(kept, cluster.rules.attemptsOn(other.id).intersect(kept), "its work stays where it is")
        assertTrue(other.id in cluster.workers)
    }

    /** A controller that sees its workers alone keeps services up, in time for cancellations, and returns without harm. */
    @Test
    fun `a controller without state service and peers neither doubles nor loses work`() {
        for (span in listOf(10L, 45L)) {
            val cluster = cluster(14 + span)
            cluster.services(6)
            cluster.after(70 * SECOND) { cluster.user(service(20), 5 * SECOND) }
            cluster.run(60 * SECOND)
            val node = cluster.nodes[0]
            node.cutFromState = true
            node.cutFromPeers = true
            cluster.run((60 + span) * SECOND)
            node.cutFromState = false
            node.cutFromPeers = false
            cluster.rules.faultsOverSinceUs = cluster.now
            cluster.run((140 + span) * SECOND)
            cluster.assertRulesHeld()
            assertTrue(
                (1..6).all { n ->
                    (0..1).all { t ->
                        cluster.workers.values.any {
                            "req-%06d/$t".format(n) in
                                cluster.rules.attemptsOn(it.id)
                        }
                    }
                },
            )
        }
    }

    @TestFactory
    fun `every job stays known and is served through drawn faults and quick returns`() =
        (31L..38L).map { seed ->
            DynamicTest.dynamicTest("seed $seed") {
                val cluster = cluster(seed, FaultRates(lost = 3, lostAnswer = 3, late = 4, copied = 60))
                (1..30).forEach { n ->
                    val spec =
                        if (n % 4 == 0) {
                            service(n, 1 + cluster.random.nextInt(3))
                        } else {
                            SampleJobs.spec(
                                "req-%06d".format(n),
                                team =
                                    if (n % 2 ==
                                        0
                                    ) {
                                        "red"
                                    } else {
                                        "blue"
                                    },
                                tasks = 1 + cluster.random.nextInt(12),
                                estimateS = 2.0 + cluster.random.nextInt(12),
                            )
                        }
                    cluster.after(cluster.random.nextLong(60 * SECOND)) { cluster.user(spec, if (n % 7 == 0) 20 * SECOND else null) }
                }
                repeat(
                    8,
                ) {
                    cluster.after(5 * SECOND + cluster.random.nextLong(95 * SECOND)) {
                        cluster.injectRandom(
                            ALL_FAULTS,
                            2 * SECOND,
                            20 * SECOND,
                        )
                    }
                }
                cluster.after(120 * SECOND) { cluster.rules.faultsOverSinceUs = cluster.now }
                cluster.run(300 * SECOND)
                cluster.rules.checkServed(cluster.now)
                cluster.assertRulesHeld()
            }
        }

    /**
     * Controllers that refuse each other's connections are all alive: each took whole shards from the others, who took
     * them back with the next report, and hundreds of tasks were killed by leases that nobody's answers renewed.
     */
    @Test
    fun `controllers that do not hear each other do not pass shards back and forth`() {
        val cluster = cluster(45, size = ClusterSize(machines = 90))
        (1..20).forEach { n ->
            cluster.user(SampleJobs.spec("req-%06d".format(n), team = "blue", tasks = 10, cpus = 2.0, estimateS = 500.0), null)
        }
        cluster.run(60 * SECOND)
        val before = cluster.state.writesByKind["s"] ?: 0
        cluster.nodes.forEach { it.cutFromPeers = true }
        // Workers of new machines report to any controller first.
        (21..40).forEach { n ->
            cluster.user(SampleJobs.spec("req-%06d".format(n), team = "blue", tasks = 10, cpus = 2.0, estimateS = 500.0), null)
        }
        cluster.run(100 * SECOND)
        val claims = (cluster.state.writesByKind["s"] ?: 0) - before
        // Each part in both zones may change hands once or twice; without the guard it was over four hundred times.
        assertTrue(claims in 1..60, "$claims claims")
        cluster.assertRulesHeld()
    }

    /** Without its bound the handicap of large jobs grows with their size, and while small ones keep coming they never begin. */
    @Test
    fun `the largest jobs begin while small ones keep coming`() {
        val cluster = cluster(41)
        cluster.user(SampleJobs.spec("req-900000", team = "blue", tasks = 900, estimateS = 40.0), null)
        (1..260).forEach { n ->
            cluster.after(
                n * SECOND,
            ) { cluster.user(SampleJobs.spec("req-%06d".format(n), team = "blue", tasks = 14, estimateS = 12.0), null) }
        }
        cluster.run(260 * SECOND)
        val began = cluster.rules.startOf("req-900000")
        assertTrue(began != null && began < 240 * SECOND, "began at $began")
        cluster.assertRulesHeld()
    }
}
