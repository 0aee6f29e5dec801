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
import mintpick.testing.leadership
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

/** Faults of the state service that meet others: what is carried out late or unanswered, slow, or refused to one alone. */
class StateStoreFaultCombinationsTest {
    /** One controller's link to the state service, whose answers may be held up one by one. */
    private class Link(
        val state: SimulatedStateStore = SimulatedStateStore(),
    ) {
        private val context = EngineContext(SampleJobs.settings(0), SplittableRandom(1))
        val link = StateStoreClient(context, RecordFormatNegotiator(context))
        private val arrived = ArrayList<Pair<Long, Outcome>>()
        val held = ArrayList<Pair<Call, () -> Unit>>()

        /** Answers to these requests are held until [release]. */
        var holds: (Call) -> Boolean = { false }

        /** Answers to these requests are lost. */
        var loses: (Call) -> Boolean = { false }
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
            arrived.toList().also { arrived.clear() }.forEach { (id, outcome) -> context.callDone(id, outcome) }
            link.tick()
            for (effect in context.takeEffects()) {
                if (effect !is Effect.Start) continue
                if (connected) ask(effect.id, effect.call) else arrived += effect.id to Outcome.Unanswered
            }
        }

        private fun ask(
            id: Long,
            call: Call,
        ) = state.request(now, call.method, call.path, (call.body ?: ByteArray(0)).decodeToString()) { answer ->
            val outcome =
                if (loses(call)) Outcome.Unanswered else Outcome.Answered(answer.status, answer.body.encodeToByteArray())
            val give = { arrived += id to outcome }
            if (holds(call)) held += call to give else give()
        }

        /** Gives the answers that were held to requests below [path]. */
        fun release(path: String) {
            val due = held.filter { it.first.path.startsWith(path) }
            held -= due.toSet()
            due.forEach { it.second() }
        }

