package mintpick.sim

import mintpick.Samples
import mintpick.core.JobId
import mintpick.core.MILLI
import mintpick.core.Micros
import mintpick.core.SECOND
import mintpick.engine.runtime.Event
import mintpick.engine.runtime.ReplyTo
import mintpick.net.Answer
import mintpick.store.Keys
import mintpick.store.RecordCodec
import mintpick.wire.JobSpec
import mintpick.wire.MachineReport
import mintpick.wire.WireJson
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertFalse
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test

/**
 * One guard at a time; `docs/design.md` says which of these tests were seen to fail with their guard taken out. The
 * two of one-way machines show what is to come of them, for which silence is a second guard.
 */
class GuardsTest {
    private fun world(
        seed: Long,
        size: Size = Size(),
    ) = World(seed, FaultRates(), size) { Samples.settings(it) }

    private fun service(
        n: Int,
        tasks: Int = 2,
    ): JobSpec = Samples.service(n, tasks = tasks)

    private fun batch(
        n: Int,
        tasks: Int = 1,
        estimateS: Double = 60.0,
    ): JobSpec = Samples.spec("req-%06d".format(n), team = "blue", tasks = tasks, cpus = 1.0, estimateS = estimateS)

    private fun World.settled(): World = apply { run(60 * SECOND) }

    /** A settled world with services that ask for no more. */
    private fun serving(seed: Long): World =
        world(seed).apply {
            (1..6).forEach { n -> user(service(n), null) }
            settled()
        }

    private fun World.busiest(): SimWorker = workers.values.maxBy { rules.attemptsOn(it.id).size }

    /** Jobs whose records assign tasks to [machine]. */
    private fun World.assignedTo(machine: SimWorker): Set<String> =
        recordsNaming(machine.id).filterTo(HashSet()) { it.startsWith(Keys.job("")) }

    private fun World.replayEverywhere(report: MachineReport) = nodes.forEach { replay(report, it) }

    /**
     * Runs [check] for each machine of settled worlds with a stream of short jobs in turn, each time in a world of its own.
     * What a machine happens to be sent differs from seed to seed, so there are several.
     */
    private fun forEachMachine(
        seeds: LongRange,
        check: (World, SimWorker) -> Unit,
    ) {
        val machines = seeds.sumOf { forEachMachine(it, check) }
        assertTrue(machines > seeds.count() / 2, "$machines machines")
    }

    private fun forEachMachine(
        seed: Long,
        check: (World, SimWorker) -> Unit,
    ): Int {
        val busy: () -> World = {
            val world = world(seed)
            (100..150).forEach { n -> world.after(50 * SECOND + (n - 100) * SECOND / 2) { world.user(batch(n, estimateS = 4.0), null) } }
            world.settled()
        }
        val names = busy().workers.keys.toList()
        for (name in names) {
            val world = busy()
            check(world, world.workers.getValue(name))
        }
        return names.size
    }

    /** `Fleet.isUnreachable`: its reports keep a machine fresh, and new work was sent to it that it never got. */
    @Test
    fun `new work goes elsewhere once a call to a machine has failed`() {
        var sent = 0
        forEachMachine(61L..68L) { world, deaf ->
            world.cloud.out = true
            deaf.deaf = true
            // A call that fails has failed after a second and a half.
            world.run(62_500 * MILLI)
            val before = world.assignedTo(deaf)
            world.run(68 * SECOND)
            if (deaf.missed.any { it.first < 61 * SECOND }) {
                sent++
                assertEquals(emptySet<String>(), world.assignedTo(deaf) - before, deaf.id)
            }
        }
        assertTrue(sent > 1, "$sent machines lost a start")
    }

    /** `UnresponsiveMachines.isOneWay`: its reports to the others speak for a machine that hears nobody. */
    @Test
    fun `a machine that hears nothing is returned before its lease is over`() {
        var silent = 0
        forEachMachine(61L..72L) { world, deaf ->
            deaf.deaf = true
            world.run(75 * SECOND)
            // Nothing tells of it before it is sent something; three calls and a worker's patience later it is known.
            if (deaf.missed.any { it.first < 62 * SECOND }) {
                silent++
                assertFalse(deaf.id in world.workers, deaf.id)
            }
        }
        assertTrue(silent > 2, "$silent machines were sent something early")
    }

