package mintpick.sim

import mintpick.Samples
import mintpick.config.Settings
import mintpick.core.MILLI
import mintpick.core.Micros
import mintpick.core.SECOND
import mintpick.net.Target
import mintpick.store.Keys
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

/** Two troubles that meet at changes of leader, zones and limits: each comes about, and leaves nothing stuck. */
class LeadershipFaultCombinationsTest {
    private fun world(
        seed: Long,
        faultRates: FaultRates = FaultRates(),
        size: Size = Size(),
        settingsOf: (Int) -> Settings = { Samples.settings(it) },
    ) = World(seed, faultRates, size, settingsOf)

    /** Both teams have a limit. */
    private fun limited(index: Int): Settings =
        Settings.parse(Samples.toml(index).replace("name = \"blue\"", "name = \"blue\"\ncpus_max = $BLUE"))

    private fun id(n: Int) = "req-%06d".format(n)

    private fun service(
        n: Int,
        tasks: Int = 2,
        cpus: Double = 1.0,
        team: String = "red",
        spread: Boolean = false,
    ) = Samples.spec(id(n), team, tasks, JobKind.SERVICE, Priority.PRODUCTION, cpus, spot = false, spread = spread)

    private fun batch(
        n: Int,
        tasks: Int = 1,
        estimateS: Double = 60.0,
        cpus: Double = 1.0,
        team: String = "blue",
        oneZone: Boolean = false,
        zone: String? = null,
    ): JobSpec = Samples.spec(id(n), team, tasks, cpus = cpus, estimateS = estimateS, oneZone = oneZone, zone = zone)

    private fun World.isRunning(job: JobSpec): Boolean = (0 until job.tasks).all { "${job.id}/$it" in rules.running }

    private fun World.isRunning(n: Int): Boolean = isRunning(requireNotNull(rules.spec(id(n))))

    private fun World.every(
        span: Micros,
        run: () -> Unit,
    ) {
        after(span) {
            run()
            every(span, run)
        }
    }

    /** Runs on after the last trouble, and checks all rules, also that nothing is left waiting or unanswered. */
    private fun World.calm(span: Micros = 130 * SECOND) {
        rules.calmSinceUs = now
        WaitingRule(this, nodes[0].settings.teams.associate { it.name to it.cpusMax }).watch()
        run(now + span)
        assertEquals(emptyList<String>(), rules.breaches.distinct().take(5))
    }

    /** So many machines, and no more to be had, each with a long task and room for another of six processors. */
    private fun partlyFilled(
        seed: Long,
        machines: Int,
    ): World =
        world(seed, size = Size(machines = machines, spot = 0)).apply {
            (1..machines).forEach { n -> user(batch(n, cpus = 10.0, estimateS = 900.0), null) }
            run(60 * SECOND)
            assertEquals(machines, workers.values.count { rules.attemptsOn(it.id).size == 1 && it.type == "large" })
        }

    private fun gang(
        n: Int,
        tasks: Int,
    ) = Samples.spec(id(n), "blue", tasks, JobKind.GANG, cpus = 6.0, estimateS = 900.0, spot = false)

    /**
     * The leader borrowed as many machines as one transaction takes. Those could have held the gang, had they been
     * empty, and so it never looked at the others' again, and the gang waited for ever beside room for all of it.
     */
    @Test
    fun `a gang runs that needs more machines than are borrowed at once`() {
        val world = partlyFilled(201, 9)
        val gang = gang(20, 9)
        world.user(gang, null)
        world.calm(100 * SECOND)
        assertTrue(world.isRunning(gang))
    }

    /** Calls that failed in a cut were kept for ever: a leader that had lost its machines could never borrow any. */
    @Test
    fun `a leader that was cut off from its workers serves again afterwards`() {
        val world = partlyFilled(203, 14)
        // The one whose shards hold most of these machines has to lead.
        val cut = world.nodes.maxBy { world.shardsInUse(it) }
        if (world.leader() !== cut) world.nodes.filter { it !== cut }.forEach { it.crash(8 * SECOND) }
        world.run(140 * SECOND)
        assertEquals(cut, world.leader())
        assertTrue(world.shardsInUse(cut) > 3, "the leader has machines to lose")
        cut.cutFromWorkers = true
        world.run(210 * SECOND)
        val adopted = world.state.keys().count { it.first.startsWith(Keys.borrow("")) } + 8 - world.claimsOf(cut)
        assertTrue(adopted > 2, "$adopted claims and borrowings")
        assertEquals(cut, world.leader())
        cut.cutFromWorkers = false
        world.run(230 * SECOND)
        val gang = gang(20, 14)
        world.user(gang, null)
        world.calm(100 * SECOND)
        assertTrue(world.isRunning(gang))
    }

