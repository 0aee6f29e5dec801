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
import mintpick.testing.checkDoneCount
import mintpick.testing.claimedShardCount
import mintpick.testing.leader
import mintpick.testing.leaderClaim
import mintpick.testing.occupiedShardCount
import mintpick.testing.runUntil
import mintpick.testing.unrecordedCompletions
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

/**
 * Pairs of simultaneous faults around leader changes, zones and team limits. Each test checks that the faults occurred and that
 * the cluster recovers completely.
 */
class LeadershipFaultCombinationsTest {
    private fun cluster(
        seed: Long,
        faultRates: FaultRates = FaultRates(),
        size: ClusterSize = ClusterSize(),
        settingsOf: (Int) -> Settings = { SampleJobs.settings(it) },
    ) = SimulatedCluster(seed, faultRates, size, settingsOf)

    /** Settings in which both teams have a limit. */
    private fun settingsWithLimits(index: Int): Settings =
        Settings.parse(SampleJobs.toml(index).replace("name = \"blue\"", "name = \"blue\"\ncpus_max = $BLUE_CPU_LIMIT"))

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

    private fun SimulatedCluster.repeatEvery(
        span: Micros,
        action: () -> Unit,
    ) {
        after(span) {
            action()
            repeatEvery(span, action)
        }
    }

    /** Continues for [span] after the last fault. All rules must hold, also those that no job or request is left waiting. */
    private fun SimulatedCluster.assertRecovers(span: Micros = 130 * SECOND) {
        rules.faultsOverAtUs = now
        WaitingJobRule(this, nodes[0].settings.teams.associate { it.name to it.cpusMax }).watch()
        run(now + span)
        assertEquals(emptyList<String>(), rules.breaches.distinct().take(5))
    }

    /** A cluster limited to [machines] machines, each with one long task of 10 CPUs and 6 free CPUs. */
    private fun partlyFilledCluster(
        seed: Long,
        machines: Int,
    ): SimulatedCluster =
        cluster(seed, size = ClusterSize(machines = machines, spotMachines = 0)).apply {
            (1..machines).forEach { n -> addUser(batch(n, cpus = 10.0, estimateS = 900.0), null) }
            run(60 * SECOND)
            assertEquals(machines, agents.values.count { rules.tasksOn(it.id).size == 1 && it.type == "large" })
        }

    private fun gang(
        n: Int,
        tasks: Int,
    ) = SampleJobs.spec(id(n), "blue", tasks, JobKind.GANG, cpus = 6.0, estimateS = 900.0, spot = false)

    /**
     * The leader borrowed as many machines as fit into one transaction. They could have held the gang if they had been empty, so
     * the leader never considered the other controllers' machines again. The gang waited forever although there was capacity.
     */
    @Test
    fun `a gang that needs more machines than one transaction can borrow is placed`() {
        val cluster = partlyFilledCluster(201, 9)
        val gang = gang(20, 9)
        cluster.addUser(gang, null)
        cluster.assertRecovers(100 * SECOND)
        assertTrue(cluster.isRunning(gang))
    }

    /**
     * Failed calls from a network partition were remembered forever, so a leader that had lost its machines during the partition
     * could never borrow any.
     */
    @Test
    fun `a leader that was partitioned from its agents borrows machines again afterwards`() {
        val cluster = partlyFilledCluster(203, 14)
        // The controller whose shards contain the most machines must be the leader.
        val partitioned = cluster.nodes.maxBy { cluster.occupiedShardCount(it) }
        if (cluster.leader() !== partitioned) cluster.nodes.filter { it !== partitioned }.forEach { it.crash(8 * SECOND) }
        cluster.run(140 * SECOND)
        assertEquals(partitioned, cluster.leader())
        assertTrue(cluster.occupiedShardCount(partitioned) > 3, "the leader owns more than three shards with machines")
        partitioned.cutFromAgents = true
        cluster.run(210 * SECOND)
        val takenOver = cluster.state.keys().count { it.first.startsWith(Keys.borrow("")) } + 8 - cluster.claimedShardCount(partitioned)
        assertTrue(takenOver > 2, "shards and machines taken over by others: $takenOver")
        assertEquals(partitioned, cluster.leader())
        partitioned.cutFromAgents = false
        cluster.run(230 * SECOND)
        val gang = gang(20, 14)
        cluster.addUser(gang, null)
        cluster.assertRecovers(100 * SECOND)
        assertTrue(cluster.isRunning(gang))
    }

