package mintpick.simulation

import mintpick.core.Micros
import mintpick.core.SECOND
import mintpick.testing.ALL_FAULTS
import mintpick.testing.ClusterSize
import mintpick.testing.FaultRates
import mintpick.testing.SampleJobs
import mintpick.testing.SimulatedCluster
import mintpick.testing.assertRulesHeld
import mintpick.testing.injectRandom
import mintpick.testing.leader
import mintpick.wire.JobKind
import mintpick.wire.Priority
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.TestFactory

/** Drives three engines through drawn faults and checks the rules from the simulated services' own view. */
class ModelTest {
    private fun cluster(
        seed: Long,
        faultRates: FaultRates,
    ) = SimulatedCluster(seed, faultRates) { SampleJobs.settings(it) }

    private fun SimulatedCluster.jobs(
        count: Int,
        overUs: Micros,
    ): List<String> =
        (1..count).map { n ->
            val id = "req-%06d".format(n)
            val service = random.nextInt(4) == 0
            val spec =
                SampleJobs.spec(
                    id = id,
                    team = if (random.nextBoolean()) "red" else "blue",
                    tasks = 1 + random.nextInt(if (service) 3 else 8),
                    kind = if (service) JobKind.SERVICE else JobKind.ARRAY,
                    priority = if (service) Priority.PRODUCTION else Priority.NORMAL,
                    cpus = if (service) 1.0 else 2.0,
                    spot = !service,
                    spread = service && random.nextBoolean(),
                    oneZone = !service && random.nextInt(4) == 0,
                    estimateS = 2.0 + random.nextInt(15),
                )
            after(random.nextLong(overUs)) { user(spec, if (random.nextInt(6) == 0) random.nextLong(30 * SECOND) else null) }
            id
        }

    @Test
    fun `a quiet hour finishes every job`() {
        val cluster = cluster(1, FaultRates())
        val jobs = cluster.jobs(20, 30 * SECOND)
        cluster.run(180 * SECOND)
        cluster.assertRulesHeld()
        assertTrue(cluster.rules.starts > 20)
        assertTrue(jobs.all { cluster.rules.isAccepted(it) })
    }

    @TestFactory
    fun `rules hold through drawn faults`() =
        (1L..14L).map { seed ->
            DynamicTest.dynamicTest("seed $seed") {
                val cluster = cluster(seed, FaultRates(lost = 4, lostAnswer = 4, late = 6))
                cluster.jobs(24, 60 * SECOND)
                repeat(
                    9,
                ) {
                    cluster.after(5 * SECOND + cluster.random.nextLong(100 * SECOND)) {
                        cluster.injectRandom(
                            ALL_FAULTS,
                            4 * SECOND,
                            50 * SECOND,
                        )
                    }
                }
                cluster.after(20 * SECOND) { cluster.pollUnknown("req-999999") }
                cluster.run(240 * SECOND)
                cluster.assertRulesHeld()
                assertTrue(cluster.rules.starts > 20, "${cluster.rules.starts} starts")
            }
        }

    @Test
    fun `the largest job is accepted, runs in part, and is cancelled in time`() {
        val cluster = cluster(5, FaultRates())
        val spec = SampleJobs.spec("req-000001", team = "blue", tasks = 100_000, cpus = 1.0, estimateS = 5.0)
        cluster.after(SECOND) { cluster.user(spec, 60 * SECOND) }
        cluster.run(140 * SECOND)
        cluster.assertRulesHeld()
        assertTrue(cluster.rules.starts > 50, "${cluster.rules.starts} starts")
        assertTrue(cluster.rules.isFinal("req-000001"))
    }

    /** Machines beyond a cut once were returned one by one while their own zone's controller could serve them. */
    @Test
    fun `a cut between zones costs no machines that the other side serves`() {
        val cluster = cluster(3, FaultRates())
        (1..4).forEach { n ->
            val spec =
                SampleJobs.service(n, spread = true)
            cluster.after(n * SECOND) { cluster.user(spec, null) }
        }
        cluster.run(60 * SECOND)
        val running = cluster.workers.keys.toSet()
        val starts = cluster.rules.starts
        cluster.zonesCut = true
        cluster.run(85 * SECOND)
        cluster.zonesCut = false
        cluster.run(100 * SECOND)
        cluster.assertRulesHeld()
        assertEquals(8, starts)
        assertEquals(starts, cluster.rules.starts, "no replica had to move")
        assertTrue(running.isNotEmpty() && cluster.workers.keys.containsAll(running))
    }

