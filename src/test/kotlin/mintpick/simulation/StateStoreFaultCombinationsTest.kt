package mintpick.simulation

import mintpick.core.Chunk
import mintpick.core.Job
import mintpick.core.JobId
import mintpick.core.JobRecordInfo
import mintpick.core.MILLI
import mintpick.core.MachineId
import mintpick.core.Micros
import mintpick.core.SECOND
import mintpick.engine.runtime.Effect
import mintpick.engine.runtime.EngineContext
import mintpick.engine.state.RecordFormatNegotiator
import mintpick.engine.state.StateStoreClient
import mintpick.engine.state.Write
import mintpick.net.Call
import mintpick.net.Outcome
import mintpick.store.Keys
import mintpick.store.RecordCodec
import mintpick.store.RecordFormat
import mintpick.testing.ClusterSize
import mintpick.testing.FaultRates
import mintpick.testing.SampleJobs
import mintpick.testing.SimulatedCluster
import mintpick.testing.SimulatedStateStore
import mintpick.testing.UserFaults
import mintpick.testing.assertRulesHeld
import mintpick.testing.leaderClaim
import mintpick.wire.Change
import mintpick.wire.ClaimRecord
import mintpick.wire.StoredStage
import mintpick.wire.Transaction
import mintpick.wire.WireJson
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertFalse
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.TestFactory
import java.util.SplittableRandom

/**
 * Faults of the state store combined with others: answers that are late or lost while records are loaded, leases expire or
 * leaders crash.
 */
class StateStoreFaultCombinationsTest {
    /** One controller's client of the state store. Single answers can be held back or lost. */
    private class ControllerLink(
        val state: SimulatedStateStore = SimulatedStateStore(),
    ) {
        private val context = EngineContext(SampleJobs.settings(0), SplittableRandom(1))
        val client = StateStoreClient(context, RecordFormatNegotiator(context))
        private val arrivedOutcomes = ArrayList<Pair<Long, Outcome>>()
        val heldAnswers = ArrayList<Pair<Call, () -> Unit>>()

        /** Answers to these requests are held until [release]. */
        var holdsAnswer: (Call) -> Boolean = { false }

        /** Answers to these requests are lost. */
        var losesAnswer: (Call) -> Boolean = { false }
        var connected = true
        private var now: Micros = 0
        val cache get() = context.cache

        fun run(span: Micros) {
            val until = now + span
            while (now < until) step()
        }

        private fun step() {
            now += STEP
            context.startStep(now, now)
            state.tick(now)
            arrivedOutcomes.toList().also { arrivedOutcomes.clear() }.forEach { (id, outcome) -> context.callDone(id, outcome) }
            client.tick()
            for (effect in context.takeEffects()) {
                if (effect !is Effect.Start) continue
                if (connected) send(effect.id, effect.call) else arrivedOutcomes += effect.id to Outcome.Unanswered
            }
        }

        private fun send(
            id: Long,
            call: Call,
        ) = state.request(now, call.method, call.path, (call.body ?: ByteArray(0)).decodeToString()) { answer ->
            val outcome =
                if (losesAnswer(call)) Outcome.Unanswered else Outcome.Answered(answer.status, answer.body.encodeToByteArray())
            val deliver = { arrivedOutcomes += id to outcome }
            if (holdsAnswer(call)) heldAnswers += call to deliver else deliver()
        }

        /** Delivers the held answers to requests whose path starts with [path]. */
        fun release(path: String) {
            val due = heldAnswers.filter { it.first.path.startsWith(path) }
            heldAnswers -= due.toSet()
            due.forEach { it.second() }
        }

        /** Compacts the log, so that the revision of every watch is too old. */
        fun compactLog() {
            state.oldestWatchableRevision = state.revision + 2
        }

        private companion object {
            const val STEP: Micros = 20 * MILLI
        }
    }

    private fun SimulatedStateStore.write(vararg changes: Change) =
        assertEquals(200, transact(Transaction(emptyList(), changes.toList())).status)