        /** From now on every watch is too old. */
        fun outlastLog() {
            state.oldestWatch = state.revision + 2
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

    /** A controller that serves, with so many jobs: more than 500 take two pages. */
    private fun joined(jobs: Int) =
        Link().apply {
            (1..jobs).forEach { state.write(job(it)) }
            run(2 * SECOND)
            assertTrue(link.isServing)
        }

    /** Has its watch refused as too old, so that it reads the records again. */
    private fun Link.readAgain() {
        outlastLog()
        state.write(job(LAST))
        repeat(50) { if (link.hasLoaded) run(SECOND / 50) }
        assertFalse(link.hasLoaded, "the records are read again")
        // The log reaches back to what is read now.
        state.oldestWatch = state.revision
        run(SECOND / 2)
    }

    private fun Link.knowsAll(jobs: Int) = (1..jobs).all { cache.isKnown(JobId("req-%06d".format(it))) }

    /** A question that waited for it was answered from an empty copy of the records: 404 for a job that is known. */
    @Test
    fun `an answer from before the records were read again is not trusted`() {
        val controller = joined(5)
        controller.holds = { isCatchUp(it) || it.path.startsWith("/keys") }
        var known: Boolean? = null
        controller.link.afterCatchUp { ok -> known = !ok || controller.knowsAll(5) }
        controller.run(SECOND / 2)
        assertEquals(1, controller.held.size, "the catch-up waits")
        controller.readAgain()
        controller.release("/follow")
        controller.run(SECOND / 10)
        assertEquals(true, known)
    }

    /** The copy was emptied while its second page was under way: what the first had brought was forgotten for good. */
    @Test
    fun `records that are being read again are not dropped by another late refusal`() {
        val controller = joined(600)
        controller.holds = { isCatchUp(it) || isFurtherPage(it) }
        controller.outlastLog()
        controller.link.afterCatchUp { }
        controller.run(SECOND / 2)
        controller.readAgain()
        assertEquals(2, controller.held.size, "the refusal and the second page wait")
        controller.release("/follow")
        controller.run(SECOND / 10)
        controller.holds = { false }
        controller.release("/keys")
        controller.run(2 * SECOND)
        assertTrue(controller.link.isServing && controller.knowsAll(600))
    }

    /** A lease that was found to be over made the controller follow, and forget, records that it was still reading. */
    @Test
    fun `a lease that ends while the records are read again does not interrupt that`() {
        val controller = joined(600)
        controller.connected = false
        controller.run(20 * SECOND)
        controller.holds = { isFurtherPage(it) || "/touch" in it.path }
        repeat(2) { controller.state.write(job(LAST + it)) }
        controller.state.oldestWatch = controller.state.revision
        controller.loses = { it.path.startsWith("/follow") }
        controller.connected = true
        controller.run(2 * SECOND)
        controller.loses = { false }
        controller.run(2 * SECOND)
        assertEquals(2, controller.held.size, "the end of the lease and the second page wait")
        controller.release("/leases")
        controller.run(SECOND)
        controller.holds = { false }
        controller.release("/keys")
        controller.run(2 * SECOND)
        assertTrue(controller.link.isServing && controller.knowsAll(600))
    }

    /** Its registration made a controller serve from the empty copy that it had just begun to fill. */
    @Test
    fun `a registration that is answered late does not end the reading of the records`() {
        val controller = Link()
        (1..5).forEach { controller.state.write(job(it)) }
        controller.holds = { it.path == "/multi" }
        controller.run(SECOND)
        controller.holds = { it.path.startsWith("/keys") }
        controller.readAgain()
        controller.release("/multi")
        controller.run(SECOND / 10)
        assertFalse(controller.link.isServing && !controller.knowsAll(5))
        controller.holds = { false }
        controller.release("/keys")
        controller.run(2 * SECOND)
        assertTrue(controller.link.isServing && controller.knowsAll(5))
    }

    /** A claim that had ended stood in the new copy again, because a commit from before it was answered late. */
    @Test
    fun `a commit from before the records were read again brings back nothing`() {
        val controller = joined(5)
        controller.holds = { it.path == "/multi" }
        val claim = WireJson.encodeToJsonElement(ClaimRecord.serializer(), ClaimRecord("node-0", 1))
        controller.link.transact(emptyList(), listOf(Write(Keys.shard(3), claim))) { }
        controller.run(SECOND / 10)
        assertEquals(1, controller.held.size, "the commit waits")
        controller.state.write(Change(delete = Keys.shard(3)))
        controller.readAgain()
        controller.run(SECOND)
        assertTrue(controller.link.isServing)
        controller.release("/multi")
        controller.run(SECOND)
        assertEquals(null, controller.cache.claims[3])
    }

    /** A team's reservation was newer than its placements, which the watch had yet to bring: its guard held nothing up. */
    @Test
    fun `nobody serves before what changed between two pages is known`() {
        val controller = Link()
        (1..600).forEach { controller.state.write(job(it)) }
        controller.holds = { "&since=" !in it.path && it.path.startsWith("/keys") || it.path.startsWith("/follow") }
        controller.run(SECOND)
        controller.state.write(Change(put = Keys.job("req-000001"), value = RecordCodec.finalJson(StoredStage.DONE, 1)))
        controller.release("/keys")
        controller.run(2 * SECOND)
        val isNew = { controller.cache.finalJob(JobId("req-000001")) != null }
        assertTrue(isNew() || !controller.link.isServing)
        controller.holds = { false }
        controller.release("/follow")
        controller.run(6 * SECOND)
        assertTrue(controller.link.isServing && isNew())
    }

    /** PROTOCOL promises no order. A chunk that was told before its job was dropped, and its tasks were placed in vain for ever. */
    @Test
    fun `changes are understood in whichever order a watch tells them`() {
        val controller = joined(1)
        val chunk = Chunk.empty(Job.TASKS_PER_CHUNK).place(0, MachineId("host-000001"))
        controller.connected = false
        controller.run(14 * SECOND)
        controller.state.write(job(2, tasks = 600))
        controller.state.write(Change(put = Keys.chunk("req-000002", 1), value = RecordCodec.chunkJson(chunk, RecordFormat.VERBOSE)))
        controller.state.order = { it.reversed() }
        controller.connected = true
        controller.run(6 * SECOND)
        assertEquals(1, controller.cache.job(JobId("req-000002"))?.placedCount)
    }

    /** A record that takes many pages was read from its beginning whenever one answer was lost. */
    @Test
    fun `a page that is lost is asked for again, not all before it`() {
        val controller = Link()
        (1..600).forEach { controller.state.write(job(it)) }
        var firstPages = 0
        controller.holds = { call -> ("&since=" !in call.path && call.path.startsWith("/keys")).also { if (it) firstPages++ } && false }
        controller.loses = ::isFurtherPage
        controller.run(5 * SECOND)
        controller.loses = { false }
        controller.run(5 * SECOND)
        assertTrue(controller.link.isServing && controller.knowsAll(600))
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

    /** Placements are guarded by the claims on their machines. */
    private fun Transaction.places(): Boolean =
        puts(Keys.job(""), Keys.chunk("", 1).dropLast(2)) &&
            guards.any { it.key.startsWith(SHARD) || it.key.startsWith(BORROW) }

    private val kinds =
        mapOf<String, (Transaction) -> Boolean>(
            "submission" to { it.guards.any { guard -> guard.version == 0L && guard.key.startsWith(Keys.job("")) } },
            "cancellation" to { it.putsJob(StoredStage.CANCELLED) },
            "placement" to { it.places() },
            "completion" to { it.putsJob(StoredStage.DONE) },
            "claim" to { it.puts(SHARD, BORROW, Keys.LEADER) },
            "team reservation" to { it.puts(Keys.team("")) },
            "fleet record" to { it.puts(FLEET) },
        )

    /**
     * Meetings 15 and 23: one kind of write gets no answer for 15 s, in which the leader ends. What is carried out at once
     * is read by others before its writer knows; what is carried out late meets the newer writes of the same controllers.
     */
    @TestFactory
    fun `writes of one kind are carried out without an answer`() =
        kinds.flatMap { (kind, picks) -> listOf(true, false).map { atOnce -> Triple(kind, picks, atOnce) } }.map { (kind, picks, atOnce) ->
            DynamicTest.dynamicTest("$kind ${if (atOnce) "at once" else "late"}") {
                val cluster = SimulatedCluster(115, FaultRates(), ClusterSize(machines = 20)) { SampleJobs.settings(it) }
                val users = UserFaults(cluster)
                (1..JOBS).forEach { n ->
                    val spec =
                        SampleJobs.spec(
                            "req-%06d".format(n),
                            if (n % 2 ==
                                0
                            ) {
                                "red"
                            } else {
                                "blue"
                            },
                            1 + n % 4,
                            cpus = 1.0,
                            estimateS = 3.0,
                        )
                    cluster.after(5 * SECOND + n * SECOND / 2) { users.begin(spec, if (n % 4 < 2) n % 5 * SECOND else null) }
                }
                cluster.stateStoreFaults.atOnce = atOnce
                cluster.stateStoreFaults.picks = { _, transaction -> picks(transaction) }
                cluster.after(12 * SECOND) { cluster.stateStoreFaults.lost = 1000 }
                cluster.after(18 * SECOND) { cluster.nodes.first { it.settings.node == cluster.leadership()?.node }.crash(6 * SECOND) }
                cluster.after(27 * SECOND) { cluster.stateStoreFaults.lost = 0 }
                cluster.run(150 * SECOND)
                val lost = cluster.stateStoreFaults.lostTransactions
                assertTrue(cluster.stateStoreFaults.carriedOut().isNotEmpty(), "${lost.size} lost, none carried out")
                cluster.assertRulesHeld()
                assertEquals(emptyList<Int>(), (1..JOBS).filter { !cluster.rules.isFinal("req-%06d".format(it)) })
            }
        }

    private companion object {
        const val LAST = 999
        const val JOBS = 60
        val SHARD = Keys.shard(0).dropLast(1)
        val BORROW = Keys.borrow("")
        val FLEET = Keys.machineList(0).dropLast(1)
    }
}