    /**
     * Jobs that are bound to the partitioned zone, to any single zone, or spread over zones. Half of the zone's machines
     * terminate during or after the network partition. All jobs must run again.
     */
    @TestFactory
    fun `zone-bound jobs run again after a long partition of their zone and the loss of machines`() =
        (211L..214L).map { seed ->
            DynamicTest.dynamicTest("seed $seed") {
                val cluster = cluster(seed, size = ClusterSize(machines = 24))
                (1..4).forEach { n -> cluster.addUser(service(n, tasks = 4, spread = true), null) }
                (5..8).forEach { n -> cluster.addUser(batch(n, 4, 300.0, cpus = 2.0, oneZone = true), null) }
                (9..10).forEach { n -> cluster.addUser(batch(n, 3, 300.0, cpus = 2.0, zone = "south"), null) }
                cluster.run(50 * SECOND)
                val south = cluster.agents.values.filter { it.zone == "south" }
                val lost = south.filterIndexed { i, _ -> i % 2 == 0 }.map { it.id }
                assertTrue(lost.sumOf { cluster.rules.tasksOn(it).size } > 2, "tasks ran on the lost machines")
                cluster.isolatedZone = "south"
                if (seed % 2 == 0L) cluster.after(10 * SECOND) { lost.forEach(cluster::remove) }
                if (seed > 212) cluster.after(12 * SECOND) { cluster.nodes[0].crash(SECOND / 2) }
                cluster.run(50 * SECOND + 25 * SECOND + (seed - 210) * 10 * SECOND)
                cluster.isolatedZone = null
                lost.forEach(cluster::remove)
                cluster.assertRecovers()
                (1..10).forEach { n -> assertTrue(cluster.isRunning(n), id(n)) }
            }
        }

    /**
     * Leaders crash or lose their leases repeatedly, also during an outage of the state store. No job may be lost and no task may
     * run twice.
     */
    @TestFactory
    fun `all rules hold over ten leader changes in two minutes with a state store outage`() =
        (221L..223L).map { seed ->
            DynamicTest.dynamicTest("seed $seed") {
                val cluster = cluster(seed)
                val leaders = LinkedHashSet<ClaimRecord>()
                cluster.repeatEvery(100 * MILLI) { cluster.leaderClaim()?.let(leaders::add) }
                (1..4).forEach { n -> cluster.addUser(service(n), null) }
                (5..40).forEach { n ->
                    val cancelAfter = if (n % 4 == 0) 6 * SECOND else null
                    cluster.after(n * 3 * SECOND) { cluster.addUser(batch(n, 2, 20.0, cpus = 2.0), cancelAfter) }
                }
                cluster.run(30 * SECOND)
                val changesBefore = leaders.size
                (0..11).forEach { n -> cluster.after(n * 10 * SECOND) { cluster.changeLeader(n) } }
                cluster.after(61 * SECOND) { cluster.state.unavailable = true }
                cluster.after(75 * SECOND) { cluster.state.unavailable = false }
                cluster.run(150 * SECOND)
                assertTrue(leaders.size - changesBefore >= 10, "leader changes: ${leaders.size - changesBefore}")
                cluster.assertRecovers()
            }
        }

    private fun SimulatedCluster.changeLeader(n: Int) {
        val leader = leaderClaim()?.let { leader() } ?: nodes[n % 3]
        if (n % 3 == 0) {
            leader.cutFromState = true
            after(8 * SECOND) { leader.cutFromState = false }
        } else {
            leader.crash(if (n % 3 == 1) SECOND / 3 else 6 * SECOND)
        }
    }

    /**
     * Calls to the state store and to agents are slow, and there is more work than capacity. Services take precedence over the
     * batch jobs that fill the cluster, and waiting jobs are placed as soon as capacity is free.
     */
    @Test
    fun `services run first and waiting jobs are placed when an overloaded cluster has slow links`() {
        val cluster = cluster(231, size = ClusterSize(machines = 14, spotMachines = 8))
        cluster.linkDelay = { _, call ->
            val isSlowTarget = call.target is Target.State || call.target is Target.Worker
            if (isSlowTarget && cluster.now in 20 * SECOND..140 * SECOND) 200 * MILLI + cluster.random.nextLong(600 * MILLI) else 0
        }
        (1..50).forEach { n -> cluster.after(n * SECOND) { cluster.addUser(batch(n, 8, 20.0, cpus = 2.0), null) } }
        (51..60).forEach { n -> cluster.after(n * SECOND) { cluster.addUser(service(n), null) } }
        cluster.run(75 * SECOND)
        val waiting = cluster.rules.runnableJobs().sumOf { it.tasks } - cluster.rules.running.size
        assertTrue(waiting > 100, "tasks not running: $waiting")
        cluster.run(120 * SECOND)
        val replicas = (51..60).flatMap { n -> (0 until service(n).tasks).map { "${id(n)}/$it" } }
        assertEquals(emptyList<String>(), replicas.filter { it !in cluster.rules.startsOf }, "replicas that have not started")
        // Replicas may be on their way to another machine for a moment.
        assertTrue(
            cluster.runUntil(8 * SECOND) {
                (51..60).all { cluster.isRunning(it) }
            },
            "services run: ${(51..60).filter { cluster.isRunning(it) }}",
        )
        cluster.run(140 * SECOND)
        cluster.assertRecovers(200 * SECOND)
    }