    /** Jobs bound to this zone, to any one zone and to both: after a cut in which machines die all run again. */
    @TestFactory
    fun `zone-bound jobs survive a long cut of their zone and the loss of machines`() =
        (211L..214L).map { seed ->
            DynamicTest.dynamicTest("seed $seed") {
                val world = world(seed, size = Size(machines = 24))
                (1..4).forEach { n -> world.user(service(n, tasks = 4, spread = true), null) }
                (5..8).forEach { n -> world.user(batch(n, 4, 300.0, cpus = 2.0, oneZone = true), null) }
                (9..10).forEach { n -> world.user(batch(n, 3, 300.0, cpus = 2.0, zone = "south"), null) }
                world.run(50 * SECOND)
                val south = world.workers.values.filter { it.zone == "south" }
                val lost = south.filterIndexed { i, _ -> i % 2 == 0 }.map { it.id }
                assertTrue(lost.sumOf { world.rules.attemptsOn(it).size } > 2, "bound tasks are lost")
                world.zoneOut = "south"
                if (seed % 2 == 0L) world.after(10 * SECOND) { lost.forEach(world::remove) }
                if (seed > 212) world.after(12 * SECOND) { world.nodes[0].crash(SECOND / 2) }
                world.run(50 * SECOND + 25 * SECOND + (seed - 210) * 10 * SECOND)
                world.zoneOut = null
                lost.forEach(world::remove)
                world.calm()
                (1..10).forEach { n -> assertTrue(world.isRunning(n), id(n)) }
            }
        }

    /** Leaders that end or lose their leases again and again, also while nobody is served, lose and double nothing. */
    @TestFactory
    fun `ten changes of leader in two minutes, also inside an outage`() =
        (221L..223L).map { seed ->
            DynamicTest.dynamicTest("seed $seed") {
                val world = world(seed)
                val leaders = LinkedHashSet<ClaimRecord>()
                world.every(100 * MILLI) { world.leadership()?.let(leaders::add) }
                (1..4).forEach { n -> world.user(service(n), null) }
                (5..40).forEach { n ->
                    val cancelled = if (n % 4 == 0) 6 * SECOND else null
                    world.after(n * 3 * SECOND) { world.user(batch(n, 2, 20.0, cpus = 2.0), cancelled) }
                }
                world.run(30 * SECOND)
                val before = leaders.size
                (0..11).forEach { n -> world.after(n * 10 * SECOND) { world.change(n) } }
                world.after(61 * SECOND) { world.state.out = true }
                world.after(75 * SECOND) { world.state.out = false }
                world.run(150 * SECOND)
                assertTrue(leaders.size - before >= 10, "${leaders.size - before} changes")
                world.calm()
            }
        }

    private fun World.change(n: Int) {
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
        val world = world(231, size = Size(machines = 14, spot = 8))
        world.linkDelay = { _, call ->
            val slow = call.target is Target.State || call.target is Target.Worker
            if (slow && world.now in 20 * SECOND..140 * SECOND) 200 * MILLI + world.random.nextLong(600 * MILLI) else 0
        }
        (1..50).forEach { n -> world.after(n * SECOND) { world.user(batch(n, 8, 20.0, cpus = 2.0), null) } }
        (51..60).forEach { n -> world.after(n * SECOND) { world.user(service(n), null) } }
        world.run(75 * SECOND)
        val waiting = world.rules.wanted().sumOf { it.tasks } - world.rules.running.size
        assertTrue(waiting > 100, "$waiting tasks wait or are over")
        world.run(120 * SECOND)
        (51..60).forEach { n -> assertTrue(world.isRunning(n), "urgent ${id(n)}") }
        world.run(140 * SECOND)
        world.calm(200 * SECOND)
    }

    /** What may still run on machines that nobody can ask counts for its team, also for a new leader. */
    @TestFactory
    fun `teams at their limit while jobs on silent machines are cancelled and the leader changes`() =
        (241L..246L).map { seed ->
            DynamicTest.dynamicTest("seed $seed") {
                val world = world(seed, settingsOf = ::limited)
                val teams = listOf("red", "blue")
                (1..36).forEach { n ->
                    val cancelled = if (n % 3 == 0) 60 * SECOND else null
                    world.user(batch(n, 2, 200.0, cpus = 2.0, team = teams[n % 2]), cancelled)
                }
                world.run(59 * SECOND)
                assertEquals(listOf(24.0, BLUE), teams.map { world.usedBy(it) }, "both teams are at their limit")
                if (seed % 2 == 0L) world.cloud.out = true
                if (seed % 3 == 0L) world.zonesCut = true
                // Whatever the draw, one of them runs a task that is about to be cancelled.
                val cancelled =
                    world.rules.running.keys
                        .first { it.substringBefore('/').takeLast(6).toInt() % 3 == 0 }
                world.workers.values.forEach {
                    if (world.random.nextInt(3) > 0 || cancelled in world.rules.attemptsOn(it.id)) {
                        it.hangingUntilUs = 105 * SECOND
                    }
                }
                val before = world.leadership()
                val down = SECOND * (seed % 4) + SECOND / 4
                world.after(500 * MILLI + world.random.nextLong(3 * SECOND)) { world.leader().crash(down) }
                world.run(63 * SECOND)
                val silent = world.rules.running.filterKeys { world.rules.isFinal(it.substringBefore('/')) }
                assertTrue(silent.isNotEmpty(), "cancelled tasks still run where nobody can ask")
                world.run(105 * SECOND)
                world.zonesCut = false
                world.cloud.out = false
                assertNotEquals(before, world.leadership())
                world.calm()
                assertEquals(listOf(24.0, BLUE), teams.map { world.usedBy(it) }, "both are at their limit again")
            }
        }

