package mintpick.simulation

import mintpick.config.Settings
import mintpick.core.MILLI
import mintpick.core.Micros
import mintpick.core.SECOND
import mintpick.net.Target
import mintpick.store.Keys
import mintpick.testing.ClusterSize
import mintpick.testing.FaultRates
import mintpick.testing.SampleJobs
import mintpick.testing.SimulatedCluster
import mintpick.testing.WaitingJobRule
import mintpick.testing.checkRecord
import mintpick.testing.claimsOf
import mintpick.testing.leader
import mintpick.testing.leadership
import mintpick.testing.shardsInUse
import mintpick.testing.unwritten
import mintpick.wire.ClaimRecord
import mintpick.wire.JobKind
import mintpick.wire.JobSpec
import mintpick.wire.Priority
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertNotEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.TestFactory

/** Two faults that meet at changes of leader, zones and limits: each comes about, and leaves nothing stuck. */
class LeadershipFaultCombinationsTest {
    private fun cluster(
        seed: Long,
        faultRates: FaultRates = FaultRates(),
        size: ClusterSize = ClusterSize(),
        settingsOf: (Int) -> Settings = { SampleJobs.settings(it) },
    ) = SimulatedCluster(seed, faultRates, size, settingsOf)

    /** Both teams have a limit. */
    private fun limited(index: Int): Settings =
        Settings.parse(SampleJobs.toml(index).replace("name = \"blue\"", "name = \"blue\"\ncpus_max = $BLUE"))

    private fun id(n: Int) = "req-%06d".format(n)

    private fun service(
        n: Int,
        tasks: Int = 2,
        cpus: Double = 1.0,
        team: String = "red",
        spread: Boolean = false,
    ) = SampleJobs.spec(id(n), team, tasks, JobKind.SERVICE, Priority.PRODUCTION, cpus, spot = false, spread = spread)

    private fun batch(
        n: Int,
        tasks: Int = 1,
        estimateS: Double = 60.0,
        cpus: Double = 1.0,
        team: String = "blue",
        oneZone: Boolean = false,
        zone: String? = null,
    ): JobSpec = SampleJobs.spec(id(n), team, tasks, cpus = cpus, estimateS = estimateS, oneZone = oneZone, zone = zone)

    private fun SimulatedCluster.isRunning(job: JobSpec): Boolean = (0 until job.tasks).all { "${job.id}/$it" in rules.running }

    private fun SimulatedCluster.isRunning(n: Int): Boolean = isRunning(requireNotNull(rules.spec(id(n))))

    private fun SimulatedCluster.every(
        span: Micros,
        run: () -> Unit,
    ) {
        after(span) {
            run()
            every(span, run)
        }
    }

    /** Runs on after the last fault, and checks all rules, also that nothing is left waiting or unanswered. */
    private fun SimulatedCluster.recover(span: Micros = 130 * SECOND) {
        rules.faultsOverSinceUs = now
        WaitingJobRule(this, nodes[0].settings.teams.associate { it.name to it.cpusMax }).watch()
        run(now + span)
        assertEquals(emptyList<String>(), rules.breaches.distinct().take(5))
    }

    /** So many machines, and no more to be had, each with a long task and room for another of six processors. */
    private fun partlyFilled(
        seed: Long,
        machines: Int,
    ): SimulatedCluster =
        cluster(seed, size = ClusterSize(machines = machines, spot = 0)).apply {
            (1..machines).forEach { n -> user(batch(n, cpus = 10.0, estimateS = 900.0), null) }
            run(60 * SECOND)
            assertEquals(machines, workers.values.count { rules.attemptsOn(it.id).size == 1 && it.type == "large" })
        }

    private fun gang(
        n: Int,
        tasks: Int,
    ) = SampleJobs.spec(id(n), "blue", tasks, JobKind.GANG, cpus = 6.0, estimateS = 900.0, spot = false)

    /**
     * The leader borrowed as many machines as one transaction takes. Those could have held the gang, had they been
     * empty, and so it never looked at the others' again, and the gang waited for ever beside room for all of it.
     */
    @Test
    fun `a gang runs that needs more machines than are borrowed at once`() {
        val cluster = partlyFilled(201, 9)
        val gang = gang(20, 9)
        cluster.user(gang, null)
        cluster.recover(100 * SECOND)
        assertTrue(cluster.isRunning(gang))
    }

