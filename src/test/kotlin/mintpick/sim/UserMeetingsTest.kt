package mintpick.sim

import kotlinx.serialization.json.JsonElement
import mintpick.Samples
import mintpick.core.JobId
import mintpick.core.MILLI
import mintpick.core.SECOND
import mintpick.engine.Effect
import mintpick.engine.Event
import mintpick.engine.Kernel
import mintpick.engine.ReplyTo
import mintpick.engine.StateLink
import mintpick.net.Answer
import mintpick.net.Call
import mintpick.net.Outcome
import mintpick.store.Keys
import mintpick.store.RecordCodec
import mintpick.wire.Change
import mintpick.wire.StoredStage
import mintpick.wire.Transaction
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertFalse
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import java.util.SplittableRandom

/** What users ask, in the moments in which something else happens to their jobs, and what they are told. */
class UserMeetingsTest {
    private fun world(
        seed: Long,
        size: Size = Size(),
    ) = World(seed, Luck(), size) { Samples.settings(it) }

    private fun id(n: Int) = "req-%06d".format(n)

    private val finished = (1..1200).map { id(it) }

    private fun World.store(
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
        val world = world(101)
        val over = RecordCodec.finalJson(StoredStage.DONE, 1)
        world.store(finished.map(Keys::job), over)
        world.state.keptChanges = 100
        world.run(10 * SECOND)
        val node = world.nodes[0]
        node.cutFromState = true
        world.run(10 * SECOND + cutMs * MILLI)
        world.store((2000..2200).map { Keys.job(id(it)) }, over)
        world.slowAnswer = { from, call -> if (from === node) slowMs(call) * MILLI else 0 }
        node.cutFromState = false
        val answers = ArrayList<Answer>()
        val ask: (String) -> Unit = { job -> node.deliver(Event.Poll(JobId(job), ReplyTo { answers += it })) }
        world.run(world.now + 8 * SECOND)
        assertTrue(world.state.tooOld > 0, "no watch was too old")
        finished.forEach(ask)
        world.run(world.now + 2 * SECOND)
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
        val kernel = Kernel(Samples.settings(0), SplittableRandom(1))
        val link = StateLink(kernel)
        private val open = LinkedHashMap<Long, Call>()
        private var now = 0L

        private fun step() {
            now += 200 * MILLI
            kernel.begin(now, now)
            link.tick()
            kernel.takeEffects().filterIsInstance<Effect.Start>().forEach { open[it.id] = it.call }
        }

        fun answer(
            path: String,
            status: Int,
            body: String,
        ) {
            step()
            val id = open.entries.first { path in it.value.path }.key
            open -= id
            kernel.callDone(id, Outcome.Answered(status, body.encodeToByteArray()))
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

        /** Loads job 1, and joins. */
        fun serve() {
            page(1, more = false)
            answer("/leases", 200, """{"tenure":7}""")
            answer("/multi", 200, """{"ledger_rev":10}""")
            assertTrue(link.serving)
        }
    }

    /**
     * A catch-up whose answer came while all records were read anew once emptied them in the midst of that, or let
     * questions be answered from them: either way jobs that were accepted got 404.
     */
    @Test
    fun `a catch-up that is answered while all records are read anew proves nothing and empties nothing`() {
        for ((status, body) in listOf(410 to "{}", 200 to """{"ledger_rev":12,"log":[]}""")) {
            val script = ScriptedLink().apply { serve() }
            val caughtUp = ArrayList<Boolean>()
            script.link.caughtUp { caughtUp += it }
            script.answer("wait_ms=10000", 410, "{}")
            script.page(1, more = true)
            script.answer("wait_ms=0", status, body)
            script.page(2, more = false)
            assertEquals(listOf(false), caughtUp, "answered with $status")
            assertTrue((1..2).all { script.kernel.replica.knows(JobId("req-$it")) }, "answered with $status")
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
        assertFalse(script.link.serving)
        script.page(1, more = false)
        assertTrue(script.link.serving)
    }
}