    private fun job(
        n: Int,
        tasks: Int = 1,
    ): Change {
        val spec = SampleJobs.spec("req-%06d".format(n), tasks = tasks)
        val job = Job(JobId(spec.id), spec, StoredStage.OPEN, 0, JobRecordInfo(version = 0), emptyMap())
        return Change(put = Keys.job(spec.id), value = RecordCodec.jobJson(job, RecordFormat.VERBOSE))
    }

    private fun isFurtherPage(call: Call) = call.path.startsWith("/keys") && "&since=" in call.path

    private fun isCatchUp(call: Call) = call.path.startsWith("/follow") && call.path.endsWith("wait_ms=0")

    /** A controller that serves [jobs] jobs. More than 500 jobs take two pages to load. */
    private fun servingController(jobs: Int) =
        ControllerLink().apply {
            (1..jobs).forEach { state.write(job(it)) }
            run(2 * SECOND)
            assertTrue(client.isServing)
        }

    /** Makes the controller load all records again, because its watch is refused as too old. */
    private fun ControllerLink.forceReload() {
        compactLog()
        state.write(job(EXTRA_JOB))
        repeat(50) { if (client.hasLoaded) run(SECOND / 50) }
        assertFalse(client.hasLoaded, "the records are being loaded again")
        // The log reaches back to the revision that is being loaded.
        state.oldestWatchableRevision = state.revision
        run(SECOND / 2)
    }

    private fun ControllerLink.knowsAll(jobs: Int) = (1..jobs).all { cache.isKnown(JobId("req-%06d".format(it))) }

    /** A poll that waited for the catch-up was answered from the empty cache: 404 for an accepted job. */
    @Test
    fun `a catch-up that was sent before the records are loaded again does not count`() {
        val controller = servingController(5)
        controller.holdsAnswer = { isCatchUp(it) || it.path.startsWith("/keys") }
        var isAnswerCorrect: Boolean? = null
        controller.client.afterCatchUp { ok -> isAnswerCorrect = !ok || controller.knowsAll(5) }
        controller.run(SECOND / 2)
        assertEquals(1, controller.heldAnswers.size, "the answer to the catch-up is held")
        controller.forceReload()
        controller.release("/follow")
        controller.run(SECOND / 10)
        assertEquals(true, isAnswerCorrect)
    }

    /** A late refusal reset the cache while the second page was being loaded, and the records of the first page were lost permanently. */
    @Test
    fun `a late refusal of a catch-up does not discard records that are being loaded`() {
        val controller = servingController(600)
        controller.holdsAnswer = { isCatchUp(it) || isFurtherPage(it) }
        controller.compactLog()
        controller.client.afterCatchUp { }
        controller.run(SECOND / 2)
        controller.forceReload()
        assertEquals(2, controller.heldAnswers.size, "the refusal and the second page are held")
        controller.release("/follow")
        controller.run(SECOND / 10)
        controller.holdsAnswer = { false }
        controller.release("/keys")
        controller.run(2 * SECOND)
        assertTrue(controller.client.isServing && controller.knowsAll(600))
    }

    /**
     * When a controller learned during a load that its lease had expired, it opened a watch on the incomplete cache. The watch was
     * refused, and the records already loaded were discarded.
     */
    @Test
    fun `the loss of the lease does not interrupt loading the records`() {
        val controller = servingController(600)
        controller.connected = false
        controller.run(20 * SECOND)
        controller.holdsAnswer = { isFurtherPage(it) || "/touch" in it.path }
        repeat(2) { controller.state.write(job(EXTRA_JOB + it)) }
        controller.state.oldestWatchableRevision = controller.state.revision
        controller.losesAnswer = { it.path.startsWith("/follow") }
        controller.connected = true
        controller.run(2 * SECOND)
        controller.losesAnswer = { false }
        controller.run(2 * SECOND)
        assertEquals(2, controller.heldAnswers.size, "the refused renewal and the second page are held")
        controller.release("/leases")
        controller.run(SECOND)
        controller.holdsAnswer = { false }
        controller.release("/keys")
        controller.run(2 * SECOND)
        assertTrue(controller.client.isServing && controller.knowsAll(600))
    }