    /** Calls that failed in a cut were kept for ever: a leader that had lost its machines could never borrow any. */
    @Test
    fun `a leader that was cut off from its workers serves again afterwards`() {
        val cluster = partlyFilled(203, 14)
        // The one whose shards hold most of these machines has to lead.
        val cut = cluster.nodes.maxBy { cluster.shardsInUse(it) }
        if (cluster.leader() !== cut) cluster.nodes.filter { it !== cut }.forEach { it.crash(8 * SECOND) }
        cluster.run(140 * SECOND)
        assertEquals(cut, cluster.leader())
        assertTrue(cluster.shardsInUse(cut) > 3, "the leader has machines to lose")
        cut.cutFromWorkers = true
        cluster.run(210 * SECOND)
        val adopted = cluster.state.keys().count { it.first.startsWith(Keys.borrow("")) } + 8 - cluster.claimsOf(cut)
        assertTrue(adopted > 2, "$adopted claims and borrowings")
        assertEquals(cut, cluster.leader())
        cut.cutFromWorkers = false
        cluster.run(230 * SECOND)
        val gang = gang(20, 14)
        cluster.user(gang, null)
        cluster.recover(100 * SECOND)
        assertTrue(cluster.isRunning(gang))
    }

    /** Jobs bound to this zone, to any one zone and to both: after a cut in which machines die all run again. */
    @TestFactory
    fun `zone-bound jobs survive a long cut of their zone and the loss of machines`() =
        (211L..214L).map { seed ->
            DynamicTest.dynamicTest("seed $seed") {
                val cluster = cluster(seed, size = ClusterSize(machines = 24))
                (1..4).forEach { n -> cluster.user(service(n, tasks = 4, spread = true), null) }
                (5..8).forEach { n -> cluster.user(batch(n, 4, 300.0, cpus = 2.0, oneZone = true), null) }
                (9..10).forEach { n -> cluster.user(batch(n, 3, 300.0, cpus = 2.0, zone = "south"), null) }
                cluster.run(50 * SECOND)
                val south = cluster.workers.values.filter { it.zone == "south" }
                val lost = south.filterIndexed { i, _ -> i % 2 == 0 }.map { it.id }
                assertTrue(lost.sumOf { cluster.rules.attemptsOn(it).size } > 2, "bound tasks are lost")
                cluster.zoneOut = "south"
                if (seed % 2 == 0L) cluster.after(10 * SECOND) { lost.forEach(cluster::remove) }
                if (seed > 212) cluster.after(12 * SECOND) { cluster.nodes[0].crash(SECOND / 2) }
                cluster.run(50 * SECOND + 25 * SECOND + (seed - 210) * 10 * SECOND)
                cluster.zoneOut = null
                lost.forEach(cluster::remove)
                cluster.recover()
                (1..10).forEach { n -> assertTrue(cluster.isRunning(n), id(n)) }
            }
        }

    /** Leaders that end or lose their leases again and again, also while nobody is served, lose and double nothing. */
    @TestFactory
    fun `ten changes of leader in two minutes, also inside an outage`() =
        (221L..223L).map { seed ->
            DynamicTest.dynamicTest("seed $seed") {
                val cluster = cluster(seed)
                val leaders = LinkedHashSet<ClaimRecord>()
                cluster.every(100 * MILLI) { cluster.leadership()?.let(leaders::add) }
                (1..4).forEach { n -> cluster.user(service(n), null) }
                (5..40).forEach { n ->
                    val cancelled = if (n % 4 == 0) 6 * SECOND else null
                    cluster.after(n * 3 * SECOND) { cluster.user(batch(n, 2, 20.0, cpus = 2.0), cancelled) }
                }
                cluster.run(30 * SECOND)
                val before = leaders.size
                (0..11).forEach { n -> cluster.after(n * 10 * SECOND) { cluster.change(n) } }
                cluster.after(61 * SECOND) { cluster.state.out = true }
                cluster.after(75 * SECOND) { cluster.state.out = false }
                cluster.run(150 * SECOND)
                assertTrue(leaders.size - before >= 10, "${leaders.size - before} changes")
                cluster.recover()
            }
        }

    private fun SimulatedCluster.change(n: Int) {
        val leader = leadership()?.let { leader() } ?: nodes[n % 3]
        if (n % 3 == 0) {
            leader.cutFromState = true
            after(8 * SECOND) { leader.cutFromState = false }
        } else {
            leader.crash(if (n % 3 == 1) SECOND / 3 else 6 * SECOND)
        }
    }

