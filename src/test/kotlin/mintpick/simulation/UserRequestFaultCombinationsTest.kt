package mintpick.simulation

import kotlinx.serialization.json.JsonElement
import mintpick.core.JobId
import mintpick.core.MILLI
import mintpick.core.SECOND
import mintpick.engine.jobs.JobAnswers
import mintpick.engine.jobs.PendingRequests
import mintpick.engine.runtime.Effect
import mintpick.engine.runtime.EngineContext
import mintpick.engine.runtime.Event
import mintpick.engine.runtime.ReplyTo
import mintpick.engine.state.RecordFormatNegotiator
import mintpick.engine.state.StateStoreClient
import mintpick.net.Answer
import mintpick.net.Call
import mintpick.net.Outcome
import mintpick.store.Keys
import mintpick.store.RecordCodec
import mintpick.testing.ClusterSize
import mintpick.testing.FaultRates
import mintpick.testing.SampleJobs
import mintpick.testing.SimulatedCluster
import mintpick.testing.UserFaults
import mintpick.wire.Change
import mintpick.wire.JobSpec
import mintpick.wire.JobStage
import mintpick.wire.StoredStage
import mintpick.wire.Transaction
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertFalse
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.TestFactory
import java.util.SplittableRandom

/** User requests that coincide with other changes or faults of the same jobs, and the answers that users receive. */
class UserRequestFaultCombinationsTest {
    private fun cluster(
        seed: Long,
        size: ClusterSize = ClusterSize(),
    ) = SimulatedCluster(seed, FaultRates(), size) { SampleJobs.settings(it) }

    private fun id(n: Int) = "req-%06d".format(n)

    private fun SimulatedCluster.assertNoBreach() = assertEquals(emptyList<String>(), rules.breaches.distinct().take(5))

    private fun batch(
        n: Int,
        tasks: Int = 1,
        estimateS: Double = 4.0,
    ): JobSpec = SampleJobs.spec(id(n), team = "blue", tasks = tasks, cpus = 1.0, estimateS = estimateS)

    /** Scenario 5: the guards of transactions, and write capacity for submissions, while a quarter of a stream of jobs is cancelled. */
    @Test
    fun `all jobs become final when four one-task jobs a second arrive and a quarter is cancelled`() {
        val cluster = cluster(105, ClusterSize(machines = 30))
        val users = UserFaults(cluster)
        (1..480).forEach { n ->
            val cancelUs = if (n % 4 == 0) cluster.random.nextLong(6 * SECOND) else null
            cluster.after(n * SECOND / 4) { cluster.addUser(batch(n), cancelUs) }
        }
        cluster.after(100 * SECOND) { cluster.rules.faultsOverAtUs = cluster.now }
        cluster.after(SECOND) { users.watchWaitingJobs() }
        cluster.run(220 * SECOND)
        cluster.assertNoBreach()
        assertEquals(480, (1..480).count { cluster.rules.isFinal(id(it)) })
    }

    /** Scenario 8: a controller answers from a cache that is older than the answer another controller has already given. */
    @Test
    fun `frequent polls of all controllers never receive an older stage after a newer one`() {
        val cluster = cluster(108, ClusterSize(machines = 20))
        val users = UserFaults(cluster)
        (1..60).forEach { n ->
            val cancelUs = listOf(null, 0L, 3 * MILLI, 2 * SECOND)[n % 4]
            cluster.after(10 * SECOND + n * SECOND / 2) { users.submitAndPoll(batch(n, tasks = 1 + n % 3, estimateS = 2.0), cancelUs) }
        }
        cluster.run(100 * SECOND)
        cluster.assertNoBreach()
        assertEquals(60, (1..60).count { cluster.rules.isFinal(id(it)) })
        assertTrue(
            users.answerCounts.getValue("look 200") > 2000 && users.answerCounts.getValue("repeat 200") > 1000,
            "${users.answerCounts}",
        )
    }

    /** Scenario 14: a cancellation is written at the same time as the completion of the job. */
    @Test
    fun `all jobs become final when cancellations, polls and repeated submissions coincide with completion of the last task`() {
        val cluster = cluster(114, ClusterSize(machines = 20))
        val users = UserFaults(cluster)
        users.cancelAtEnd(50)
        (1..80).forEach { n -> cluster.after(10 * SECOND + n * SECOND / 3) { cluster.addUser(batch(n, 1 + n % 4, 2.0), null) } }
        cluster.run(100 * SECOND)
        cluster.assertNoBreach()
        assertTrue(users.cancelledAtEnd.size > 20, "cancelled at completion: ${users.cancelledAtEnd.size}")
        assertEquals(80, (1..80).count { cluster.rules.isFinal(id(it)) })
    }

