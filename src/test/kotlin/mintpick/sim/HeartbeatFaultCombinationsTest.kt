package mintpick.sim

import mintpick.Samples
import mintpick.core.JobId
import mintpick.core.MILLI
import mintpick.core.SECOND
import mintpick.engine.runtime.Event
import mintpick.engine.runtime.ReplyTo
import mintpick.store.Keys
import mintpick.wire.Change
import mintpick.wire.ClaimRecord
import mintpick.wire.Command
import mintpick.wire.Guard
import mintpick.wire.JobKind
import mintpick.wire.JobSpec
import mintpick.wire.JobStage
import mintpick.wire.Priority
import mintpick.wire.Retiring
import mintpick.wire.Transaction
import mintpick.wire.Verb
import mintpick.wire.WireJson
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.TestFactory

/** Late, lost and repeated messages between workers and controllers, while controllers end and begin. */
class HeartbeatFaultCombinationsTest {
    private fun world(
        seed: Long,
        size: Size = Size(),
        faultRates: FaultRates = FaultRates(),
    ) = World(seed, faultRates, size) { Samples.settings(it) }

    private fun id(n: Int): String = "req-%06d".format(n)

    private fun service(n: Int): JobSpec =
        Samples.spec(id(n), tasks = 2, kind = JobKind.SERVICE, priority = Priority.PRODUCTION, cpus = 1.0, spot = false)

    private fun batch(
        n: Int,
        tasks: Int = 1,
        estimateS: Double = 300.0,
    ): JobSpec = Samples.spec(id(n), team = "blue", tasks = tasks, cpus = 1.0, estimateS = estimateS)

    /** A settled world with services that ask for no more. */
    private fun serving(seed: Long): World =
        world(seed).apply {
            (1..6).forEach { n -> user(service(n), null) }
            run(60 * SECOND)
        }

    /** A settled world with services and long tasks. */
    private fun working(seed: Long): World =
        world(seed).apply {
            (1..6).forEach { n -> user(service(n), null) }
            (11..16).forEach { n -> user(batch(n, tasks = 3), null) }
            run(60 * SECOND)
        }

    private fun World.busiest(): SimWorker = workers.values.maxBy { rules.attemptsOn(it.id).size }

    private fun World.machineOf(job: String): SimWorker? =
        workers.values.firstOrNull { worker -> rules.attemptsOn(worker.id).any { it.startsWith(job) } }

    private fun World.record(key: String): String? = state.keys().firstOrNull { it.first == key }?.second

    private fun World.claim(key: String): ClaimRecord? = record(key)?.let { WireJson.decodeFromString(ClaimRecord.serializer(), it) }

    private fun World.node(name: String?): World.Node = nodes.first { it.settings.node == name }

    private fun World.leader(): World.Node = node(claim(Keys.LEADER)?.node)

    private val settings = Samples.settings()

    private fun World.owner(worker: SimWorker): World.Node = node(claim(Keys.shard(shardOf(worker)))?.node)

    private fun World.runFor(seconds: Long) = run(now + seconds * SECOND)

    private fun World.assertNoBreach() = assertEquals(emptyList<String>(), rules.breaches.distinct().take(5))

    /** A user's cancellation through [node]; what the user is told goes to the rules. */
    private fun World.cancel(
        job: String,
        node: World.Node = nodes.first { it.engine != null },
    ) {
        rules.cancelRequested(job)
        val reply = ReplyTo { if (it.status == 200) rules.told(job, JobStage.CANCELLED, now) }
        node.deliver(Event.Cancel(JobId(job), reply))
    }

    private fun starts(
        commands: List<Command>,
        job: String,
    ): Boolean = commands.any { it.verb == Verb.START && it.task.startsWith(job) }

    /**
     * Meeting 10: a start is held up for a minute, its repetition with the same token is answered, and the job is
     * cancelled: unless the token rises all the same, the first one runs it again after `cancel_s`.
     */
    @TestFactory
    fun `a start that is held up stays harmless although its repetition was answered`() =
        (112L..123L).map { seed ->
            DynamicTest.dynamicTest("seed $seed") {
                val world = world(seed, Size(machines = 1))
                world.user(batch(1), null)
                world.run(60 * SECOND)
                val machine = world.workers.values.single()
                val tokens = ArrayList<Long>()
                // A cancellation of other work there has the machine called again once the first call is given up. Until
                // then it reports to nobody, as the answer to a report would bring the start before that.
                world.delays.holdUs = { _, _, batch ->
                    if (starts(batch.commands, id(2))) tokens += batch.token
                    val isFirst = tokens.size == 1 && world.delays.held.isEmpty()
                    if (isFirst) world.cancel(id(1))
                    machine.mute = tokens.size == 1
                    if (isFirst) 60 * SECOND else null
                }
                world.user(batch(2), null)
                world.runFor(10)
                val late = world.delays.held.single()
                assertEquals(tokens[0], tokens[1], "repeated with the same token")
                assertEquals(null, late.status, "held up")
                assertEquals(setOf("${id(2)}/0"), world.rules.attemptsOn(machine.id), "its repetition was carried out")
                world.cancel(id(2))
                world.runFor(80)
                assertEquals(409, late.status, "arrived, and was refused")
                assertTrue(world.rules.isFinal(id(2)))
                world.assertNoBreach()
            }
        }