    /** Over slow links urgent work passes what fills the cluster, and what waits is placed as soon as there is room. */
    @Test
    fun `more work than room over slow links`() {
        val cluster = cluster(231, size = ClusterSize(machines = 14, spot = 8))
        cluster.linkDelay = { _, call ->
            val slow = call.target is Target.State || call.target is Target.Worker
            if (slow && cluster.now in 20 * SECOND..140 * SECOND) 200 * MILLI + cluster.random.nextLong(600 * MILLI) else 0
        }
        (1..50).forEach { n -> cluster.after(n * SECOND) { cluster.user(batch(n, 8, 20.0, cpus = 2.0), null) } }
        (51..60).forEach { n -> cluster.after(n * SECOND) { cluster.user(service(n), null) } }
        cluster.run(75 * SECOND)
        val waiting = cluster.rules.wanted().sumOf { it.tasks } - cluster.rules.running.size
        assertTrue(waiting > 100, "$waiting tasks wait or are over")
        cluster.run(120 * SECOND)
        (51..60).forEach { n -> assertTrue(cluster.isRunning(n), "urgent ${id(n)}") }
        cluster.run(140 * SECOND)
        cluster.recover(200 * SECOND)
    }

    /** What may still run on machines that nobody can ask counts for its team, also for a new leader. */
    @TestFactory
    fun `teams at their limit while jobs on silent machines are cancelled and the leader changes`() =
        (241L..246L).map { seed ->
            DynamicTest.dynamicTest("seed $seed") {
                val cluster = cluster(seed, settingsOf = ::limited)
                val teams = listOf("red", "blue")
                (1..36).forEach { n ->
                    val cancelled = if (n % 3 == 0) 60 * SECOND else null
                    cluster.user(batch(n, 2, 200.0, cpus = 2.0, team = teams[n % 2]), cancelled)
                }
                cluster.run(59 * SECOND)
                assertEquals(listOf(24.0, BLUE), teams.map { cluster.usedBy(it) }, "both teams are at their limit")
                if (seed % 2 == 0L) cluster.cloud.out = true
                if (seed % 3 == 0L) cluster.zonesCut = true
                // Whatever the draw, one of them runs a task that is about to be cancelled.
                val cancelled =
                    cluster.rules.running.keys
                        .first { it.substringBefore('/').takeLast(6).toInt() % 3 == 0 }
                cluster.workers.values.forEach {
                    if (cluster.random.nextInt(3) > 0 || cancelled in cluster.rules.attemptsOn(it.id)) {
                        it.hangingUntilUs = 105 * SECOND
                    }
                }
                val before = cluster.leadership()
                val down = SECOND * (seed % 4) + SECOND / 4
                cluster.after(500 * MILLI + cluster.random.nextLong(3 * SECOND)) { cluster.leader().crash(down) }
                cluster.run(63 * SECOND)
                val silent = cluster.rules.running.filterKeys { cluster.rules.isFinal(it.substringBefore('/')) }
                assertTrue(silent.isNotEmpty(), "cancelled tasks still run where nobody can ask")
                cluster.run(105 * SECOND)
                cluster.zonesCut = false
                cluster.cloud.out = false
                assertNotEquals(before, cluster.leadership())
                cluster.recover()
                assertEquals(listOf(24.0, BLUE), teams.map { cluster.usedBy(it) }, "both are at their limit again")
            }
        }

    private fun SimulatedCluster.usedBy(team: String): Double =
        rules.running.keys
            .mapNotNull { rules.spec(it.substringBefore('/')) }
            .filter { it.team == team }
            .sumOf { it.cpus }

    /** Leases kill all work while nobody serves; afterwards it runs again, and what was cancelled does not. */
    @Test
    fun `all controllers are away for longer than a lease`() {
        val cluster = cluster(251)
        (1..6).forEach { n -> cluster.user(service(n), null) }
        (7..16).forEach { n -> cluster.user(batch(n, 3, 300.0), if (n % 3 == 0) 49 * SECOND else null) }
        cluster.run(50 * SECOND)
        val running = cluster.rules.running.size
        assertTrue(running > 20, "$running run")
        cluster.nodes.forEach { it.crash(26 * SECOND + cluster.random.nextLong(4 * SECOND)) }
        cluster.run(75 * SECOND)
        assertEquals(emptySet<String>(), cluster.rules.running.keys)
        cluster.run(81 * SECOND)
        cluster.recover()
        (1..16).forEach { n -> assertEquals(n < 7 || n % 3 != 0, cluster.isRunning(n), id(n)) }
    }