    /** Many running jobs are cancelled at once while their machines hang. Their tasks must be stopped within the cancellation bound. */
    @TestFactory
    fun `tasks stop in time when many running jobs are cancelled while their machines hang`() =
        listOf(3L, 12L, 17L, 30L).map { hangS ->
            DynamicTest.dynamicTest("for $hangS s") {
                val cluster = cluster(120 + hangS)
                val users = UserFaults(cluster)
                (1..40).forEach { n -> cluster.addUser(batch(n, tasks = 2, estimateS = 500.0), null) }
                cluster.run(60 * SECOND)
                users.cancelNow(25, hangS * SECOND)
                cluster.run(120 * SECOND)
                cluster.assertNoBreach()
                assertTrue(
                    users.cancelledRunning.size > 15,
                    "running jobs cancelled: ${users.cancelledRunning.size}",
                )
                assertTrue(
                    users.hungMachines.size > 3,
                    "hanging machines: ${users.hungMachines.size}",
                )
                assertTrue(users.cancelledRunning.all { job -> cluster.rules.isFinal(job) })
                assertEquals(emptyList<Long>(), cluster.rules.startsAfterCancel.filter { it > 2 * SECOND })
            }
        }

    /** Scenario 24: one controller has received a cancellation while control of the machines or jobs passes to another. */
    @TestFactory
    fun `cancelled jobs become final and start no task later while shards change owners`() =
        mapOf<String, (SimulatedCluster) -> Unit>(
            "restart" to { it.nodes[0].crash(SECOND / 5) },
            "long absence" to { it.nodes[0].crash(12 * SECOND) },
            "no state service" to { cluster ->
                cluster.nodes[0].cutFromState = true
                cluster.after(9 * SECOND) { cluster.nodes[0].cutFromState = false }
            },
            "deposed" to { cluster ->
                cluster.nodes[0].cutFromState = true
                cluster.nodes[0].cutFromPeers = true
                cluster.after(15 * SECOND) {
                    cluster.nodes[0].cutFromState = false
                    cluster.nodes[0].cutFromPeers = false
                }
            },
        ).map { (name, fault) ->
            DynamicTest.dynamicTest(name) {
                val cluster = cluster(124, ClusterSize(machines = 20))
                val users = UserFaults(cluster)
                (1..60).forEach { n -> cluster.addUser(batch(n, tasks = 2, estimateS = 500.0), null) }
                cluster.run(50 * SECOND)
                val claimWritesBefore = cluster.claimWrites()
                fault(cluster)
                (1..48).forEach { n -> cluster.after(n * SECOND / 4) { users.cancel(id(n), n % cluster.nodes.size) } }
                cluster.run(140 * SECOND)
                cluster.assertNoBreach()
                assertTrue(cluster.claimWrites() > claimWritesBefore, "no shard or machine changed controllers")
                assertTrue((1..48).all { cluster.rules.isFinal(id(it)) })
                assertEquals(emptyList<Long>(), cluster.rules.startsAfterCancel.filter { it > 2 * SECOND })
            }
        }

    /** Number of writes of shard claims and borrow claims. */
    private fun SimulatedCluster.claimWrites(): Int = listOf("s", "b").sumOf { state.writesByKind[it] ?: 0 }