    /**
     * Meeting 12: the leader borrows a machine, sends it a start and ends; the start is held up. The machine's owner,
     * whose claim is older than the borrowing, goes on with a token that the start exceeds.
     */
    @Test
    fun `a start of a leader that has ended is refused after its borrowing lapsed`() {
        val world = world(102)
        (1..6).forEach { n -> world.user(service(n), null) }
        world.run(60 * SECOND)
        val leader = world.leader()
        // What the leader knows of the machines is older than the jobs that follow.
        world.workers.values.forEach { world.replay(it.report(world.now), leader) }
        (11..18).forEach { n -> world.user(batch(n), null) }
        world.runFor(8)
        val job = (11..18).map(::id).first { job -> world.machineOf(job)?.let { world.owner(it) !== leader } ?: false }
        val machine = requireNotNull(world.machineOf(job))
        world.delays.holdUs = { from, to, _ -> if (from === leader && to === machine) 70 * SECOND else null }
        world.borrow(machine, leader)
        world.runFor(1)
        val late = world.delays.held.first { starts(it.batch.commands, job) }
        leader.crash(200 * SECOND)
        world.runFor(9)
        assertEquals(null, world.claim(Keys.borrow(machine.id)), "the borrowing has lapsed")
        world.cancel(job)
        world.runFor(80)
        assertTrue(world.leader() !== leader)
        assertEquals(409, late.status, "arrived, and was refused")
        world.assertNoBreach()
    }

    /** What `Ownership.borrow` writes for [leader]. */
    private fun World.borrow(
        machine: SimWorker,
        leader: World.Node,
    ) {
        val record = requireNotNull(claim(Keys.LEADER))
        assertEquals(leader.settings.node, record.node)
        val value = WireJson.encodeToJsonElement(ClaimRecord.serializer(), record)
        val writes =
            listOf(
                Change(put = Keys.borrow(machine.id), value = value, lease = record.lease),
                Change(put = Keys.epoch(shardOf(machine)), value = value),
            )
        assertEquals(200, state.transact(Transaction(listOf(Guard(Keys.borrow(machine.id), 0)), writes)).status)
    }

    /** A hanging machine with services that is to be emptied: its owner has heard of a notice and can't stop them. */
    private fun World.emptying(): SimWorker {
        val machine = busiest()
        machine.hangingUntilUs = now + 12 * SECOND
        // Nobody can return it, so that only reports prove anything.
        cloud.out = true
        replay(machine.report(now).copy(noticeS = 60.0), owner(machine))
        runFor(1)
        assertEquals(Retiring.DRAIN, listed(machine.id)?.retiring)
        return machine
    }

    private fun World.assertKeptUntilHeard(machine: SimWorker) {
        val held = rules.attemptsOn(machine.id)
        assertTrue(held.isNotEmpty())
        run(machine.hangingUntilUs - SECOND)
        assertEquals(held, rules.attemptsOn(machine.id), "nothing was proven yet")
        runFor(30)
        val elsewhere = workers.values.filter { it !== machine }.flatMap { rules.attemptsOn(it.id) }
        assertTrue(elsewhere.containsAll(held), "moved")
        assertNoBreach()
    }

    /** Meeting 3: a report from before a machine's tasks came, or from its earlier session, would prove them gone. */
    @TestFactory
    fun `an old report after newer ones proves nothing`() =
        listOf("same session", "earlier session").map { name ->
            DynamicTest.dynamicTest(name) {
                val world = serving(103)
                if (name == "earlier session") {
                    world.workers.values.forEach { it.mute = true }
                    world.runFor(20)
                    world.workers.values.forEach { it.mute = false }
                    world.runFor(10)
                }
                val session = world.busiest().session
                val old = world.busiest().report(world.now).copy(tasks = emptyList())
                val machine = world.emptying()
                assertEquals(old.machine, machine.id)
                val copy = if (name == "earlier session") old.copy(session = session - 1, seq = old.seq + 1000) else old
                assertTrue(copy.session >= 1)
                (0L..4L).forEach { at -> world.after(at * SECOND) { world.nodes.forEach { world.replay(copy, it) } } }
                world.assertKeptUntilHeard(machine)
            }
        }

    /** Meetings 9 and 16: controllers that have just begun know nothing newer than the copy; it must not move work. */
    @Test
    fun `an old report that a new leader gets first proves nothing`() {
        val world = serving(104)
        world.delays.keep(world.busiest().report(world.now).copy(tasks = emptyList()))
        val machine = world.emptying()
        val before = world.claim(Keys.LEADER)
        world.nodes.forEach { it.crash(SECOND / 5) }
        world.runFor(6)
        assertTrue(world.claim(Keys.LEADER) != before, "a new process leads")
        assertEquals(1 to 1, world.delays.leadersMet to world.delays.copiesDelivered)
        world.assertKeptUntilHeard(machine)
    }