    private fun spread(n: Int) = SampleJobs.service(n, tasks = 4, spread = true)

    /**
     * Two thirds of a zone that was cut off once lost their leases, and were returned, beside a controller that could
     * have kept them: it answers for their owners, who take that into account and know when it must have ended.
     */
    @Test
    fun `a zone cut off for longer than a lease keeps its work`() {
        val cluster = cluster(21, FaultRates())
        (1..5).forEach { n -> cluster.after(n * SECOND) { cluster.user(spread(n), null) } }
        cluster.run(60 * SECOND)
        val running = cluster.workers.keys.toSet()
        val starts = cluster.rules.starts
        cluster.zoneOut = "south"
        cluster.run(90 * SECOND)
        cluster.zoneOut = null
        cluster.run(130 * SECOND)
        cluster.assertRulesHeld()
        assertEquals(20, starts)
        assertEquals(starts, cluster.rules.starts, "no replica had to move")
        assertTrue(cluster.workers.keys.containsAll(running), "no machine was returned")
    }

    /** A leader that lost its workers alone once returned them, services first, and took back what others had adopted. */
    @Test
    fun `a controller cut off from its workers alone returns none of them`() {
        val cluster = SimulatedCluster(22, FaultRates(), ClusterSize(machines = 60)) { SampleJobs.settings(it) }
        (1..24).forEach { n ->
            val spec =
                SampleJobs.service(n, team = "blue", tasks = 4, cpus = 4.0)
            cluster.after(n * SECOND / 4) { cluster.user(spec, null) }
        }
        cluster.run(60 * SECOND)
        val running =
            cluster.workers.values
                .filter { cluster.rules.attemptsOn(it.id).isNotEmpty() }
                .map { it.id }
        val starts = cluster.rules.starts
        val cut = cluster.leader()
        cut.cutFromWorkers = true
        cluster.run(110 * SECOND)
        cut.cutFromWorkers = false
        cluster.run(140 * SECOND)
        cluster.assertRulesHeld()
        assertTrue(
            running.size > 9 && cluster.workers.keys.containsAll(running),
            "${running.size} machines, ${running.count { it !in cluster.workers }} returned",
        )
        assertEquals(starts, cluster.rules.starts, "no replica had to move")
    }

    /** Whoever stands in ends in time for cancellations, and nobody takes over before that: with the cloud down only leases tell. */
    @TestFactory
    fun `a zone cut off for long breaks no rule`() =
        (31L..42L).map { seed ->
            DynamicTest.dynamicTest("seed $seed") {
                val cluster = cluster(seed, FaultRates())
                cluster.jobs(16, 40 * SECOND)
                (41..45).forEach { n ->
                    cluster.after(n * SECOND / 4) {
                        cluster.user(
                            spread(n),
                            if (n % 2 ==
                                0
                            ) {
                                52 * SECOND + cluster.random.nextLong(12 * SECOND)
                            } else {
                                null
                            },
                        )
                    }
                }
                cluster.run(60 * SECOND)
                if (seed % 2 == 0L) cluster.cloud.out = true
                // Of the two controllers in the north each hears the other, and neither hears who is served.
                cluster.zoneOut = if (seed < 36) "south" else "north"
                if (seed % 3 == 0L) cluster.nodes[2].crash(5 * SECOND)
                if (seed % 4 == 0L) cluster.after(5 * SECOND) { cluster.nodes[1].crash(SECOND / 3) }
                cluster.after(30 * SECOND + cluster.random.nextLong(70 * SECOND)) { cluster.zoneOut = null }
                cluster.after(60 * SECOND) { cluster.cloud.out = false }
                cluster.run(260 * SECOND)
                cluster.assertRulesHeld()
            }
        }
}
