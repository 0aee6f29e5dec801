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

/** What users ask, in the moments in which something else happens to their jobs, and what they are told. */
class UserRequestFaultCombinationsTest {
    private fun cluster(
        seed: Long,
        size: ClusterSize = ClusterSize(),
    ) = SimulatedCluster(seed, FaultRates(), size) { SampleJobs.settings(it) }

    private fun id(n: Int) = "req-%06d".format(n)

    private fun SimulatedCluster.clean() = assertEquals(emptyList<String>(), rules.breaches.distinct().take(5))

    private fun batch(
        n: Int,
        tasks: Int = 1,
        estimateS: Double = 4.0,
    ): JobSpec = SampleJobs.spec(id(n), team = "blue", tasks = tasks, cpus = 1.0, estimateS = estimateS)

    /** Scenario 5: each write's guard, and room for submissions, when a quarter of a stream of jobs is cancelled. */
    @Test
    fun `one-task jobs come four a second and a quarter is cancelled`() {
        val cluster = cluster(105, ClusterSize(machines = 30))
        val users = UserFaults(cluster)
        (1..480).forEach { n ->
            val cancelUs = if (n % 4 == 0) cluster.random.nextLong(6 * SECOND) else null
            cluster.after(n * SECOND / 4) { cluster.user(batch(n), cancelUs) }
        }
        cluster.after(100 * SECOND) { cluster.rules.faultsOverSinceUs = cluster.now }
        cluster.after(SECOND) { users.watchWaiting() }
        cluster.run(220 * SECOND)
        cluster.clean()
        assertEquals(480, (1..480).count { cluster.rules.isFinal(id(it)) })
    }

    /** Scenario 8: an answer from a copy of the records that another node's answer has overtaken. */
    @Test
    fun `close looks at all nodes never see an older answer`() {
        val cluster = cluster(108, ClusterSize(machines = 20))
        val users = UserFaults(cluster)
        (1..60).forEach { n ->
            val cancelUs = listOf(null, 0L, 3 * MILLI, 2 * SECOND)[n % 4]
            cluster.after(10 * SECOND + n * SECOND / 2) { users.begin(batch(n, tasks = 1 + n % 3, estimateS = 2.0), cancelUs) }
        }
        cluster.run(100 * SECOND)
        cluster.clean()
        assertEquals(60, (1..60).count { cluster.rules.isFinal(id(it)) })
        assertTrue(users.answers.getValue("look 200") > 2000 && users.answers.getValue("repeat 200") > 1000, "${users.answers}")
    }

    /** Scenario 14: a cancellation that is written beside the record of the job's end. */
    @Test
    fun `cancellations, questions and repeated submissions meet the end of a job's last task`() {
        val cluster = cluster(114, ClusterSize(machines = 20))
        val users = UserFaults(cluster)
        users.cancelAtEnd(50)
        (1..80).forEach { n -> cluster.after(10 * SECOND + n * SECOND / 3) { cluster.user(batch(n, 1 + n % 4, 2.0), null) } }
        cluster.run(100 * SECOND)
        cluster.clean()
        assertTrue(users.cancelledAtEnd.size > 20, "${users.cancelledAtEnd.size} cancelled at their end")
        assertEquals(80, (1..80).count { cluster.rules.isFinal(id(it)) })
    }

    /** Many running jobs cancelled at once while their machines hang: what goes on there must be stopped in time. */
    @TestFactory
    fun `running jobs are cancelled at once while their machines hang`() =
        listOf(3L, 12L, 17L, 30L).map { hangS ->
            DynamicTest.dynamicTest("for $hangS s") {
                val cluster = cluster(120 + hangS)
                val users = UserFaults(cluster)
                (1..40).forEach { n -> cluster.user(batch(n, tasks = 2, estimateS = 500.0), null) }
                cluster.run(60 * SECOND)
                users.cancelNow(25, hangS * SECOND)
                cluster.run(120 * SECOND)
                cluster.clean()
                assertTrue(users.cancelledRunning.size > 15 && users.hung.size > 3, "${users.cancelledRunning.size} on ${users.hung.size}")
                assertTrue(users.cancelledRunning.all { job -> cluster.rules.isFinal(job) })
                assertEquals(emptyList<Long>(), cluster.rules.startsAfterCancel.filter { it > 2 * SECOND })
            }
        }