    /** The end of a task is written seconds later: whoever comes next learns of it from the worker, and once. */
    @TestFactory
    fun `tasks that end far apart across a change of leader run once and count once`() =
        listOf(false, true).map { machineGone ->
            DynamicTest.dynamicTest("machine gone: $machineGone") {
                val cluster = cluster(261)
                val jobs = (1..6).map { batch(it, 3, 90.0) }
                jobs.forEach { job ->
                    cluster.runTimes["${job.id}/0"] = 40 * SECOND
                    cluster.runTimes["${job.id}/1"] = 65 * SECOND
                    cluster.user(job, null)
                }
                val done = HashMap<String, Int>()
                cluster.every(100 * MILLI) { jobs.forEach { cluster.checkRecord(it, done) } }
                while (cluster.unwritten(jobs, done).isEmpty() && cluster.now < 99 * SECOND) cluster.run(cluster.now + TENTH)
                cluster.run(cluster.now + 500 * MILLI)
                val unwritten = cluster.unwritten(jobs, done)
                assertTrue(unwritten.isNotEmpty(), "an end that is not written yet")
                val holders = cluster.workers.values.filter { w -> w.report(0).tasks.any { it.task in unwritten } }
                cluster.nodes.forEach { it.crash(3 * SECOND) }
                if (machineGone) holders.forEach { cluster.remove(it.id) }
                cluster.run(cluster.now + 4 * SECOND)
                cluster.recover(160 * SECOND)
                val starts = unwritten.map { cluster.rules.startsOf[it] }.toSet()
                assertEquals(setOf(if (machineGone) 2 else 1), starts)
                assertTrue(jobs.all { cluster.rules.isFinal(it.id) }, "all are done")
            }
        }

    /** A process that is back at once meets its own earlier claims and requests, and perhaps an election. */
    @TestFactory
    fun `all controllers end and one is back at once while old requests still arrive`() =
        (271L..276L).map { seed ->
            DynamicTest.dynamicTest("seed $seed") {
                val cluster = cluster(seed)
                var late = 0
                cluster.linkDelay = { from, call ->
                    val during = 56 * SECOND..60_500 * MILLI
                    val held = call.path == "/multi" && cluster.now in during && cluster.random.nextInt(2) == 0
                    val process = from.name
                    val delay = if (held) 2 * SECOND + cluster.random.nextLong(8 * SECOND) else 0
                    if (held) cluster.after(delay) { if (from.name != process) late++ }
                    delay
                }
                (1..5).forEach { n -> cluster.user(service(n), null) }
                (6..60).forEach { n ->
                    val at = 50 * SECOND + (n - 6) * SECOND / 4
                    cluster.after(at) {
                        cluster.user(
                            batch(
                                n,
                                2,
                                15.0,
                                team =
                                    if (n % 2 ==
                                        0
                                    ) {
                                        "red"
                                    } else {
                                        "blue"
                                    },
                            ),
                            if (n % 4 == 0) 3 * SECOND else null,
                        )
                    }
                }
                cluster.run(57 * SECOND)
                cluster.leader().crash(SECOND / 4)
                cluster.run(60_500 * MILLI)
                val first = (seed % 3).toInt()
                val down = cluster.random.nextLong(SECOND / 2)
                cluster.nodes.forEachIndexed { i, node -> node.crash(if (i == first) down else 12 * SECOND) }
                // The lease of whoever led before is about to end, or has just ended.
                val again = 4 * SECOND + cluster.random.nextLong(2 * SECOND)
                cluster.after(again) { cluster.nodes[first].crash(cluster.random.nextLong(SECOND / 3)) }
                cluster.after(13 * SECOND) { cluster.leader().crash(SECOND / 5) }
                cluster.run(76 * SECOND)
                assertTrue(late > 0, "requests of an ended process arrived")
                cluster.recover()
                assertTrue((6..60).all { cluster.rules.isFinal(id(it)) })
            }
        }

    private companion object {
        const val BLUE = 16.0
        const val TENTH: Micros = 100 * MILLI
    }
}