    /** A registration that was answered during a load made the controller serve from a cache that was still almost empty. */
    @Test
    fun `a registration that is answered late does not make a controller serve before the load ends`() {
        val controller = ControllerLink()
        (1..5).forEach { controller.state.write(job(it)) }
        controller.holdsAnswer = { it.path == "/multi" }
        controller.run(SECOND)
        controller.holdsAnswer = { it.path.startsWith("/keys") }
        controller.forceReload()
        controller.release("/multi")
        controller.run(SECOND / 10)
        assertFalse(controller.client.isServing && !controller.knowsAll(5))
        controller.holdsAnswer = { false }
        controller.release("/keys")
        controller.run(2 * SECOND)
        assertTrue(controller.client.isServing && controller.knowsAll(5))
    }

    /** A deleted claim appeared in the new cache again, because the commit that wrote it was answered after the load. */
    @Test
    fun `a commit that is answered after the records were loaded again restores no deleted claim`() {
        val controller = servingController(5)
        controller.holdsAnswer = { it.path == "/multi" }
        val claim = WireJson.encodeToJsonElement(ClaimRecord.serializer(), ClaimRecord("node-0", 1))
        controller.client.transact(emptyList(), listOf(Write(Keys.shard(3), claim))) { }
        controller.run(SECOND / 10)
        assertEquals(1, controller.heldAnswers.size, "the answer to the commit is held")
        controller.state.write(Change(delete = Keys.shard(3)))
        controller.forceReload()
        controller.run(SECOND)
        assertTrue(controller.client.isServing)
        controller.release("/multi")
        controller.run(SECOND)
        assertEquals(null, controller.cache.claims[3])
    }

    /**
     * A team's reservation was loaded with a later page and was newer than the team's placements in the cache, which the watch had
     * yet to update. The guard on the reservation therefore held although placements were missing.
     */
    @Test
    fun `a controller does not serve before it knows the changes made between two pages`() {
        val controller = ControllerLink()
        (1..600).forEach { controller.state.write(job(it)) }
        controller.holdsAnswer = { "&since=" !in it.path && it.path.startsWith("/keys") || it.path.startsWith("/follow") }
        controller.run(SECOND)
        controller.state.write(Change(put = Keys.job("req-000001"), value = RecordCodec.finalJson(StoredStage.DONE, 1)))
        controller.release("/keys")
        controller.run(2 * SECOND)
        val isCompletionKnown = { controller.cache.finalJob(JobId("req-000001")) != null }
        assertTrue(isCompletionKnown() || !controller.client.isServing)
        controller.holdsAnswer = { false }
        controller.release("/follow")
        controller.run(6 * SECOND)
        assertTrue(controller.client.isServing && isCompletionKnown())
    }

    /**
     * The state store's protocol promises no order of events. A chunk that arrived before its job was dropped, and the placement
     * of its tasks failed forever.
     */
    @Test
    fun `the events of a watch are applied correctly in any order`() {
        val controller = servingController(1)
        val chunk = Chunk.empty(Job.TASKS_PER_CHUNK).place(0, MachineId("host-000001"))
        controller.connected = false
        controller.run(14 * SECOND)
        controller.state.write(job(2, tasks = 600))
        controller.state.write(Change(put = Keys.chunk("req-000002", 1), value = RecordCodec.chunkJson(chunk, RecordFormat.VERBOSE)))
        controller.state.eventOrder = { it.reversed() }
        controller.connected = true
        controller.run(6 * SECOND)
        assertEquals(1, controller.cache.job(JobId("req-000002"))?.placedCount)
    }

    /** A load of several pages restarted with the first page whenever one answer was lost. */
    @Test
    fun `after a lost answer only that page is requested again, not the pages before it`() {
        val controller = ControllerLink()
        (1..600).forEach { controller.state.write(job(it)) }
        var firstPages = 0
        controller.holdsAnswer =
            { call -> ("&since=" !in call.path && call.path.startsWith("/keys")).also { if (it) firstPages++ } && false }
        controller.losesAnswer = ::isFurtherPage
        controller.run(5 * SECOND)
        controller.losesAnswer = { false }
        controller.run(5 * SECOND)
        assertTrue(controller.client.isServing && controller.knowsAll(600))
        assertEquals(1, firstPages)
    }