    /** Scenario 24: a cancellation that one controller has taken while the machines or the work pass to another. */
    @TestFactory
    fun `jobs are cancelled while work changes hands`() =
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
                (1..60).forEach { n -> cluster.user(batch(n, tasks = 2, estimateS = 500.0), null) }
                cluster.run(50 * SECOND)
                val before = cluster.claims()
                fault(cluster)
                (1..48).forEach { n -> cluster.after(n * SECOND / 4) { users.cancel(id(n), n % SimulatedCluster.NODES) } }
                cluster.run(140 * SECOND)
                cluster.clean()
                assertTrue(cluster.claims() > before, "nothing changed hands")
                assertTrue((1..48).all { cluster.rules.isFinal(id(it)) })
                assertEquals(emptyList<Long>(), cluster.rules.startsAfterCancel.filter { it > 2 * SECOND })
            }
        }

    /** How often parts or machines have been claimed or borrowed. */
    private fun SimulatedCluster.claims(): Int = listOf("s", "b").sumOf { state.writesByKind[it] ?: 0 }

    /** An accepted job's repeated submission got 400 for its missing field, and lost the job for its user. */
    @Test
    fun `odd requests get the protocol's answer in each phase of a controller`() {
        val cluster = cluster(125)
        val users = UserFaults(cluster)
        val job = batch(1, estimateS = 500.0)
        val over = batch(2, estimateS = 1.0)
        // Nothing is known yet: nobody may be told anything final.
        var next = users.oddRequests(batch(0), 1000)
        cluster.run(SECOND / 2)
        listOf(job, over).forEach { cluster.user(it, null) }
        cluster.run(30 * SECOND)
        assertTrue(cluster.rules.isFinal(over.id))
        val phases =
            listOf<(Boolean) -> Unit>(
                { },
                { on -> cluster.nodes[0].cutFromState = on },
                { on -> cluster.state.out = on },
                { on -> if (on) cluster.nodes.forEach { it.crash(SECOND / 2) } },
                { on -> if (on) cluster.nodes[1].crash(8 * SECOND) },
            )
        for (phase in phases) {
            phase(true)
            for (n in 1..8) {
                next = users.oddRequests(batch(0), next)
                listOf(job, over).forEach { users.repeatOddly(it) }
                repeat(SimulatedCluster.NODES) { users.cancel(over.id, it) }
                users.poll(id(999), n % SimulatedCluster.NODES, "unknown")
                cluster.run(cluster.now + SECOND / 2)
            }
            phase(false)
            cluster.run(cluster.now + 15 * SECOND)
        }
        cluster.clean()
        assertEquals(setOf("400", "503"), users.statuses("malformed"))
        assertEquals(setOf("422", "503"), users.statuses("impossible"))
        assertEquals(setOf("200", "503"), users.statuses("odd repeat"))
        assertEquals(setOf("404", "503"), users.statuses("unknown"))
        assertEquals(JobStage.DONE, cluster.rules.stageOf(over.id))
    }

    private fun UserFaults.statuses(kind: String): Set<String> =
        answers.keys.filter { it.startsWith("$kind ") }.mapTo(HashSet()) { it.substringAfterLast(' ') }

    private val finished = (1..1200).map { id(it) }

    private fun SimulatedCluster.store(
        keys: List<String>,
        value: JsonElement,
    ) = keys.chunked(100).forEach { part -> state.transact(Transaction(emptyList(), part.map { Change(put = it, value = value) })) }

    /**
     * Cuts a controller from the state service until its watch is too old, and asks it afterwards about three pages of
     * jobs that were done before; [slowMs] says how slow the state service answers its calls then.
     */
    private fun readAnew(
        cutMs: Long,
        slowMs: (Call) -> Long,
    ) {
        val cluster = cluster(101)
        val over = RecordCodec.finalJson(StoredStage.DONE, 1)
        cluster.store(finished.map(Keys::job), over)
        cluster.state.keptChanges = 100
        cluster.run(10 * SECOND)
        val node = cluster.nodes[0]
        node.cutFromState = true
        cluster.run(10 * SECOND + cutMs * MILLI)
        cluster.store((2000..2200).map { Keys.job(id(it)) }, over)
        cluster.slowAnswer = { from, call -> if (from === node) slowMs(call) * MILLI else 0 }
        node.cutFromState = false
        val answers = ArrayList<Answer>()
        val ask: (String) -> Unit = { job -> node.deliver(Event.Poll(JobId(job), ReplyTo { answers += it })) }
        cluster.run(cluster.now + 8 * SECOND)
        assertTrue(cluster.state.tooOld > 0, "no watch was too old")
        finished.forEach(ask)
        cluster.run(cluster.now + 2 * SECOND)
        assertEquals(0, answers.count { it.status == 404 }, "cut for $cutMs ms")
        assertTrue(answers.count { it.status == 200 } >= finished.size, "${answers.size} answers")
    }

    /**
     * A controller whose watch is too old reads all records anew. Its lost lease once made it follow from nothing in the
     * midst of that: the records were emptied once more, and jobs of the pages read before were answered with 404.
     */
    @Test
    fun `a controller that loses its lease while it reads all records anew forgets no job`() =
        (12_000L..12_750L step 250).forEach { cut ->
            readAnew(cut) { call ->
                when {
                    call.path.endsWith("/touch") -> 900
                    call.path.startsWith("/keys") -> 300
                    else -> 0
                }
            }
        }

    /** A controller's link to the state service, whose calls the test answers in the order it likes. */
    private class ScriptedLink {
        val context = EngineContext(SampleJobs.settings(0), SplittableRandom(1))
        val stateStore = StateStoreClient(context, RecordFormatNegotiator(context))
        private val open = LinkedHashMap<Long, Call>()
        private var now = 0L

        private fun step() {
            now += 200 * MILLI
            context.startStep(now, now)
            stateStore.tick()
            context.takeEffects().filterIsInstance<Effect.Start>().forEach { open[it.id] = it.call }
        }

        fun isOpen(path: String): Boolean = open.values.any { path in it.path }

        /** Answers the one open call to [path], for which the link may pause up to two seconds. */
        fun answer(
            path: String,
            status: Int,
            body: String,
        ) {
            step()
            repeat(10) { if (!isOpen(path)) step() }
            val id = open.entries.single { path in it.value.path }.key
            open -= id
            context.callDone(id, Outcome.Answered(status, body.encodeToByteArray()))
        }

        fun page(
            job: Int,
            more: Boolean,
        ) = answer(
            "/keys?",
            200,
            """{"pairs":[{"key":"${Keys.job("req-$job")}","v":${RecordCodec.finalJson(StoredStage.DONE, 1)},"stamp":$job}],
               "has_next":$more,"ledger_rev":9}""",
        )

        /** Loads job 1, joins, and catches up once by itself. */
        fun serve() {
            page(1, more = false)
            answer("/leases", 200, """{"tenure":7}""")
            answer("/multi", 200, """{"ledger_rev":10}""")
            answer("wait_ms=0", 200, NOTHING_NEW)
            assertTrue(stateStore.isServing)
        }
    }

    /**
     * A catch-up whose answer came while all records were read anew once emptied them in the midst of that, or let
     * questions be answered from them: either way jobs that were accepted got 404.
     */
    @Test
    fun `a catch-up that is answered while all records are read anew proves nothing and empties nothing`() {
        for ((status, body) in listOf(410 to "{}", 200 to NOTHING_NEW)) {
            val script = ScriptedLink().apply { serve() }
            val caughtUp = ArrayList<Boolean>()
            script.stateStore.afterCatchUp { caughtUp += it }
            script.answer("wait_ms=10000", 410, "{}")
            script.page(1, more = true)
            assertTrue(script.isOpen("wait_ms=0") && caughtUp.isEmpty(), "the catch-up is under way")
            script.answer("wait_ms=0", status, body)
            assertEquals(listOf(false), caughtUp, "answered with $status")
            script.page(2, more = false)
            assertTrue((1..2).all { script.context.cache.isKnown(JobId("req-$it")) }, "answered with $status")
            script.answer("wait_ms=0", 200, NOTHING_NEW)
            assertTrue(script.stateStore.isServing, "answered with $status")
            assertEquals(listOf(false), caughtUp, "answered with $status")
        }
    }

    /** Joining that ended while all records were read anew once made a controller serve from none. */
    @Test
    fun `a controller that joins while it must read all records anew does not serve before it has`() {
        val script = ScriptedLink()
        script.page(1, more = false)
        script.answer("/leases", 200, """{"tenure":7}""")
        script.answer("wait_ms=10000", 410, "{}")
        script.answer("/multi", 200, """{"ledger_rev":10}""")
        assertFalse(script.stateStore.isServing)
        script.page(1, more = false)
        assertTrue(script.stateStore.isServing)
    }

    /** The late answer to the write of a submission once made its user hear `queued` of a job known here as cancelled. */
    @Test
    fun `a submission whose write is answered late is told what has become of the job`() {
        val script = ScriptedLink().apply { serve() }
        val pendingRequests = PendingRequests(script.context, script.stateStore, JobAnswers(script.context, script.stateStore))
        val answers = ArrayList<Answer>()
        pendingRequests.addSubmission(batch(5)) { answers += it }
        script.context.cache.apply(Keys.job(id(5)), RecordCodec.finalJson(StoredStage.CANCELLED, 1), 20)
        pendingRequests.onSubmissionStored(JobId(id(5)))
        script.context
            .takeEffects()
            .filterIsInstance<Effect.Send>()
            .forEach { it.reply.answer(it.answer) }
        assertEquals(listOf(201 to true), answers.map { it.status to ("withdrawn" in it.body.decodeToString()) })
    }

    private companion object {
        const val NOTHING_NEW = """{"ledger_rev":12,"log":[]}"""
    }
}