    /** Tasks that may still run on unresponsive machines count towards their team's limit, also for a new leader. */
    @TestFactory
    fun `team limits hold while jobs on unresponsive machines are cancelled and the leader changes`() =
        (241L..246L).map { seed ->
            DynamicTest.dynamicTest("seed $seed") {
                val cluster = cluster(seed, settingsOf = ::settingsWithLimits)
                val teams = listOf("red", "blue")
                (1..36).forEach { n ->
                    val cancelAfter = if (n % 3 == 0) 60 * SECOND else null
                    cluster.addUser(batch(n, 2, 200.0, cpus = 2.0, team = teams[n % 2]), cancelAfter)
                }
                cluster.run(59 * SECOND)
                assertEquals(listOf(24.0, BLUE_CPU_LIMIT), teams.map { cluster.cpusUsedBy(it) }, "both teams are at their limit")
                if (seed % 2 == 0L) cluster.cloud.unavailable = true
                if (seed % 3 == 0L) cluster.zonesPartitioned = true
                // At least one hanging machine must run a task that is about to be cancelled.
                val taskToCancel =
                    cluster.rules.running.keys
                        .first { it.substringBefore('/').takeLast(6).toInt() % 3 == 0 }
                cluster.agents.values.forEach {
                    if (cluster.random.nextInt(3) > 0 || taskToCancel in cluster.rules.tasksOn(it.id)) {
                        it.hangingUntilUs = 105 * SECOND
                    }
                }
                val oldLeadership = cluster.leaderClaim()
                val downtime = SECOND * (seed % 4) + SECOND / 4
                cluster.after(500 * MILLI + cluster.random.nextLong(3 * SECOND)) { cluster.leader().crash(downtime) }
                cluster.run(63 * SECOND)
                val runningAfterCancel = cluster.rules.running.filterKeys { cluster.rules.isFinal(it.substringBefore('/')) }
                assertTrue(runningAfterCancel.isNotEmpty(), "cancelled tasks still run on unresponsive machines")
                cluster.run(105 * SECOND)
                cluster.zonesPartitioned = false
                cluster.cloud.unavailable = false
                assertNotEquals(oldLeadership, cluster.leaderClaim())
                cluster.assertRecovers()
                assertEquals(listOf(24.0, BLUE_CPU_LIMIT), teams.map { cluster.cpusUsedBy(it) }, "both teams are at their limit again")
            }
        }

    private fun SimulatedCluster.cpusUsedBy(team: String): Double =
        rules.running.keys
            .mapNotNull { rules.spec(it.substringBefore('/')) }
            .filter { it.team == team }
            .sumOf { it.cpus }

    /** All leases expire, so the agents kill all tasks. Afterwards all jobs run again, except those that were cancelled. */
    @Test
    fun `open jobs run again and cancelled ones do not after all controllers were down for longer than a lease`() {
        val cluster = cluster(251)
        (1..6).forEach { n -> cluster.addUser(service(n), null) }
        (7..16).forEach { n -> cluster.addUser(batch(n, 3, 300.0), if (n % 3 == 0) 49 * SECOND else null) }
        cluster.run(50 * SECOND)
        val running = cluster.rules.running.size
        assertTrue(running > 20, "running tasks: $running")
        cluster.nodes.forEach { it.crash(26 * SECOND + cluster.random.nextLong(4 * SECOND)) }
        cluster.run(75 * SECOND)
        assertEquals(emptySet<String>(), cluster.rules.running.keys)
        cluster.run(81 * SECOND)
        cluster.assertRecovers()
        (1..16).forEach { n -> assertEquals(n < 7 || n % 3 != 0, cluster.isRunning(n), id(n)) }
    }

