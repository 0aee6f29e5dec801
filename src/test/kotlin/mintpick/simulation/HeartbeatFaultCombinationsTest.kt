package mintpick.simulation

import mintpick.core.JobId
import mintpick.core.MILLI
import mintpick.core.SECOND
import mintpick.engine.runtime.Event
import mintpick.engine.runtime.ReplyTo
import mintpick.store.Keys
import mintpick.testing.ClusterSize
import mintpick.testing.FaultRates
import mintpick.testing.SampleJobs
import mintpick.testing.SimulatedAgent
import mintpick.testing.SimulatedCluster
import mintpick.testing.listed
import mintpick.testing.shardOf
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
    private fun cluster(
        seed: Long,
        size: ClusterSize = ClusterSize(),
        faultRates: FaultRates = FaultRates(),
    ) = SimulatedCluster(seed, faultRates, size) { SampleJobs.settings(it) }

    private fun id(n: Int): String = "req-%06d".format(n)

    private fun service(n: Int): JobSpec =
        SampleJobs.spec(id(n), tasks = 2, kind = JobKind.SERVICE, priority = Priority.PRODUCTION, cpus = 1.0, spot = false)

    private fun batch(
        n: Int,
        tasks: Int = 1,
        estimateS: Double = 300.0,
    ): JobSpec = SampleJobs.spec(id(n), team = "blue", tasks = tasks, cpus = 1.0, estimateS = estimateS)

    /** A settled world with services that ask for no more. */
    private fun serving(seed: Long): SimulatedCluster =
        cluster(seed).apply {
            (1..6).forEach { n -> user(service(n), null) }
            run(60 * SECOND)
        }

    /** A settled world with services and long tasks. */
    private fun working(seed: Long): SimulatedCluster =
        cluster(seed).apply {
            (1..6).forEach { n -> user(service(n), null) }
            (11..16).forEach { n -> user(batch(n, tasks = 3), null) }
            run(60 * SECOND)
        }

    private fun SimulatedCluster.busiest(): SimulatedAgent = workers.values.maxBy { rules.attemptsOn(it.id).size }

    private fun SimulatedCluster.machineOf(job: String): SimulatedAgent? =
        workers.values.firstOrNull { worker -> rules.attemptsOn(worker.id).any { it.startsWith(job) } }

    private fun SimulatedCluster.record(key: String): String? = state.keys().firstOrNull { it.first == key }?.second

    private fun SimulatedCluster.claim(key: String): ClaimRecord? =
        record(key)?.let { WireJson.decodeFromString(ClaimRecord.serializer(), it) }

    private fun SimulatedCluster.node(name: String?): SimulatedCluster.Node = nodes.first { it.settings.node == name }

    private fun SimulatedCluster.leader(): SimulatedCluster.Node = node(claim(Keys.LEADER)?.node)

    private val settings = SampleJobs.settings()

    private fun SimulatedCluster.owner(worker: SimulatedAgent): SimulatedCluster.Node = node(claim(Keys.shard(shardOf(worker)))?.node)

    private fun SimulatedCluster.runFor(seconds: Long) = run(now + seconds * SECOND)

    private fun SimulatedCluster.assertNoBreach() = assertEquals(emptyList<String>(), rules.breaches.distinct().take(5))

    /** A user's cancellation through [node]; what the user is told goes to the rules. */
    private fun SimulatedCluster.cancel(
        job: String,
        node: SimulatedCluster.Node = nodes.first { it.engine != null },
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
     * Scenario 10: a start is held up for a minute, its repetition with the same token is answered, and the job is
     * cancelled: unless the token rises all the same, the first one runs it again after `cancel_s`.
     */
    @TestFactory
    fun `a start that is held up stays harmless although its repetition was answered`() =
        (112L..123L).map { seed ->
            DynamicTest.dynamicTest("seed $seed") {
                val cluster = cluster(seed, ClusterSize(machines = 1))
                cluster.user(batch(1), null)
                cluster.run(60 * SECOND)
                val machine = cluster.workers.values.single()
                val tokens = ArrayList<Long>()
                // A cancellation of other work there has the machine called again once the first call is given up. Until
                // then it reports to nobody, as the answer to a report would bring the start before that.
                cluster.messageDelays.holdUs = { _, _, batch ->
                    if (starts(batch.commands, id(2))) tokens += batch.token
                    val isFirst = tokens.size == 1 && cluster.messageDelays.held.isEmpty()
                    if (isFirst) cluster.cancel(id(1))
                    machine.mute = tokens.size == 1
                    if (isFirst) 60 * SECOND else null
                }
                cluster.user(batch(2), null)
                cluster.runFor(10)
                val late = cluster.messageDelays.held.single()
                assertEquals(tokens[0], tokens[1], "repeated with the same token")
                assertEquals(null, late.status, "held up")
                assertEquals(setOf("${id(2)}/0"), cluster.rules.attemptsOn(machine.id), "its repetition was carried out")
                cluster.cancel(id(2))
                cluster.runFor(80)
                assertEquals(409, late.status, "arrived, and was refused")
                assertTrue(cluster.rules.isFinal(id(2)))
                cluster.assertNoBreach()
            }
        }

    /**
     * Scenario 12: the leader borrows a machine, sends it a start and ends; the start is held up. The machine's owner,
     * whose claim is older than the borrowing, goes on with a token that the start exceeds.
     */
    @Test
    fun `a start of a leader that has ended is refused after its borrowing lapsed`() {
        val cluster = cluster(102)
        (1..6).forEach { n -> cluster.user(service(n), null) }
        cluster.run(60 * SECOND)
        val leader = cluster.leader()
        // What the leader knows of the machines is older than the jobs that follow.
        cluster.workers.values.forEach { cluster.replay(it.report(cluster.now), leader) }
        (11..18).forEach { n -> cluster.user(batch(n), null) }
        cluster.runFor(8)
        val job = (11..18).map(::id).first { job -> cluster.machineOf(job)?.let { cluster.owner(it) !== leader } ?: false }
        val machine = requireNotNull(cluster.machineOf(job))
        cluster.messageDelays.holdUs = { from, to, _ -> if (from === leader && to === machine) 70 * SECOND else null }
        cluster.borrow(machine, leader)
        cluster.runFor(1)
        val late = cluster.messageDelays.held.first { starts(it.batch.commands, job) }
        leader.crash(200 * SECOND)
        cluster.runFor(9)
        assertEquals(null, cluster.claim(Keys.borrow(machine.id)), "the borrowing has lapsed")
        cluster.cancel(job)
        cluster.runFor(80)
        assertTrue(cluster.leader() !== leader)
        assertEquals(409, late.status, "arrived, and was refused")
        cluster.assertNoBreach()
    }

    /** What `Ownership.borrow` writes for [leader]. */
    private fun SimulatedCluster.borrow(
        machine: SimulatedAgent,
        leader: SimulatedCluster.Node,
    ) {
        val record = requireNotNull(claim(Keys.LEADER))
        assertEquals(leader.settings.node, record.node)
        val value = WireJson.encodeToJsonElement(ClaimRecord.serializer(), record)
        val writes =
            listOf(
                Change(put = Keys.borrow(machine.id), value = value, lease = record.lease),
                Change(put = Keys.shardEpoch(shardOf(machine)), value = value),
            )
        assertEquals(200, state.transact(Transaction(listOf(Guard(Keys.borrow(machine.id), 0)), writes)).status)
    }

    /** A hanging machine with services that is to be emptied: its owner has heard of a notice and can't stop them. */
    private fun SimulatedCluster.emptying(): SimulatedAgent {
        val machine = busiest()
        machine.hangingUntilUs = now + 12 * SECOND
        // Nobody can return it, so that only reports prove anything.
        cloud.out = true
        replay(machine.report(now).copy(noticeS = 60.0), owner(machine))
        runFor(1)
        assertEquals(Retiring.DRAIN, listed(machine.id)?.retiring)
        return machine
    }

    private fun SimulatedCluster.assertKeptUntilHeard(machine: SimulatedAgent) {
        val held = rules.attemptsOn(machine.id)
        assertTrue(held.isNotEmpty())
        run(machine.hangingUntilUs - SECOND)
        assertEquals(held, rules.attemptsOn(machine.id), "nothing was proven yet")
        runFor(30)
        val elsewhere = workers.values.filter { it !== machine }.flatMap { rules.attemptsOn(it.id) }
        assertTrue(elsewhere.containsAll(held), "moved")
        assertNoBreach()
    }

    /** Scenario 3: a report from before a machine's tasks came, or from its earlier session, would prove them gone. */
    @TestFactory
    fun `an old report after newer ones proves nothing`() =
        listOf("same session", "earlier session").map { name ->
            DynamicTest.dynamicTest(name) {
                val cluster = serving(103)
                if (name == "earlier session") {
                    cluster.workers.values.forEach { it.mute = true }
                    cluster.runFor(20)
                    cluster.workers.values.forEach { it.mute = false }
                    cluster.runFor(10)
                }
                val session = cluster.busiest().session
                val old = cluster.busiest().report(cluster.now).copy(tasks = emptyList())
                val machine = cluster.emptying()
                assertEquals(old.machine, machine.id)
                val copy = if (name == "earlier session") old.copy(agentEpoch = session - 1, seq = old.seq + 1000) else old
                assertTrue(copy.agentEpoch >= 1)
                (0L..4L).forEach { at -> cluster.after(at * SECOND) { cluster.nodes.forEach { cluster.replay(copy, it) } } }
                cluster.assertKeptUntilHeard(machine)
            }
        }

    /** Meetings 9 and 16: controllers that have just begun know nothing newer than the copy; it must not move work. */
    @Test
    fun `an old report that a new leader gets first proves nothing`() {
        val cluster = serving(104)
        cluster.messageDelays.keep(cluster.busiest().report(cluster.now).copy(tasks = emptyList()))
        val machine = cluster.emptying()
        val before = cluster.claim(Keys.LEADER)
        cluster.nodes.forEach { it.crash(SECOND / 5) }
        cluster.runFor(6)
        assertTrue(cluster.claim(Keys.LEADER) != before, "a new process leads")
        assertEquals(1 to 1, cluster.messageDelays.leadersReached to cluster.messageDelays.copiesDelivered)
        cluster.assertKeptUntilHeard(machine)
    }

    /** Scenario 2: what can't be asked stays where it is until its lease has lapsed, and never runs twice. */
    @TestFactory
    fun `long tasks on machines out of touch survive the end of a leader`() =
        listOf(8L to false, 8L to true, 30L to false, 30L to true).map { (span, deaf) ->
            DynamicTest.dynamicTest("$span s ${if (deaf) "deaf" else "hanging"}") {
                val cluster = working(105)
                val out = cluster.workers.values.filterIndexed { i, _ -> i % 2 == 0 }
                assertTrue(out.any { cluster.rules.attemptsOn(it.id).isNotEmpty() })
                out.forEach { if (deaf) it.deaf = true else it.hangingUntilUs = cluster.now + span * SECOND }
                // Nobody can return them, so that only their leases prove anything.
                cluster.cloud.out = true
                val before = cluster.leader()
                val claim = cluster.claim(Keys.LEADER)
                cluster.after(SECOND) { before.crash(SECOND / 2) }
                cluster.runFor(span)
                out.forEach { it.deaf = false }
                cluster.cloud.out = false
                assertTrue(cluster.claim(Keys.LEADER) != claim, "another leads")
                cluster.runFor(100)
                val running = cluster.workers.keys.sumOf { cluster.rules.attemptsOn(it).size }
                assertEquals(12 + 18, running)
                cluster.assertNoBreach()
            }
        }

    /**
     * Scenario 22: leases lapse again and again though commands arrive. What lapsed was not sent again until reports
     * came, minutes later; and what is sent counts, though nobody's answer renews a lease.
     */
    @TestFactory
    fun `machines that reach no controller neither double work nor keep what was cancelled`() =
        listOf("north", "south", "everywhere").map { zone ->
            DynamicTest.dynamicTest(zone) {
                val cluster = working(106)
                val mute = cluster.workers.values.filter { it.zone == zone || zone == "everywhere" }
                assertTrue(mute.any { cluster.rules.attemptsOn(it.id).isNotEmpty() })
                mute.forEach { it.mute = true }
                cluster.runFor(10)
                val job = (1..16).map(::id).first { job -> cluster.machineOf(job)?.mute ?: false }
                cluster.cancel(job)
                cluster.runFor(3)
                assertEquals(null, cluster.machineOf(job), "stopped by direct command")
                cluster.runFor(30)
                assertTrue(mute.any { it.session > 2 }, "their leases have lapsed twice")
                val services = (1..6).map(::id) - job
                val absent = services.filter { cluster.machineOf(it) == null }
                assertEquals(emptyList<String>(), absent, "started again by direct command")
                val claim = cluster.claim(Keys.LEADER)
                cluster.leader().crash(4 * SECOND)
                cluster.runFor(40)
                assertTrue(cluster.claim(Keys.LEADER) != claim, "a new process leads")
                mute.forEach { it.mute = false }
                cluster.runFor(60)
                assertEquals(emptyList<String>(), services.filter { cluster.machineOf(it) == null })
                cluster.assertNoBreach()
            }
        }

    /** All of these in drawn order: late copies, copies for the next leader, late commands, mute and deaf machines. */
    @TestFactory
    fun `rules hold while messages are late and leaders change`() =
        (111L..116L).map { seed ->
            DynamicTest.dynamicTest("seed $seed") {
                val cluster = cluster(seed, faultRates = FaultRates(copied = 150, lostAnswer = 4))
                cluster.messageDelays.lateCommands = 200
                cluster.messageDelays.keptForNext = 100
                (1..6).forEach { n -> cluster.after(n * SECOND) { cluster.user(service(n), null) } }
                (11..60).forEach { n ->
                    val cancelAfter = if (n % 4 == 0) cluster.random.nextLong(15 * SECOND) else null
                    val spec = batch(n, tasks = 1 + cluster.random.nextInt(4), estimateS = 3.0 + cluster.random.nextInt(30))
                    cluster.after(20 * SECOND + cluster.random.nextLong(90 * SECOND)) { cluster.user(spec, cancelAfter) }
                }
                repeat(5) { cluster.after((35L + it * 18) * SECOND) { cluster.scenario() } }
                cluster.run(260 * SECOND)
                assertTrue(cluster.messageDelays.leadersReached > 0, "copies met a new leader")
                val late = cluster.messageDelays.held.mapNotNullTo(HashSet()) { it.status }
                assertEquals(setOf(200, 409), late, "late commands carried out, and refused")
                cluster.assertNoBreach()
            }
        }

    private fun SimulatedCluster.scenario() {
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