    /** A repeated submission of an accepted job with a missing field got 400, so the user took the job for rejected. */
    @Test
    fun `malformed, impossible and repeated requests get the specified answers in each phase of a controller`() {
        val cluster = cluster(125)
        val users = UserFaults(cluster)
        val openJob = batch(1, estimateS = 500.0)
        val finishedJob = batch(2, estimateS = 1.0)
        // No records are loaded yet, so no final answer may be given.
        var nextId = users.submitInvalid(batch(0), 1000)
        cluster.run(SECOND / 2)
        listOf(openJob, finishedJob).forEach { cluster.addUser(it, null) }
        cluster.run(30 * SECOND)
        assertTrue(cluster.rules.isFinal(finishedJob.id))
        val phases =
            listOf<(Boolean) -> Unit>(
                { },
                { on -> cluster.nodes[0].cutFromState = on },
                { on -> cluster.state.unavailable = on },
                { on -> if (on) cluster.nodes.forEach { it.crash(SECOND / 2) } },
                { on -> if (on) cluster.nodes[1].crash(8 * SECOND) },
            )
        for (phase in phases) {
            phase(true)
            for (n in 1..8) {
                nextId = users.submitInvalid(batch(0), nextId)
                listOf(openJob, finishedJob).forEach { users.resubmitInvalid(it) }
                repeat(cluster.nodes.size) { users.cancel(finishedJob.id, it) }
                users.poll(id(999), n % cluster.nodes.size, "unknown")
                cluster.run(cluster.now + SECOND / 2)
            }
            phase(false)
            cluster.run(cluster.now + 15 * SECOND)
        }
        cluster.assertNoBreach()
        assertEquals(setOf("400", "503"), users.statuses("malformed"))
        assertEquals(setOf("422", "503"), users.statuses("impossible"))
        assertEquals(setOf("200", "503"), users.statuses("odd repeat"))
        assertEquals(setOf("404", "503"), users.statuses("unknown"))
        assertEquals(JobStage.DONE, cluster.rules.stageOf(finishedJob.id))
    }

    private fun UserFaults.statuses(kind: String): Set<String> =
        answerCounts.keys.filter { it.startsWith("$kind ") }.mapTo(HashSet()) { it.substringAfterLast(' ') }

    private val finishedJobIds = (1..1200).map { id(it) }

    private fun SimulatedCluster.store(
        keys: List<String>,
        value: JsonElement,
    ) = keys.chunked(100).forEach { part -> state.transact(Transaction(emptyList(), part.map { Change(put = it, value = value) })) }

    /**
     * Disconnects a controller from the state store for [cutMs] ms until its watch is too old. Afterwards polls it for three pages
     * of jobs that were done before: none may get 404. [slowMs] is the delay in ms of each answer from the state store after the
     * reconnection.
     */
    private fun assertReloadForgetsNoJob(
        cutMs: Long,
        slowMs: (Call) -> Long,
    ) {
        val cluster = cluster(101)
        val finalRecord = RecordCodec.finalJson(StoredStage.DONE, 1)
        cluster.store(finishedJobIds.map(Keys::job), finalRecord)
        cluster.state.retainedChanges = 100
        cluster.run(10 * SECOND)
        val node = cluster.nodes[0]
        node.cutFromState = true
        cluster.run(10 * SECOND + cutMs * MILLI)
        cluster.store((2000..2200).map { Keys.job(id(it)) }, finalRecord)
        cluster.answerDelay = { from, call -> if (from === node) slowMs(call) * MILLI else 0 }
        node.cutFromState = false
        val answers = ArrayList<Answer>()
        val poll: (String) -> Unit = { job -> node.deliver(Event.Poll(JobId(job), ReplyTo { answers += it })) }
        cluster.run(cluster.now + 8 * SECOND)
        assertTrue(cluster.state.compactedWatches > 0, "no watch was refused as too old")
        finishedJobIds.forEach(poll)
        cluster.run(cluster.now + 2 * SECOND)
        assertEquals(0, answers.count { it.status == 404 }, "404 answers after a disconnection of $cutMs ms")
        val okAnswers = answers.count { it.status == 200 }
        assertTrue(okAnswers >= finishedJobIds.size, "answers: ${answers.size}, with status 200: $okAnswers")
    }

    /**
     * A controller whose watch is too old loads all records again. When it lost its lease during this load, it opened a watch on
     * the incomplete cache. The cache was reset once more, and polls for jobs of the pages already loaded got 404.
     */
    @Test
    fun `a controller that loses its lease while it loads all records again forgets no job`() =
        (12_000L..12_750L step 250).forEach { cut ->
            assertReloadForgetsNoJob(cut) { call ->
                when {
                    call.path.endsWith("/touch") -> 900
                    call.path.startsWith("/keys") -> 300
                    else -> 0
                }
            }
        }

    /** A controller's state store client whose calls the test answers in any order. */
    private class ScriptedStateStore {
        val context = EngineContext(SampleJobs.settings(0), SplittableRandom(1))
        val stateStore = StateStoreClient(context, RecordFormatNegotiator(context))
        private val openCalls = LinkedHashMap<Long, Call>()
        private var now = 0L