    /**
     * The completion of a task is written seconds later. If all controllers crash in between, their successors learn of it from
     * the agent and must count it once. If the machine is lost too, the task runs once more.
     */
    @TestFactory
    fun `a completion that is not yet stored when the leader changes is counted once`() =
        listOf(false, true).map { machineGone ->
            DynamicTest.dynamicTest("machine gone: $machineGone") {
                val cluster = cluster(261)
                val jobs = (1..6).map { batch(it, 3, 90.0) }
                jobs.forEach { job ->
                    cluster.runTimes["${job.id}/0"] = 40 * SECOND
                    cluster.runTimes["${job.id}/1"] = 65 * SECOND
                    cluster.addUser(job, null)
                }
                val doneByJob = HashMap<String, Int>()
                cluster.repeatEvery(100 * MILLI) { jobs.forEach { cluster.checkDoneCount(it, doneByJob) } }
                while (cluster.unrecordedCompletions(jobs, doneByJob).isEmpty() &&
                    cluster.now < 99 * SECOND
                ) {
                    cluster.run(cluster.now + STEP)
                }
                cluster.run(cluster.now + 500 * MILLI)
                val unrecordedCompletions = cluster.unrecordedCompletions(jobs, doneByJob)
                assertTrue(unrecordedCompletions.isNotEmpty(), "a completion is not written yet")
                val reportingMachines = cluster.agents.values.filter { w -> w.heartbeat(0).tasks.any { it.task in unrecordedCompletions } }
                cluster.nodes.forEach { it.crash(3 * SECOND) }
                if (machineGone) reportingMachines.forEach { cluster.remove(it.id) }
                cluster.run(cluster.now + 4 * SECOND)
                cluster.assertRecovers(160 * SECOND)
                val starts = unrecordedCompletions.map { cluster.rules.startsOf[it] }.toSet()
                assertEquals(setOf(if (machineGone) 2 else 1), starts)
                assertTrue(jobs.all { cluster.rules.isFinal(it.id) }, "all jobs are done")
            }
        }

    /**
     * A process that restarts at once finds claims and delayed requests of its predecessor, and possibly an election that is in
     * progress.
     */
    @TestFactory
    fun `all rules hold when all controllers crash and one restarts at once while old requests still arrive`() =
        (271L..276L).map { seed ->
            DynamicTest.dynamicTest("seed $seed") {
                val cluster = cluster(seed)
                var lateArrivals = 0
                cluster.linkDelay = { from, call ->
                    val delayedPeriod = 56 * SECOND..60_500 * MILLI
                    val isDelayed = call.path == "/multi" && cluster.now in delayedPeriod && cluster.random.nextInt(2) == 0
                    val sender = from.name
                    val delay = if (isDelayed) 2 * SECOND + cluster.random.nextLong(8 * SECOND) else 0
                    if (isDelayed) cluster.after(delay) { if (from.name != sender) lateArrivals++ }
                    delay
                }
                (1..5).forEach { n -> cluster.addUser(service(n), null) }
                (6..60).forEach { n ->
                    val at = 50 * SECOND + (n - 6) * SECOND / 4
                    val team = if (n % 2 == 0) "red" else "blue"
                    val cancelAfter = if (n % 4 == 0) 3 * SECOND else null
                    cluster.after(at) { cluster.addUser(batch(n, 2, 15.0, team = team), cancelAfter) }
                }
                cluster.run(57 * SECOND)
                cluster.leader().crash(SECOND / 4)
                cluster.run(60_500 * MILLI)
                val firstRestarted = (seed % 3).toInt()
                val downtime = cluster.random.nextLong(SECOND / 2)
                cluster.nodes.forEachIndexed { i, node -> node.crash(if (i == firstRestarted) downtime else 12 * SECOND) }
                // The previous leader's lease is about to expire or has just expired.
                val secondCrashAfter = 4 * SECOND + cluster.random.nextLong(2 * SECOND)
                cluster.after(secondCrashAfter) { cluster.nodes[firstRestarted].crash(cluster.random.nextLong(SECOND / 3)) }
                cluster.after(13 * SECOND) { cluster.leader().crash(SECOND / 5) }
                cluster.run(76 * SECOND)
                assertTrue(lateArrivals > 0, "delayed requests of a crashed process arrived")
                cluster.assertRecovers()
                assertTrue((6..60).all { cluster.rules.isFinal(id(it)) })
            }
        }

    private companion object {
        const val BLUE_CPU_LIMIT = 16.0
        const val STEP: Micros = 100 * MILLI
    }
}
