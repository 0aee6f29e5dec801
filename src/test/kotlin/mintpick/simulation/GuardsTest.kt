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
 * Each test covers one guard of the controller. `docs/design.md` lists which of these tests failed when their guard was removed.
 * The two tests of machines that receive no messages check the outcome only: the check for lost contact is a second guard there.
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

    private fun SimulatedCluster.warmUp(): SimulatedCluster = apply { run(60 * SECOND) }

    /** A cluster in steady state whose only jobs are six services. */
    private fun steadyClusterWithServices(seed: Long): SimulatedCluster =
        cluster(seed).apply {
            (1..6).forEach { n -> addUser(service(n), null) }
            warmUp()
        }

    private fun SimulatedCluster.busiestMachine(): SimulatedAgent = agents.values.maxBy { rules.tasksOn(it.id).size }

    /** Jobs whose records assign tasks to [machine]. */
    private fun SimulatedCluster.jobsAssignedTo(machine: SimulatedAgent): Set<String> =
        recordsNaming(machine.id).filterTo(HashSet()) { it.startsWith(Keys.job("")) }

    private fun SimulatedCluster.replayToAllNodes(heartbeat: MachineReport) = nodes.forEach { deliverDuplicate(heartbeat, it) }

    /**
     * Runs [check] once for each machine of a warmed-up cluster with a stream of short jobs, each time in a new cluster. Several
     * seeds are used because the commands that a machine is sent differ from seed to seed.
     */
    private fun forEachMachine(
        seeds: LongRange,
        check: (SimulatedCluster, SimulatedAgent) -> Unit,
    ) {
        val checkedMachines = seeds.sumOf { forEachMachine(it, check) }
        assertTrue(checkedMachines > seeds.count() / 2, "machines checked: $checkedMachines")
    }

    private fun forEachMachine(
        seed: Long,
        check: (SimulatedCluster, SimulatedAgent) -> Unit,
    ): Int {
        val startCluster: () -> SimulatedCluster = {
            val cluster = cluster(seed)
            (100..150).forEach { n ->
                cluster.after(50 * SECOND + (n - 100) * SECOND / 2) { cluster.addUser(batch(n, estimateS = 4.0), null) }
            }
            cluster.warmUp()
        }
        val machineIds = startCluster().agents.keys.toList()
        for (machineId in machineIds) {
            val cluster = startCluster()
            check(cluster, cluster.agents.getValue(machineId))
        }
        return machineIds.size
    }

    /**
     * Guard: `ReachabilityTracker.isUnreachable`. Heartbeats keep a machine that receives nothing fresh, so without the guard new
     * tasks were placed on it and their starts never arrived.
     */
    @Test
    fun `no new tasks are placed on a machine after a call to it has failed`() {
        var machinesWithLostStart = 0
        forEachMachine(61L..68L) { cluster, machine ->
            cluster.cloud.unavailable = true
            machine.inboundLost = true
            // A call times out after 1.5 s.
            cluster.run(62_500 * MILLI)
            val before = cluster.jobsAssignedTo(machine)
            cluster.run(68 * SECOND)
            if (machine.missedStarts.any { it.first < 61 * SECOND }) {
                machinesWithLostStart++
                assertEquals(emptySet<String>(), cluster.jobsAssignedTo(machine) - before, machine.id)
            }
        }
        assertTrue(machinesWithLostStart > 1, "machines with a lost start: $machinesWithLostStart")
    }

    /**
     * Guard: `UnresponsiveMachines.hasOneWayConnectivity`. Heartbeats that still reach the other controllers make a machine that
     * receives nothing look healthy.
     */
    @Test
    fun `a machine that receives nothing is released before its lease expires`() {
        var machinesWithEarlyStart = 0
        forEachMachine(61L..72L) { cluster, machine ->
            machine.inboundLost = true
            cluster.run(75 * SECOND)
            // The fault is detectable only after a command is sent: then three calls must fail and an agent's heartbeat must time out.
            if (machine.missedStarts.any { it.first < 62 * SECOND }) {
                machinesWithEarlyStart++
                assertFalse(machine.id in cluster.agents, machine.id)
            }
        }
        assertTrue(machinesWithEarlyStart > 2, "machines that missed a start within 2 s: $machinesWithEarlyStart")
    }

    /**
     * Guard: `MachineView.recordHeartbeat`. Without it, answering a late copy of a heartbeat counted as a lease renewal, so the
     * tasks of a dead machine were never moved.
     */
    @Test
    fun `tasks of a machine whose lease has expired move although copies of its heartbeat arrive`() {
        val cluster = steadyClusterWithServices(63)
        val hanging = cluster.busiestMachine()
        val assignedTasks = cluster.rules.tasksOn(hanging.id)
        val copy = hanging.heartbeat(cluster.now)
        cluster.replayToAllNodes(copy)
        hanging.hangingUntilUs = 1000 * SECOND
        // The machine can't be released, so only lease expiry can prove that its tasks have ended.
        cluster.cloud.unavailable = true
        (1..20).forEach { n -> cluster.after(n * 2 * SECOND) { cluster.replayToAllNodes(copy) } }
        cluster.run(92 * SECOND)
        val elsewhere =
            cluster.agents.values
                .filter { it !== hanging }
                .flatMap { cluster.rules.tasksOn(it.id) }
        assertTrue(elsewhere.containsAll(assignedTasks), "all tasks of the machine run elsewhere")
        cluster.assertRulesHeld()
    }

    /**
     * Guard: `AgentIndex.isConfirmed`. Without it, a controller that had just started took a copy of a heartbeat for a new
     * machine and added the machine to the records.
     */
    @Test
    fun `copies of heartbeats do not add a terminated machine to the records`() {
        val cluster = steadyClusterWithServices(64)
        val terminated = cluster.busiestMachine()
        val copies = List(4) { terminated.heartbeat(cluster.now) }
        cluster.remove(terminated.id)
        cluster.run(90 * SECOND)
        assertEquals(emptySet<String>(), cluster.recordsNaming(terminated.id))
        cluster.nodes.forEach { it.crash(SECOND / 5) }
        copies.forEachIndexed { i, copy -> (1..4).forEach { n -> cluster.after((i * 3L + n) * SECOND) { cluster.replayToAllNodes(copy) } } }
        for (at in 900..1120) {
            cluster.run(at * SECOND / 10)
            assertEquals(emptySet<String>(), cluster.recordsNaming(terminated.id), "recorded at $at tenths of a second")
        }
    }

    /**
     * Guard: `CommandPlanner.hasTerminationNotice`. Without it, an outdated termination notice in a copy of a heartbeat drained a
     * machine that was not going to be terminated.
     */
    @Test
    fun `a termination notice in a copy of a heartbeat drains no machine`() {
        val cluster = steadyClusterWithServices(65)
        val machine = cluster.busiestMachine()
        machine.noticeUs = cluster.now + 20 * SECOND
        val copy = machine.heartbeat(cluster.now)
        machine.noticeUs = null
        val tasksBefore = cluster.rules.tasksOn(machine.id)
        cluster.run(70 * SECOND)
        // While the machine hangs, controllers that have just started have no newer status than the copy.
        cluster.nodes.forEach { it.crash(SECOND / 5) }
        machine.hangingUntilUs = cluster.now + 4 * SECOND
        (1..8).forEach { n -> cluster.after(n * SECOND / 4) { cluster.replayToAllNodes(copy) } }
        cluster.run(100 * SECOND)
        assertTrue(cluster.rules.tasksOn(machine.id).containsAll(tasksBefore))
    }

    /**
     * Guard: `AgentIndex.markTerminated`. Without the tombstone, a copy of a heartbeat created a new view of a terminated
     * machine, which was then called repeatedly.
     */
    @Test
    fun `copies of heartbeats cause no calls to a terminated machine`() {
        val cluster = steadyClusterWithServices(66)
        val terminated = cluster.busiestMachine()
        val copies = List(15) { terminated.heartbeat(cluster.now) }
        cluster.remove(terminated.id)
        cluster.run(90 * SECOND)
        val callsBefore = cluster.callsByAddress[terminated.address]
        // To one controller after the other: a copy that reaches the machine's controller keeps the others from calling the machine.
        copies.forEachIndexed { i, copy -> cluster.after(i * 2 * SECOND) { cluster.deliverDuplicate(copy, cluster.nodes[i / 5]) } }
        cluster.run(125 * SECOND)
        assertEquals(callsBefore, cluster.callsByAddress[terminated.address])
    }

    /**
     * Guard: `HeartbeatHandler.takeOver` calls the agent first. Without this call, copies alone looked like an agent that keeps
     * sending heartbeats to the wrong controller, and its machine was taken over.
     */
    @Test
    fun `copies of heartbeats cause no takeover of a machine`() {
        val cluster = steadyClusterWithServices(67)
        val hanging = cluster.busiestMachine()
        val copies = List(15) { hanging.heartbeat(cluster.now) }
        hanging.hangingUntilUs = 1000 * SECOND
        cluster.cloud.unavailable = true
        cluster.run(70 * SECOND)
        val before = cluster.claimsFor(hanging)
        copies.forEachIndexed { i, copy -> cluster.after(i * 2 * SECOND) { cluster.deliverDuplicate(copy, cluster.nodes[i / 5]) } }
        cluster.run(105 * SECOND)
        assertEquals(before, cluster.claimsFor(hanging))
    }

    private fun SimulatedCluster.claimsFor(machine: SimulatedAgent): List<Pair<String, String>> =
        state.keys().filter { it.first.startsWith(Keys.shard(0).dropLast(1)) || it.first == Keys.borrow(machine.id) }

    /**
     * Guard: names of rental requests contain a random part of the process (`ScaleOut`). Without it, the next process with the
     * same controller name reused the request names and therefore requested the same machines again.
     */
    @Test
    fun `a process that restarts at once uses new names for its rental requests`() {
        val cluster = cluster(68)
        cluster.addUser(batch(1, tasks = 30), null)
        cluster.run(20 * SECOND)
        cluster.nodes.forEach { it.crash(SECOND / 10) }
        cluster.after(2 * SECOND) { cluster.addUser(batch(2, tasks = 60), null) }
        cluster.run(50 * SECOND)
        assertTrue(
            cluster.cloud.incarnationsByRequest.values
                .flatten()
                .distinct()
                .size > 1,
            "requests of more than one process: ${cluster.cloud.incarnationsByRequest}",
        )
        assertTrue(
            cluster.cloud.incarnationsByRequest.values
                .all { it.size == 1 },
            "each process uses one set of names: ${cluster.cloud.incarnationsByRequest}",
        )
    }

    /**
     * Guard: `CommandDispatcher` raises the fencing token after the call of a start has timed out. Without the higher token,
     * nothing is ever proven about that attempt, and its job never reaches a final stage.
     */
    @Test
    fun `a job that is cancelled while its start is lost reaches its final stage`() {
        val cluster = cluster(69)
        (1..3).forEach { n -> cluster.addUser(batch(n, estimateS = 300.0), null) }
        cluster.warmUp()
        cluster.agents.values.forEach { it.inboundLost = true }
        cluster.addUser(batch(9), 1500 * MILLI)
        cluster.after(2 * SECOND) { cluster.agents.values.forEach { it.inboundLost = false } }
        cluster.run(100 * SECOND)
        assertTrue(cluster.agents.values.any { worker -> worker.missedStarts.any { "req-000009" in it.second } }, "the start was lost")
        val record =
            cluster.state
                .keys()
                .first { it.first == Keys.job("req-000009") }
                .second
        assertEquals(null, RecordCodec.decodeJob(WireJson.parseToJsonElement(record)).spec, record)
    }

    /** All waiting polls share one catch-up. One catch-up for each poll would use up the state store's rate limits. */
    @Test
    fun `300 simultaneous polls cause fewer than 12 extra requests to the state store`() {
        val cluster = cluster(70)
        (1..10).forEach { n -> cluster.addUser(service(n), null) }
        cluster.warmUp()
        val idleRequests = cluster.requestsDuring(2 * SECOND) {}
        val answers = ArrayList<Answer>()
        val requests =
            cluster.requestsDuring(2 * SECOND) {
                repeat(
                    300,
                ) { i -> cluster.nodes[i % 3].deliver(Event.Poll(JobId("req-%06d".format(1 + i % 10)), ReplyTo { answers += it })) }
            }
        assertEquals(300, answers.count { it.status == 200 })
        assertTrue(requests < idleRequests + 12, "requests: $requests with polls, $idleRequests without")
    }

    private fun SimulatedCluster.requestsDuring(
        span: Micros,
        action: () -> Unit,
    ): Long {
        val before = state.requests
        action()
        run(now + span)
        return state.requests - before
    }

    /**
     * Submissions that can't be stored in time are refused immediately with a `Retry-After` time, and polls are answered
     * meanwhile.
     */
    @Test
    fun `excess submissions are refused immediately and delay no polls`() {
        val cluster = cluster(71)
        cluster.addUser(service(1), null)
        cluster.warmUp()
        val node = cluster.nodes[0]
        val answers = ArrayList<Answer>()
        val polls = ArrayList<Answer>()
        (1000..1400).forEach { n -> node.deliver(Event.Submit(batch(n), ReplyTo { answers += it })) }
        node.deliver(Event.Poll(JobId("req-000001"), ReplyTo { polls += it }))
        cluster.run(cluster.now + SECOND / 5)
        val refused = answers.filter { it.status == 429 }
        assertTrue(refused.size > 300 && refused.all { (it.retryAfterS ?: 0) > 0 }, "refused immediately: ${refused.size}")
        assertEquals(listOf(200), polls.map { it.status })
    }

    /**
     * All controllers restart three times and must load the records of 600 jobs. No job may be unknown to a controller that
     * answers users.
     */
    @Test
    fun `no job is lost when all controllers restart at once with 600 jobs to load`() {
        val cluster = cluster(72)
        (1..600).forEach { n -> cluster.after(n * SECOND / 12) { cluster.addUser(batch(n, estimateS = 1.0), null) } }
        cluster.run(120 * SECOND)
        repeat(3) { i -> cluster.after(i * 2 * SECOND) { cluster.nodes.forEach { it.crash(SECOND / 3) } } }
        cluster.after(5 * SECOND) { cluster.rules.faultsOverAtUs = cluster.now }
        cluster.run(205 * SECOND)
        cluster.assertRulesHeld()
        assertEquals(600, (1..600).count { cluster.rules.isFinal("req-%06d".format(it)) })
    }
}