    private fun Transaction.puts(vararg prefixes: String): Boolean =
        changes.any { change ->
            prefixes.any {
                change.put?.startsWith(it)
                    ?: false
            }
        }

    private fun Transaction.putsJob(stage: StoredStage): Boolean =
        changes.any { change ->
            change.put?.startsWith(Keys.job("")) == true && change.value?.let { RecordCodec.decodeJob(it).stage } == stage
        }

    /** Whether the transaction places tasks: it puts a job or chunk under guards on the claims of the machines. */
    private fun Transaction.places(): Boolean =
        puts(Keys.job(""), Keys.chunk("", 1).dropLast(2)) &&
            guards.any { it.key.startsWith(SHARD_PREFIX) || it.key.startsWith(BORROW_PREFIX) }

    private val transactionKinds =
        mapOf<String, (Transaction) -> Boolean>(
            "submission" to { it.guards.any { guard -> guard.version == 0L && guard.key.startsWith(Keys.job("")) } },
            "cancellation" to { it.putsJob(StoredStage.CANCELLED) },
            "placement" to { it.places() },
            "completion" to { it.putsJob(StoredStage.DONE) },
            "claim" to { it.puts(SHARD_PREFIX, BORROW_PREFIX, Keys.LEADER) },
            "team reservation" to { it.puts(Keys.team("")) },
            "fleet record" to { it.puts(MACHINE_LIST_PREFIX) },
        )

    /**
     * Scenarios 15 and 23: for 15 s one kind of transaction gets no answer, and the leader crashes meanwhile. Transactions that are
     * committed at once are visible to other controllers before their sender knows the outcome. Transactions that are committed
     * late conflict with newer ones of the same controllers.
     */
    @TestFactory
    fun `jobs finish and all rules hold while one kind of transaction is committed without an answer`() =
        transactionKinds
            .flatMap { (kind, matches) ->
                listOf(true, false).map { Triple(kind, matches, it) }
            }.map { (kind, matches, atOnce) ->
                DynamicTest.dynamicTest("$kind ${if (atOnce) "at once" else "late"}") {
                    val cluster = SimulatedCluster(115, FaultRates(), ClusterSize(machines = 20)) { SampleJobs.settings(it) }
                    val users = UserFaults(cluster)
                    (1..JOB_COUNT).forEach { n ->
                        val team = if (n % 2 == 0) "red" else "blue"
                        val spec = SampleJobs.spec("req-%06d".format(n), team, 1 + n % 4, cpus = 1.0, estimateS = 3.0)
                        cluster.after(5 * SECOND + n * SECOND / 2) { users.submitAndPoll(spec, if (n % 4 < 2) n % 5 * SECOND else null) }
                    }
                    cluster.stateStoreFaults.appliesImmediately = atOnce
                    cluster.stateStoreFaults.mayLose = { _, transaction -> matches(transaction) }
                    cluster.after(12 * SECOND) { cluster.stateStoreFaults.lossRate = 1000 }
                    cluster.after(18 * SECOND) { cluster.nodes.first { it.settings.node == cluster.leaderClaim()?.node }.crash(6 * SECOND) }
                    cluster.after(27 * SECOND) { cluster.stateStoreFaults.lossRate = 0 }
                    cluster.run(150 * SECOND)
                    val lost = cluster.stateStoreFaults.lostTransactions
                    assertTrue(cluster.stateStoreFaults.applied().isNotEmpty(), "none committed of ${lost.size} unanswered transactions")
                    cluster.assertRulesHeld()
                    assertEquals(emptyList<Int>(), (1..JOB_COUNT).filter { !cluster.rules.isFinal("req-%06d".format(it)) })
                }
            }

    private companion object {
        const val EXTRA_JOB = 999
        const val JOB_COUNT = 60
        val SHARD_PREFIX = Keys.shard(0).dropLast(1)
        val BORROW_PREFIX = Keys.borrow("")
        val MACHINE_LIST_PREFIX = Keys.machineList(0).dropLast(1)
    }
}