    /** `MachineView.awaits`: answering a copy counted as renewing the lease, so what a dead machine held never moved. */
    @Test
    fun `copies of a report do not keep a lapsed machine's work from moving`() {
        val world = serving(63)
        val silent = world.busiest()
        val held = world.rules.attemptsOn(silent.id)
        val copy = silent.report(world.now)
        world.replayEverywhere(copy)
        silent.hangingUntilUs = 1000 * SECOND
        // Nobody can return it, so that only its lease proves anything.
        world.cloud.out = true
        (1..20).forEach { n -> world.after(n * 2 * SECOND) { world.replayEverywhere(copy) } }
        world.run(92 * SECOND)
        assertTrue(held.all { task -> world.workers.values.any { it !== silent && task in world.rules.attemptsOn(it.id) } }, "moved")
        world.assertRulesHeld()
    }

    /** `Fleet.isConfirmed`: a controller that had just started took a copy for a new machine, and wrote it down. */
    @Test
    fun `copies make no record of a machine that is gone`() {
        val world = serving(64)
        val gone = world.busiest()
        val copies = List(4) { gone.report(world.now) }
        world.remove(gone.id)
        world.run(90 * SECOND)
        assertEquals(emptySet<String>(), world.recordsNaming(gone.id))
        world.nodes.forEach { it.crash(SECOND / 5) }
        copies.forEachIndexed { i, copy -> (1..4).forEach { n -> world.after((i * 3L + n) * SECOND) { world.replayEverywhere(copy) } } }
        for (at in 900..1120) {
            world.run(at * SECOND / 10)
            assertEquals(emptySet<String>(), world.recordsNaming(gone.id), "recorded at $at")
        }
    }

    /** `CommandPlanner.isNoticed`: the notice in a copy drained a machine that nobody was to take. */
    @Test
    fun `a notice in a copy empties nothing`() {
        val world = serving(65)
        val machine = world.busiest()
        machine.noticeUs = world.now + 20 * SECOND
        val copy = machine.report(world.now)
        machine.noticeUs = null
        val kept = world.rules.attemptsOn(machine.id)
        world.run(70 * SECOND)
        // Controllers that have just started know nothing newer while the machine hangs for a moment.
        world.nodes.forEach { it.crash(SECOND / 5) }
        machine.hangingUntilUs = world.now + 4 * SECOND
        (1..8).forEach { n -> world.after(n * SECOND / 4) { world.replayEverywhere(copy) } }
        world.run(100 * SECOND)
        assertTrue(world.rules.attemptsOn(machine.id).containsAll(kept))
    }

    /** `Fleet.bury`: copies made a view of a dead machine again, which was then asked again and again. */
    @Test
    fun `nobody calls a machine that is gone because of copies`() {
        val world = serving(66)
        val gone = world.busiest()
        val copies = List(15) { gone.report(world.now) }
        world.remove(gone.id)
        world.run(90 * SECOND)
        val calls = world.callsTo[gone.address]
        // To one controller after the other: what its owner hears would keep the others from asking.
        copies.forEachIndexed { i, copy -> world.after(i * 2 * SECOND) { world.replay(copy, world.nodes[i / 5]) } }
        world.run(125 * SECOND)
        assertEquals(calls, world.callsTo[gone.address])
    }

    /** `Fleet.adopt` asks the machine first: copies alone once looked like a worker that keeps coming, and were adopted. */
    @Test
    fun `copies make no claim`() {
        val world = serving(67)
        val silent = world.busiest()
        val copies = List(15) { silent.report(world.now) }
        silent.hangingUntilUs = 1000 * SECOND
        world.cloud.out = true
        world.run(70 * SECOND)
        val before = world.claimsFor(silent)
        copies.forEachIndexed { i, copy -> world.after(i * 2 * SECOND) { world.replay(copy, world.nodes[i / 5]) } }
        world.run(105 * SECOND)
        assertEquals(before, world.claimsFor(silent))
    }

    private fun World.claimsFor(machine: SimWorker): List<Pair<String, String>> =
        state.keys().filter { it.first.startsWith(Keys.shard(0).dropLast(1)) || it.first == Keys.borrow(machine.id) }