    private fun World.usedBy(team: String): Double =
        rules.running.keys
            .mapNotNull { rules.spec(it.substringBefore('/')) }
            .filter { it.team == team }
            .sumOf { it.cpus }

    /** Leases kill all work while nobody serves; afterwards it runs again, and what was cancelled does not. */
    @Test
    fun `all controllers are away for longer than a lease`() {
        val world = world(251)
        (1..6).forEach { n -> world.user(service(n), null) }
        (7..16).forEach { n -> world.user(batch(n, 3, 300.0), if (n % 3 == 0) 49 * SECOND else null) }
        world.run(50 * SECOND)
        val running = world.rules.running.size
        assertTrue(running > 20, "$running run")
        world.nodes.forEach { it.crash(26 * SECOND + world.random.nextLong(4 * SECOND)) }
        world.run(75 * SECOND)
        assertEquals(emptySet<String>(), world.rules.running.keys)
        world.run(81 * SECOND)
        world.calm()
        (1..16).forEach { n -> assertEquals(n < 7 || n % 3 != 0, world.isRunning(n), id(n)) }
    }

    /** The end of a task is written seconds later: whoever comes next learns of it from the worker, and once. */
    @TestFactory
    fun `tasks that end far apart across a change of leader run once and count once`() =
        listOf(false, true).map { machineGone ->
            DynamicTest.dynamicTest("machine gone: $machineGone") {
                val world = world(261)
                val jobs = (1..6).map { batch(it, 3, 90.0) }
                jobs.forEach { job ->
                    world.runTimes["${job.id}/0"] = 40 * SECOND
                    world.runTimes["${job.id}/1"] = 65 * SECOND
                    world.user(job, null)
                }
                val done = HashMap<String, Int>()
                world.every(100 * MILLI) { jobs.forEach { world.checkRecord(it, done) } }
                while (world.unwritten(jobs, done).isEmpty() && world.now < 99 * SECOND) world.run(world.now + TENTH)
                world.run(world.now + 500 * MILLI)
                val unwritten = world.unwritten(jobs, done)
                assertTrue(unwritten.isNotEmpty(), "an end that is not written yet")
                val holders = world.workers.values.filter { w -> w.report(0).tasks.any { it.task in unwritten } }
                world.nodes.forEach { it.crash(3 * SECOND) }
                if (machineGone) holders.forEach { world.remove(it.id) }
                world.run(world.now + 4 * SECOND)
                world.calm(160 * SECOND)
                val starts = unwritten.map { world.rules.startsOf[it] }.toSet()
                assertEquals(setOf(if (machineGone) 2 else 1), starts)
                assertTrue(jobs.all { world.rules.isFinal(it.id) }, "all are done")
            }
        }

    /** A process that is back at once meets its own earlier claims and requests, and perhaps an election. */
    @TestFactory
    fun `all controllers end and one is back at once while old requests still arrive`() =
        (271L..276L).map { seed ->
            DynamicTest.dynamicTest("seed $seed") {
                val world = world(seed)
                var late = 0
                world.linkDelay = { from, call ->
                    val during = 56 * SECOND..60_500 * MILLI
                    val held = call.path == "/multi" && world.now in during && world.random.nextInt(2) == 0
                    val process = from.name
                    val delay = if (held) 2 * SECOND + world.random.nextLong(8 * SECOND) else 0
                    if (held) world.after(delay) { if (from.name != process) late++ }
                    delay
                }
                (1..5).forEach { n -> world.user(service(n), null) }
                (6..60).forEach { n ->
                    val at = 50 * SECOND + (n - 6) * SECOND / 4
                    world.after(at) {
                        world.user(
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
                world.run(57 * SECOND)
                world.leader().crash(SECOND / 4)
                world.run(60_500 * MILLI)
                val first = (seed % 3).toInt()
                val down = world.random.nextLong(SECOND / 2)
                world.nodes.forEachIndexed { i, node -> node.crash(if (i == first) down else 12 * SECOND) }
                // The lease of whoever led before is about to end, or has just ended.
                val again = 4 * SECOND + world.random.nextLong(2 * SECOND)
                world.after(again) { world.nodes[first].crash(world.random.nextLong(SECOND / 3)) }
                world.after(13 * SECOND) { world.leader().crash(SECOND / 5) }
                world.run(76 * SECOND)
                assertTrue(late > 0, "requests of an ended process arrived")
                world.calm()
                assertTrue((6..60).all { world.rules.isFinal(id(it)) })
            }
        }

    private companion object {
        const val BLUE = 16.0
        const val TENTH: Micros = 100 * MILLI
    }
}
