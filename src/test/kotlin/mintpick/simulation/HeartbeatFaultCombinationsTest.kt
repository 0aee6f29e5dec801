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
import mintpick.testing.listedRecord
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

/** Delayed, lost and repeated messages between agents and controllers, combined with restarts of controllers. */
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

    /** A cluster in steady state whose only jobs are six services. */
    private fun steadyClusterWithServices(seed: Long): SimulatedCluster =
        cluster(seed).apply {
            (1..6).forEach { n -> addUser(service(n), null) }
            run(60 * SECOND)
        }

    /** A cluster in steady state with six services and six batch jobs of long tasks. */
    private fun steadyClusterWithLongTasks(seed: Long): SimulatedCluster =
        cluster(seed).apply {
            (1..6).forEach { n -> addUser(service(n), null) }
            (11..16).forEach { n -> addUser(batch(n, tasks = 3), null) }
            run(60 * SECOND)
        }

    private fun SimulatedCluster.busiestMachine(): SimulatedAgent = agents.values.maxBy { rules.tasksOn(it.id).size }

    private fun SimulatedCluster.machineRunning(job: String): SimulatedAgent? =
        agents.values.firstOrNull { worker -> rules.tasksOn(worker.id).any { it.startsWith(job) } }

    private fun SimulatedCluster.record(key: String): String? = state.keys().firstOrNull { it.first == key }?.second

    private fun SimulatedCluster.claim(key: String): ClaimRecord? =
        record(key)?.let { WireJson.decodeFromString(ClaimRecord.serializer(), it) }

    private fun SimulatedCluster.node(name: String?): SimulatedCluster.Node = nodes.first { it.settings.node == name }

    private fun SimulatedCluster.leader(): SimulatedCluster.Node = node(claim(Keys.LEADER)?.node)

    private val settings = SampleJobs.settings()

    private fun SimulatedCluster.owner(worker: SimulatedAgent): SimulatedCluster.Node = node(claim(Keys.shard(shardOf(worker)))?.node)

    private fun SimulatedCluster.runFor(seconds: Long) = run(now + seconds * SECOND)

    private fun SimulatedCluster.assertNoBreach() = assertEquals(emptyList<String>(), rules.breaches.distinct().take(5))

    /** Cancels [job] through [node] as a user does. The rule checker checks the answer. */
    private fun SimulatedCluster.cancel(
        job: String,
        node: SimulatedCluster.Node = nodes.first { it.engine != null },
    ) {
        rules.cancelRequested(job)
        val reply = ReplyTo { if (it.status == 200) rules.jobAnswered(job, JobStage.CANCELLED, now) }
        node.deliver(Event.Cancel(JobId(job), reply))
    }

    private fun containsStartOf(
        commands: List<Command>,
        job: String,
    ): Boolean = commands.any { it.verb == Verb.START && it.task.startsWith(job) }

    /**
     * Scenario 10: a start is delayed by a minute, its repetition with the same token is answered, and the job is cancelled.
     * If the fencing token is not raised, the delayed start runs the task again later than `cancel_s` after the cancellation.
     */
    @TestFactory
    fun `a delayed start is refused although its repetition with the same token was answered`() =
        (112L..123L).map { seed ->
            DynamicTest.dynamicTest("seed $seed") {
                val cluster = cluster(seed, ClusterSize(machines = 1))
                cluster.addUser(batch(1), null)
                cluster.run(60 * SECOND)
                val machine = cluster.agents.values.single()
                val tokens = ArrayList<Long>()
                // Cancelling another job on the machine causes a second call to it after the first has timed out. Until then the
                // agent's heartbeats reach no controller, because the answer to a heartbeat would contain the start.
                cluster.messageDelays.commandDelayUs = { _, _, batch ->
                    if (containsStartOf(batch.commands, id(2))) tokens += batch.token
                    val isFirstStart = tokens.size == 1 && cluster.messageDelays.delayedCommands.isEmpty()
                    if (isFirstStart) cluster.cancel(id(1))
                    machine.heartbeatsLost = tokens.size == 1
                    if (isFirstStart) 60 * SECOND else null
                }
                cluster.addUser(batch(2), null)
                cluster.runFor(10)
                val delayedBatch = cluster.messageDelays.delayedCommands.single()
                assertEquals(tokens[0], tokens[1], "the start is repeated with the same token")
                assertEquals(null, delayedBatch.status, "the first start has not arrived yet")
                assertEquals(setOf("${id(2)}/0"), cluster.rules.tasksOn(machine.id), "the repeated start was executed")
                cluster.cancel(id(2))
                cluster.runFor(80)
                assertEquals(409, delayedBatch.status, "the delayed start arrived and was refused")
                assertTrue(cluster.rules.isFinal(id(2)))
                cluster.assertNoBreach()
            }
        }

    /**
     * Scenario 12: the leader borrows a machine, sends it a start that is delayed, and crashes. The owner of the machine's shard
     * takes control again, and its claim is older than the borrowing, so its token is lower than that of the delayed start.
     */
    @Test
    fun `a delayed start of a crashed leader is refused after its borrowing has expired`() {
        val cluster = cluster(102)
        (1..6).forEach { n -> cluster.addUser(service(n), null) }
        cluster.run(60 * SECOND)
        val leader = cluster.leader()
        // The leader's status of each machine is older than the jobs that follow.
        cluster.agents.values.forEach { cluster.deliverDuplicate(it.heartbeat(cluster.now), leader) }
        (11..18).forEach { n -> cluster.addUser(batch(n), null) }
        cluster.runFor(8)
        val job = (11..18).map(::id).first { job -> cluster.machineRunning(job)?.let { cluster.owner(it) !== leader } ?: false }
        val machine = requireNotNull(cluster.machineRunning(job))
        cluster.messageDelays.commandDelayUs = { from, to, _ -> if (from === leader && to === machine) 70 * SECOND else null }
        cluster.borrow(machine, leader)
        cluster.runFor(1)
        val delayedBatch = cluster.messageDelays.delayedCommands.first { containsStartOf(it.batch.commands, job) }
        leader.crash(200 * SECOND)
        cluster.runFor(9)
        assertEquals(null, cluster.claim(Keys.borrow(machine.id)), "the borrowing has expired")
        cluster.cancel(job)
        cluster.runFor(80)
        assertTrue(cluster.leader() !== leader)
        assertEquals(409, delayedBatch.status, "the delayed start arrived and was refused")
        cluster.assertNoBreach()
    }

    /** Writes the records that `MachineControl.borrow` writes for [leader]. */
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

    /**
     * Drains a hanging machine that runs services and returns it. Its controller has received a termination notice and can't stop
     * the tasks.
     */
    private fun SimulatedCluster.drainHangingMachine(): SimulatedAgent {
        val machine = busiestMachine()
        machine.hangingUntilUs = now + 12 * SECOND
        // The machine can't be released, so only its agent's status can prove that its tasks have ended.
        cloud.unavailable = true
        deliverDuplicate(machine.heartbeat(now).copy(noticeS = 60.0), owner(machine))
        runFor(1)
        assertEquals(Retiring.DRAIN, listedRecord(machine.id)?.retiring)
        return machine
    }

    private fun SimulatedCluster.assertTasksKeptUntilNextStatus(machine: SimulatedAgent) {
        val assignedTasks = rules.tasksOn(machine.id)
        assertTrue(assignedTasks.isNotEmpty())
        run(machine.hangingUntilUs - SECOND)
        assertEquals(assignedTasks, rules.tasksOn(machine.id), "no task may move before the agent has sent a new status")
        runFor(30)
        val elsewhere = agents.values.filter { it !== machine }.flatMap { rules.tasksOn(it.id) }
        assertTrue(elsewhere.containsAll(assignedTasks), "all tasks have moved to other machines")
        assertNoBreach()
    }

    /**
     * Scenario 3: a delayed heartbeat from before a machine received its tasks, or from an earlier agent epoch, lists none of
     * them. If it counted as the newest status, it would prove that they have ended.
     */
    @TestFactory
    fun `a delayed heartbeat that arrives after newer ones proves nothing`() =
        listOf("same session", "earlier session").map { name ->
            DynamicTest.dynamicTest(name) {
                val cluster = steadyClusterWithServices(103)
                if (name == "earlier session") {
                    cluster.agents.values.forEach { it.heartbeatsLost = true }
                    cluster.runFor(20)
                    cluster.agents.values.forEach { it.heartbeatsLost = false }
                    cluster.runFor(10)
                }
                val agentEpoch = cluster.busiestMachine().agentEpoch
                val oldHeartbeat = cluster.busiestMachine().heartbeat(cluster.now).copy(tasks = emptyList())
                val machine = cluster.drainHangingMachine()
                assertEquals(oldHeartbeat.machine, machine.id)
                val isFromEarlierEpoch = name == "earlier session"
                val copy =
                    if (isFromEarlierEpoch) {
                        oldHeartbeat.copy(
                            agentEpoch = agentEpoch - 1,
                            seq = oldHeartbeat.seq + 1000,
                        )
                    } else {
                        oldHeartbeat
                    }
                assertTrue(copy.agentEpoch >= 1)
                (0L..4L).forEach { at -> cluster.after(at * SECOND) { cluster.nodes.forEach { cluster.deliverDuplicate(copy, it) } } }
                cluster.assertTasksKeptUntilNextStatus(machine)
            }
        }

    /** Scenarios 9 and 16: controllers that have just started have no newer status than the copy; it must not move tasks. */
    @Test
    fun `a delayed heartbeat that is the first one a new leader receives proves nothing`() {
        val cluster = steadyClusterWithServices(104)
        cluster.messageDelays.keepForReplay(cluster.busiestMachine().heartbeat(cluster.now).copy(tasks = emptyList()))
        val machine = cluster.drainHangingMachine()
        val oldClaim = cluster.claim(Keys.LEADER)
        cluster.nodes.forEach { it.crash(SECOND / 5) }
        cluster.runFor(6)
        assertTrue(cluster.claim(Keys.LEADER) != oldClaim, "a new process is the leader")
        assertEquals(1 to 1, cluster.messageDelays.leadersWithReplays to cluster.messageDelays.replayedHeartbeats)
        cluster.assertTasksKeptUntilNextStatus(machine)
    }

    /** Scenario 2: tasks on unreachable machines stay assigned there until the lease has expired, and never run twice. */
    @TestFactory
    fun `long tasks on unreachable machines run exactly once after a leader crash`() =
        listOf(8L to false, 8L to true, 30L to false, 30L to true).map { (span, deaf) ->
            DynamicTest.dynamicTest("$span s ${if (deaf) "deaf" else "hanging"}") {
                val cluster = steadyClusterWithLongTasks(105)
                val unreachable = cluster.agents.values.filterIndexed { i, _ -> i % 2 == 0 }
                assertTrue(unreachable.any { cluster.rules.tasksOn(it.id).isNotEmpty() })
                unreachable.forEach { if (deaf) it.inboundLost = true else it.hangingUntilUs = cluster.now + span * SECOND }
                // The machines can't be released, so only lease expiry can prove that their tasks have ended.
                cluster.cloud.unavailable = true
                val oldLeader = cluster.leader()
                val oldClaim = cluster.claim(Keys.LEADER)
                cluster.after(SECOND) { oldLeader.crash(SECOND / 2) }
                cluster.runFor(span)
                unreachable.forEach { it.inboundLost = false }
                cluster.cloud.unavailable = false
                assertTrue(cluster.claim(Keys.LEADER) != oldClaim, "the leader has changed")
                cluster.runFor(100)
                val running = cluster.agents.keys.sumOf { cluster.rules.tasksOn(it).size }
                assertEquals(12 + 18, running)
                cluster.assertNoBreach()
            }
        }

    /**
     * Scenario 22: direct commands reach the machines but their heartbeats reach no controller, so their leases expire repeatedly.
     * Tasks killed by lease expiry were not started again until heartbeats arrived, minutes later. Commands that are sent must
     * take effect although no answer renews a lease.
     */
    @TestFactory
    fun `machines whose heartbeats reach no controller run no task twice and stop cancelled ones`() =
        listOf("north", "south", "everywhere").map { zone ->
            DynamicTest.dynamicTest(zone) {
                val cluster = steadyClusterWithLongTasks(106)
                val affected = cluster.agents.values.filter { it.zone == zone || zone == "everywhere" }
                assertTrue(affected.any { cluster.rules.tasksOn(it.id).isNotEmpty() })
                affected.forEach { it.heartbeatsLost = true }
                cluster.runFor(10)
                val job = (1..16).map(::id).first { job -> cluster.machineRunning(job)?.heartbeatsLost ?: false }
                cluster.cancel(job)
                cluster.runFor(3)
                assertEquals(null, cluster.machineRunning(job), "the cancelled job was stopped by a direct command")
                cluster.runFor(30)
                assertTrue(affected.any { it.agentEpoch > 2 }, "leases have expired at least twice")
                val services = (1..6).map(::id) - job
                val absent = services.filter { cluster.machineRunning(it) == null }
                assertEquals(emptyList<String>(), absent, "services were started again by direct commands")
                val oldClaim = cluster.claim(Keys.LEADER)
                cluster.leader().crash(4 * SECOND)
                cluster.runFor(40)
                assertTrue(cluster.claim(Keys.LEADER) != oldClaim, "a new process is the leader")
                affected.forEach { it.heartbeatsLost = false }
                cluster.runFor(60)
                assertEquals(emptyList<String>(), services.filter { cluster.machineRunning(it) == null })
                cluster.assertNoBreach()
            }
        }

    /**
     * All these faults in random order: late copies of heartbeats, copies that reach the next leader, late commands, and machines
     * that can't send, can't receive or hang.
     */
    @TestFactory
    fun `all rules hold while messages are delayed and the leader changes`() =
        (111L..116L).map { seed ->
            DynamicTest.dynamicTest("seed $seed") {
                val cluster = cluster(seed, faultRates = FaultRates(duplicated = 150, lostAnswer = 4))
                cluster.messageDelays.delayedCommandRate = 200
                cluster.messageDelays.replayRate = 100
                (1..6).forEach { n -> cluster.after(n * SECOND) { cluster.addUser(service(n), null) } }
                (11..60).forEach { n ->
                    val cancelAfter = if (n % 4 == 0) cluster.random.nextLong(15 * SECOND) else null
                    val spec = batch(n, tasks = 1 + cluster.random.nextInt(4), estimateS = 3.0 + cluster.random.nextInt(30))
                    cluster.after(20 * SECOND + cluster.random.nextLong(90 * SECOND)) { cluster.addUser(spec, cancelAfter) }
                }
                repeat(5) { cluster.after((35L + it * 18) * SECOND) { cluster.injectFault() } }
                cluster.run(260 * SECOND)
                assertTrue(cluster.messageDelays.leadersWithReplays > 0, "copies of heartbeats reached a new leader")
                val statuses = cluster.messageDelays.delayedCommands.mapNotNullTo(HashSet()) { it.status }
                assertEquals(setOf(200, 409), statuses, "some late commands were executed and some refused")
                cluster.assertNoBreach()
            }
        }

    private fun SimulatedCluster.injectFault() {
        leader().crash(random.nextLong(8 * SECOND))
        val affected = agents.values.filter { random.nextInt(4) == 0 }
        val span = 3 * SECOND + random.nextLong(30 * SECOND)
        when (random.nextInt(3)) {
            0 -> affected.forEach { it.heartbeatsLost = true }
            1 -> affected.forEach { it.inboundLost = true }
            else -> affected.forEach { it.hangingUntilUs = now + span / 2 + 500 * MILLI }
        }
        after(span) {
            affected.forEach {
                it.heartbeatsLost = false
                it.inboundLost = false
            }
        }
    }
}