    /** Meeting 2: what can't be asked stays where it is until its lease has lapsed, and never runs twice. */
    @TestFactory
    fun `long tasks on machines out of touch survive the end of a leader`() =
        listOf(8L to false, 8L to true, 30L to false, 30L to true).map { (span, deaf) ->
            DynamicTest.dynamicTest("$span s ${if (deaf) "deaf" else "hanging"}") {
                val world = working(105)
                val out = world.workers.values.filterIndexed { i, _ -> i % 2 == 0 }
                assertTrue(out.any { world.rules.attemptsOn(it.id).isNotEmpty() })
                out.forEach { if (deaf) it.deaf = true else it.hangingUntilUs = world.now + span * SECOND }
                // Nobody can return them, so that only their leases prove anything.
                world.cloud.out = true
                val before = world.leader()
                val claim = world.claim(Keys.LEADER)
                world.after(SECOND) { before.crash(SECOND / 2) }
                world.runFor(span)
                out.forEach { it.deaf = false }
                world.cloud.out = false
                assertTrue(world.claim(Keys.LEADER) != claim, "another leads")
                world.runFor(100)
                val running = world.workers.keys.sumOf { world.rules.attemptsOn(it).size }
                assertEquals(12 + 18, running)
                world.assertNoBreach()
            }
        }

    /**
     * Meeting 22: leases lapse again and again though commands arrive. What lapsed was not sent again until reports
     * came, minutes later; and what is sent counts, though nobody's answer renews a lease.
     */
    @TestFactory
    fun `machines that reach no controller neither double work nor keep what was cancelled`() =
        listOf("north", "south", "everywhere").map { zone ->
            DynamicTest.dynamicTest(zone) {
                val world = working(106)
                val mute = world.workers.values.filter { it.zone == zone || zone == "everywhere" }
                assertTrue(mute.any { world.rules.attemptsOn(it.id).isNotEmpty() })
                mute.forEach { it.mute = true }
                world.runFor(10)
                val job = (1..16).map(::id).first { job -> world.machineOf(job)?.mute ?: false }
                world.cancel(job)
                world.runFor(3)
                assertEquals(null, world.machineOf(job), "stopped by direct command")
                world.runFor(30)
                assertTrue(mute.any { it.session > 2 }, "their leases have lapsed twice")
                val services = (1..6).map(::id) - job
                val absent = services.filter { world.machineOf(it) == null }
                assertEquals(emptyList<String>(), absent, "started again by direct command")
                val claim = world.claim(Keys.LEADER)
                world.leader().crash(4 * SECOND)
                world.runFor(40)
                assertTrue(world.claim(Keys.LEADER) != claim, "a new process leads")
                mute.forEach { it.mute = false }
                world.runFor(60)
                assertEquals(emptyList<String>(), services.filter { world.machineOf(it) == null })
                world.assertNoBreach()
            }
        }

    /** All of these in drawn order: late copies, copies for the next leader, late commands, mute and deaf machines. */
    @TestFactory
    fun `rules hold while messages are late and leaders change`() =
        (111L..116L).map { seed ->
            DynamicTest.dynamicTest("seed $seed") {
                val world = world(seed, faultRates = FaultRates(copied = 150, lostAnswer = 4))
                world.delays.lateCommands = 200
                world.delays.keptForNext = 100
                (1..6).forEach { n -> world.after(n * SECOND) { world.user(service(n), null) } }
                (11..60).forEach { n ->
                    val cancelAfter = if (n % 4 == 0) world.random.nextLong(15 * SECOND) else null
                    val spec = batch(n, tasks = 1 + world.random.nextInt(4), estimateS = 3.0 + world.random.nextInt(30))
                    world.after(20 * SECOND + world.random.nextLong(90 * SECOND)) { world.user(spec, cancelAfter) }
                }
                repeat(5) { world.after((35L + it * 18) * SECOND) { world.meeting() } }
                world.run(260 * SECOND)
                assertTrue(world.delays.leadersMet > 0, "copies met a new leader")
                val late = world.delays.held.mapNotNullTo(HashSet()) { it.status }
                assertEquals(setOf(200, 409), late, "late commands carried out, and refused")
                world.assertNoBreach()
            }
        }

    private fun World.meeting() {
        leader().crash(random.nextLong(8 * SECOND))
        val some = workers.values.filter { random.nextInt(4) == 0 }
        val span = 3 * SECOND + random.nextLong(30 * SECOND)
        when (random.nextInt(3)) {
            0 -> some.forEach { it.mute = true }
            1 -> some.forEach { it.deaf = true }
            else -> some.forEach { it.hangingUntilUs = now + span / 2 + 500 * MILLI }
        }
        after(span) {
            some.forEach {
                it.mute = false
                it.deaf = false
            }
        }
    }
}