        private fun step() {
            now += 200 * MILLI
            context.startStep(now, now)
            stateStore.tick()
            context.takeEffects().filterIsInstance<Effect.Start>().forEach { openCalls[it.id] = it.call }
        }

        fun isOpen(path: String): Boolean = openCalls.values.any { path in it.path }

        /** Answers the only open call whose path contains [path]; waits up to two seconds for that call. */
        fun answer(
            path: String,
            status: Int,
            body: String,
        ) {
            step()
            repeat(10) { if (!isOpen(path)) step() }
            val id = openCalls.entries.single { path in it.value.path }.key
            openCalls -= id
            context.callDone(id, Outcome.Answered(status, body.encodeToByteArray()))
        }

        fun answerPage(
            job: Int,
            more: Boolean,
        ) = answer(
            "/keys?",
            200,
            """{"pairs":[{"key":"${Keys.job("req-$job")}","v":${RecordCodec.finalJson(StoredStage.DONE, 1)},"stamp":$job}],
               "has_next":$more,"ledger_rev":9}""",
        )

        /** Answers the calls with which the client loads job 1, registers and catches up for the first time. */
        fun startServing() {
            answerPage(1, more = false)
            answer("/leases", 200, """{"tenure":7}""")
            answer("/multi", 200, """{"ledger_rev":10}""")
            answer("wait_ms=0", 200, NOTHING_NEW)
            assertTrue(stateStore.isServing)
        }
    }

    /**
     * A catch-up that was answered while all records were loaded again either reset the incomplete cache once more, or let polls
     * be answered from it. In both cases polls for accepted jobs got 404.
     */
    @Test
    fun `a catch-up that is answered while all records are loaded again fails and does not reset the cache`() {
        for ((status, body) in listOf(410 to "{}", 200 to NOTHING_NEW)) {
            val scripted = ScriptedStateStore().apply { startServing() }
            val catchUpResults = ArrayList<Boolean>()
            scripted.stateStore.afterCatchUp { catchUpResults += it }
            scripted.answer("wait_ms=10000", 410, "{}")
            scripted.answerPage(1, more = true)
            assertTrue(scripted.isOpen("wait_ms=0") && catchUpResults.isEmpty(), "the catch-up is in flight")
            scripted.answer("wait_ms=0", status, body)
            assertEquals(listOf(false), catchUpResults, "answered with $status")
            scripted.answerPage(2, more = false)
            assertTrue((1..2).all { scripted.context.cache.isKnown(JobId("req-$it")) }, "answered with $status")
            scripted.answer("wait_ms=0", 200, NOTHING_NEW)
            assertTrue(scripted.stateStore.isServing, "answered with $status")
            assertEquals(listOf(false), catchUpResults, "answered with $status")
        }
    }

    /** A registration that completed while all records were loaded again made a controller serve from an empty cache. */
    @Test
    fun `a controller that registers while it loads all records again does not serve before the load ends`() {
        val scripted = ScriptedStateStore()
        scripted.answerPage(1, more = false)
        scripted.answer("/leases", 200, """{"tenure":7}""")
        scripted.answer("wait_ms=10000", 410, "{}")
        scripted.answer("/multi", 200, """{"ledger_rev":10}""")
        assertFalse(scripted.stateStore.isServing)
        scripted.answerPage(1, more = false)
        assertTrue(scripted.stateStore.isServing)
    }

    /** A submission whose write was answered late got the stage `queued` although this controller knew the job as cancelled. */
    @Test
    fun `a submission whose write is answered late gets the current stage of the job`() {
        val scripted = ScriptedStateStore().apply { startServing() }
        val pendingRequests = PendingRequests(scripted.context, scripted.stateStore, JobAnswers(scripted.context, scripted.stateStore))
        val answers = ArrayList<Answer>()
        pendingRequests.addSubmission(batch(5), 1_000) { answers += it }
        scripted.context.cache.apply(Keys.job(id(5)), RecordCodec.finalJson(StoredStage.CANCELLED, 1), 20)
        pendingRequests.onSubmissionStored(JobId(id(5)))
        scripted.context
            .takeEffects()
            .filterIsInstance<Effect.Send>()
            .forEach { it.reply.answer(it.answer) }
        assertEquals(listOf(201 to true), answers.map { it.status to ("withdrawn" in it.body.decodeToString()) })
    }

    private companion object {
        const val NOTHING_NEW = """{"ledger_rev":12,"log":[]}"""
    }
}
