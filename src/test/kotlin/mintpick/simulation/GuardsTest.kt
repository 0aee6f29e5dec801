package mintpick.simulation

import mintpick.core.JobId
import mintpick.core.MILLI
import mintpick.core.Micros
import mintpick.core.SECOND
import mintpick.engine.runtime.Event
import mintpick.engine.runtime.ReplyTo
import mintpick.net.Answer
import mintpick.store.Keys
import mintpick.store.RecordCodec
import mintpick.testing.ClusterSize
import mintpick.testing.FaultRates
import mintpick.testing.SampleJobs
import mintpick.testing.SimulatedAgent
import mintpick.testing.SimulatedCluster
import mintpick.testing.assertRulesHeld
import mintpick.testing.recordsNaming
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
    private fun cluster(
        seed: Long,
        size: ClusterSize = ClusterSize(),
    ) = SimulatedCluster(seed, FaultRates(), size) { SampleJobs.settings(it) }

    private fun service(
        n: Int,
        tasks: Int = 2,
    ): JobSpec = SampleJobs.service(n, tasks = tasks)

    private fun batch(
        n: Int,
        tasks: Int = 1,
        estimateS: Double = 60.0,
    ): JobSpec = SampleJobs.spec("req-%06d".format(n), team = "blue", tasks = tasks, cpus = 1.0, estimateS = estimateS)

    private fun SimulatedCluster.settled(): SimulatedCluster = apply { run(60 * SECOND) }

    /** A settled world with services that ask for no more. */
    private fun serving(seed: Long): SimulatedCluster =
        cluster(seed).apply {
            (1..6).forEach { n -> user(service(n), null) }
            settled()
        }

    private fun SimulatedCluster.busiest(): SimulatedAgent = workers.values.maxBy { rules.attemptsOn(it.id).size }

    /** Jobs whose records assign tasks to [machine]. */
    private fun SimulatedCluster.assignedTo(machine: SimulatedAgent): Set<String> =
        recordsNaming(machine.id).filterTo(HashSet()) { it.startsWith(Keys.job("")) }

    private fun SimulatedCluster.replayEverywhere(report: MachineReport) = nodes.forEach { replay(report, it) }

    /**
     * Runs [check] for each machine of settled worlds with a stream of short jobs in turn, each time in a world of its own.
     * What a machine happens to be sent differs from seed to seed, so there are several.
     */
    private fun forEachMachine(
        seeds: LongRange,
        check: (SimulatedCluster, SimulatedAgent) -> Unit,
    ) {
        val machines = seeds.sumOf { forEachMachine(it, check) }
        assertTrue(machines > seeds.count() / 2, "$machines machines")
    }

    private fun forEachMachine(
        seed: Long,
        check: (SimulatedCluster, SimulatedAgent) -> Unit,
    ): Int {
        val busy: () -> SimulatedCluster = {
            val cluster = cluster(seed)
            (100..150).forEach { n ->
                cluster.after(50 * SECOND + (n - 100) * SECOND / 2) { cluster.user(batch(n, estimateS = 4.0), null) }
            }
            cluster.settled()
        }
        val names = busy().workers.keys.toList()
        for (name in names) {
            val cluster = busy()
            check(cluster, cluster.workers.getValue(name))
        }
        return names.size
    }

    /** `Fleet.isUnreachable`: its reports keep a machine fresh, and new work was sent to it that it never got. */
    @Test
    fun `new work goes elsewhere once a call to a machine has failed`() {
        var sent = 0
        forEachMachine(61L..68L) { cluster, deaf ->
            cluster.cloud.out = true
            deaf.deaf = true
            // A call that fails has failed after a second and a half.
            cluster.run(62_500 * MILLI)
            val before = cluster.assignedTo(deaf)
            cluster.run(68 * SECOND)
            if (deaf.missed.any { it.first < 61 * SECOND }) {
                sent++
                assertEquals(emptySet<String>(), cluster.assignedTo(deaf) - before, deaf.id)
            }
        }
        assertTrue(sent > 1, "$sent machines lost a start")
    }

    /** `UnresponsiveMachines.hasOneWayConnectivity`: its reports to the others speak for a machine that hears nobody. */
    @Test
    fun `a machine that hears nothing is returned before its lease is over`() {
        var silent = 0
        forEachMachine(61L..72L) { cluster, deaf ->
            deaf.deaf = true
            cluster.run(75 * SECOND)
            // Nothing tells of it before it is sent something; three calls and a worker's patience later it is known.
            if (deaf.missed.any { it.first < 62 * SECOND }) {
                silent++
                assertFalse(deaf.id in cluster.workers, deaf.id)
            }
        }
        assertTrue(silent > 2, "$silent machines were sent something early")
    }

    /** `MachineView.recordHeartbeat`: answering a copy counted as renewing the lease, so what a dead machine held never moved. */
    @Test
    fun `copies of a report do not keep a lapsed machine's work from moving`() {
        val cluster = serving(63)
        val silent = cluster.busiest()
        val held = cluster.rules.attemptsOn(silent.id)
        val copy = silent.report(cluster.now)
        cluster.replayEverywhere(copy)
        silent.hangingUntilUs = 1000 * SECOND
        // Nobody can return it, so that only its lease proves anything.
        cluster.cloud.out = true
        (1..20).forEach { n -> cluster.after(n * 2 * SECOND) { cluster.replayEverywhere(copy) } }
        cluster.run(92 * SECOND)
        assertTrue(held.all { task -> cluster.workers.values.any { it !== silent && task in cluster.rules.attemptsOn(it.id) } }, "moved")
        cluster.assertRulesHeld()
    }

    /** `Fleet.isConfirmed`: a controller that had just started took a copy for a new machine, and wrote it down. */
    @Test
    fun `copies make no record of a machine that is gone`() {
        val cluster = serving(64)
        val gone = cluster.busiest()
        val copies = List(4) { gone.report(cluster.now) }
        cluster.remove(gone.id)
        cluster.run(90 * SECOND)
        assertEquals(emptySet<String>(), cluster.recordsNaming(gone.id))
        cluster.nodes.forEach { it.crash(SECOND / 5) }
        copies.forEachIndexed { i, copy -> (1..4).forEach { n -> cluster.after((i * 3L + n) * SECOND) { cluster.replayEverywhere(copy) } } }
        for (at in 900..1120) {
            cluster.run(at * SECOND / 10)
            assertEquals(emptySet<String>(), cluster.recordsNaming(gone.id), "recorded at $at")
        }
    }

    /** `CommandPlanner.hasTerminationNotice`: the notice in a copy drained a machine that nobody was to take. */
    @Test
    fun `a notice in a copy empties nothing`() {
        val cluster = serving(65)
        val machine = cluster.busiest()
        machine.noticeUs = cluster.now + 20 * SECOND
        val copy = machine.report(cluster.now)
        machine.noticeUs = null
        val kept = cluster.rules.attemptsOn(machine.id)
        cluster.run(70 * SECOND)
        // Controllers that have just started know nothing newer while the machine hangs for a moment.
        cluster.nodes.forEach { it.crash(SECOND / 5) }
        machine.hangingUntilUs = cluster.now + 4 * SECOND
        (1..8).forEach { n -> cluster.after(n * SECOND / 4) { cluster.replayEverywhere(copy) } }
        cluster.run(100 * SECOND)
        assertTrue(cluster.rules.attemptsOn(machine.id).containsAll(kept))
    }

    /** `Fleet.bury`: copies made a view of a dead machine again, which was then asked again and again. */
    @Test
    fun `nobody calls a machine that is gone because of copies`() {
        val cluster = serving(66)
        val gone = cluster.busiest()
        val copies = List(15) { gone.report(cluster.now) }
        cluster.remove(gone.id)
        cluster.run(90 * SECOND)
        val calls = cluster.callsTo[gone.address]
        // To one controller after the other: what its owner hears would keep the others from asking.
        copies.forEachIndexed { i, copy -> cluster.after(i * 2 * SECOND) { cluster.replay(copy, cluster.nodes[i / 5]) } }
        cluster.run(125 * SECOND)
        assertEquals(calls, cluster.callsTo[gone.address])
    }

    /** `Fleet.adopt` asks the machine first: copies alone once looked like a worker that keeps coming, and were adopted. */
    @Test
    fun `copies make no claim`() {
        val cluster = serving(67)
        val silent = cluster.busiest()
        val copies = List(15) { silent.report(cluster.now) }
        silent.hangingUntilUs = 1000 * SECOND
        cluster.cloud.out = true
        cluster.run(70 * SECOND)
        val before = cluster.claimsFor(silent)
        copies.forEachIndexed { i, copy -> cluster.after(i * 2 * SECOND) { cluster.replay(copy, cluster.nodes[i / 5]) } }
        cluster.run(105 * SECOND)
        assertEquals(before, cluster.claimsFor(silent))
    }

    private fun SimulatedCluster.claimsFor(machine: SimulatedAgent): List<Pair<String, String>> =
        state.keys().filter { it.first.startsWith(Keys.shard(0).dropLast(1)) || it.first == Keys.borrow(machine.id) }

    /** The rental names hold a part of the process's own: the next one under this name asked for the same machines. */
    @Test
    fun `a process that is back at once asks for machines under names of its own`() {
        val cluster = cluster(68)
        cluster.user(batch(1, tasks = 30), null)
        cluster.run(20 * SECOND)
        cluster.nodes.forEach { it.crash(SECOND / 10) }
        cluster.after(2 * SECOND) { cluster.user(batch(2, tasks = 60), null) }
        cluster.run(50 * SECOND)
        assertTrue(
            cluster.cloud.requestNames.values
                .flatten()
                .distinct()
                .size > 1,
            "rented in two lives: ${cluster.cloud.requestNames}",
        )
        assertTrue(
            cluster.cloud.requestNames.values
                .all { it.size == 1 },
            "${cluster.cloud.requestNames}",
        )
    }

    /** The raised token after a lost start: without it nothing is ever proven of that attempt, and its job never ends. */
    @Test
    fun `a job that is cancelled while its start is lost comes to its end`() {
        val cluster = cluster(69)
        (1..3).forEach { n -> cluster.user(batch(n, estimateS = 300.0), null) }
        cluster.settled()
        cluster.workers.values.forEach { it.deaf = true }
        cluster.user(batch(9), 1500 * MILLI)
        cluster.after(2 * SECOND) { cluster.workers.values.forEach { it.deaf = false } }
        cluster.run(100 * SECOND)
        assertTrue(cluster.workers.values.any { worker -> worker.missed.any { "req-000009" in it.second } }, "its start was lost")
        val record =
            cluster.state
                .keys()
                .first { it.first == Keys.job("req-000009") }
                .second
        assertEquals(null, RecordCodec.decodeJob(WireJson.parseToJsonElement(record)).spec, record)
    }

    /** One shared catch-up covers all polls that wait: one each would use up the state service's limits. */
    @Test
    fun `hundreds of polls at once cost few requests`() {
        val cluster = cluster(70)
        (1..10).forEach { n -> cluster.user(service(n), null) }
        cluster.settled()
        val idle = cluster.requestsWithin(2 * SECOND) {}
        val answers = ArrayList<Answer>()
        val busy =
            cluster.requestsWithin(2 * SECOND) {
                repeat(
                    300,
                ) { i -> cluster.nodes[i % 3].deliver(Event.Poll(JobId("req-%06d".format(1 + i % 10)), ReplyTo { answers += it })) }
            }
        assertEquals(300, answers.count { it.status == 200 })
        assertTrue(busy < idle + 12, "$busy requests instead of $idle")
    }

    private fun SimulatedCluster.requestsWithin(
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
        val cluster = cluster(71)
        cluster.user(service(1), null)
        cluster.settled()
        val node = cluster.nodes[0]
        val answers = ArrayList<Answer>()
        val polls = ArrayList<Answer>()
        (1000..1400).forEach { n -> node.deliver(Event.Submit(batch(n), ReplyTo { answers += it })) }
        node.deliver(Event.Poll(JobId("req-000001"), ReplyTo { polls += it }))
        cluster.run(cluster.now + SECOND / 5)
        val refused = answers.filter { it.status == 429 }
        assertTrue(refused.size > 300 && refused.all { (it.retryAfterS ?: 0) > 0 }, "${refused.size} refused at once")
        assertEquals(listOf(200), polls.map { it.status })
    }

    /** All controllers restart with the whole history to load: every job is known again at once, none is forgotten meanwhile. */
    @Test
    fun `a long history is known again after all controllers restart at once`() {
        val cluster = cluster(72)
        (1..600).forEach { n -> cluster.after(n * SECOND / 12) { cluster.user(batch(n, estimateS = 1.0), null) } }
        cluster.run(120 * SECOND)
        repeat(3) { i -> cluster.after(i * 2 * SECOND) { cluster.nodes.forEach { it.crash(SECOND / 3) } } }
        cluster.after(5 * SECOND) { cluster.rules.faultsOverSinceUs = cluster.now }
        cluster.run(205 * SECOND)
        cluster.assertRulesHeld()
        assertEquals(600, (1..600).count { cluster.rules.isFinal("req-%06d".format(it)) })
    }
}