    /** The rental names hold a part of the process's own: the next one under this name asked for the same machines. */
    @Test
    fun `a process that is back at once asks for machines under names of its own`() {
        val world = world(68)
        world.user(batch(1, tasks = 30), null)
        world.run(20 * SECOND)
        world.nodes.forEach { it.crash(SECOND / 10) }
        world.after(2 * SECOND) { world.user(batch(2, tasks = 60), null) }
        world.run(50 * SECOND)
        assertTrue(
            world.cloud.requestNames.values
                .flatten()
                .distinct()
                .size > 1,
            "rented in two lives: ${world.cloud.requestNames}",
        )
        assertTrue(
            world.cloud.requestNames.values
                .all { it.size == 1 },
            "${world.cloud.requestNames}",
        )
    }

    /** The raised token after a lost start: without it nothing is ever proven of that attempt, and its job never ends. */
    @Test
    fun `a job that is cancelled while its start is lost comes to its end`() {
        val world = world(69)
        (1..3).forEach { n -> world.user(batch(n, estimateS = 300.0), null) }
        world.settled()
        world.workers.values.forEach { it.deaf = true }
        world.user(batch(9), 1500 * MILLI)
        world.after(2 * SECOND) { world.workers.values.forEach { it.deaf = false } }
        world.run(100 * SECOND)
        assertTrue(world.workers.values.any { worker -> worker.missed.any { "req-000009" in it.second } }, "its start was lost")
        val record =
            world.state
                .keys()
                .first { it.first == Keys.job("req-000009") }
                .second
        assertEquals(null, RecordCodec.decodeJob(WireJson.parseToJsonElement(record)).spec, record)
    }

    /** One shared catch-up covers all polls that wait: one each would use up the state service's limits. */
    @Test
    fun `hundreds of polls at once cost few requests`() {
        val world = world(70)
        (1..10).forEach { n -> world.user(service(n), null) }
        world.settled()
        val idle = world.requestsWithin(2 * SECOND) {}
        val answers = ArrayList<Answer>()
        val busy =
            world.requestsWithin(2 * SECOND) {
                repeat(300) { i -> world.nodes[i % 3].deliver(Event.Poll(JobId("req-%06d".format(1 + i % 10)), ReplyTo { answers += it })) }
            }
        assertEquals(300, answers.count { it.status == 200 })
        assertTrue(busy < idle + 12, "$busy requests instead of $idle")
    }

    private fun World.requestsWithin(
        span: Micros,
        then: () -> Unit,
    ): Long {
        val before = state.requests
        then()
        run(now + span)
        return state.requests - before
    }

    /** More than can be stored in time is refused at once, with the time to come back; polls are answered all the while. */
    @Test
    fun `a flood of submissions is refused at once and holds up no polls`() {
        val world = world(71)
        world.user(service(1), null)
        world.settled()
        val node = world.nodes[0]
        val answers = ArrayList<Answer>()
        val polls = ArrayList<Answer>()
        (1000..1400).forEach { n -> node.deliver(Event.Submit(batch(n), ReplyTo { answers += it })) }
        node.deliver(Event.Poll(JobId("req-000001"), ReplyTo { polls += it }))
        world.run(world.now + SECOND / 5)
        val refused = answers.filter { it.status == 429 }
        assertTrue(refused.size > 300 && refused.all { (it.retryAfterS ?: 0) > 0 }, "${refused.size} refused at once")
        assertEquals(listOf(200), polls.map { it.status })
    }

    /** All controllers restart with the whole history to load: every job is known again at once, none is forgotten meanwhile. */
    @Test
    fun `a long history is known again after all controllers restart at once`() {
        val world = world(72)
        (1..600).forEach { n -> world.after(n * SECOND / 12) { world.user(batch(n, estimateS = 1.0), null) } }
        world.run(120 * SECOND)
        repeat(3) { i -> world.after(i * 2 * SECOND) { world.nodes.forEach { it.crash(SECOND / 3) } } }
        world.after(5 * SECOND) { world.rules.calmSinceUs = world.now }
        world.run(205 * SECOND)
        world.assertRulesHeld()
        assertEquals(600, (1..600).count { world.rules.isFinal("req-%06d".format(it)) })
    }
}
