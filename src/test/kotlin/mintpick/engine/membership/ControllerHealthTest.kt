package mintpick.engine.membership

import mintpick.core.JobId
import mintpick.core.MILLI
import mintpick.core.Micros
import mintpick.core.NodeId
import mintpick.core.SECOND
import mintpick.engine.runtime.Effect
import mintpick.engine.runtime.EngineContext
import mintpick.engine.state.RecordFormatNegotiator
import mintpick.engine.state.StateStoreClient
import mintpick.net.Outcome
import mintpick.store.Keys
import mintpick.testing.SampleJobs
import mintpick.testing.SimulatedStateStore
import mintpick.wire.Change
import mintpick.wire.ClaimRecord
import mintpick.wire.PeerHint
import mintpick.wire.Transaction
import mintpick.wire.WireJson
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertFalse
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import java.util.SplittableRandom

/** Health checks and shard claims of one controller, against a simulated state store. */
class ControllerHealthTest {
    private class Controller(
        val state: SimulatedStateStore = SimulatedStateStore(),
    ) {
        private val context = EngineContext(SampleJobs.settings(0), SplittableRandom(1))
        private val stateStore = StateStoreClient(context, RecordFormatNegotiator(context))
        val shardClaims = ShardClaims(context, stateStore, FullConnectivity)
        val health = ControllerHealth(context, stateStore)
        private val answers = ArrayList<Pair<Long, Outcome>>()
        var isConnected = true
        var servesLeasesOnly = false
        var now: Micros = 0

        val cache get() = context.cache
        val isServing get() = stateStore.isServing

        fun run(span: Micros) {
            val until = now + span
            while (now < until) step()
        }

        fun step() {
            now += STEP
            context.startStep(now, now)
            state.tick(now)
            answers.toList().also { answers.clear() }.forEach { (id, outcome) -> context.callDone(id, outcome) }
            stateStore.tick()
            health.tick()
            shardClaims.tick()
            for (effect in context.takeEffects()) {
                if (effect !is Effect.Start || !isConnected) continue
                val call = effect.call
                if (servesLeasesOnly && !call.path.startsWith("/leases")) continue
                state.request(now, call.method, call.path, (call.body ?: ByteArray(0)).decodeToString()) {
                    if (isConnected) answers += effect.id to Outcome.Answered(it.status, it.body.encodeToByteArray())
                }
            }
        }

        /** Delivers a hint that a peer sent on its own, with the time since the state store last served the peer. */
        fun receiveHint(
            node: String,
            stateAgeUs: Micros,
            cancelled: List<String> = emptyList(),
        ) = health.onHint(PeerHint(node, stateAgeUs, cancelled = cancelled, cancelledIsComplete = true))

        /** Delivers a peer's answer to a hint that this controller sent [agoUs] ago. */
        fun receiveHintAnswer(
            node: String,
            stateAgeUs: Micros,
            agoUs: Micros = 0,
            hasLoaded: Boolean = true,
        ) = health.onHintAnswer(PeerHint(node, stateAgeUs, cancelledIsComplete = hasLoaded), now - agoUs)

        /** How long agents are answered within [seconds], while [receiveHints] is called with each second's number, from 1 on. */
        fun answersAgentsFor(
            seconds: Int,
            receiveHints: (Int) -> Unit,
        ): Micros {
            val from = now
            var answeredUntil: Micros = 0
            repeat(seconds) { second ->
                run(SECOND)
                receiveHints(second + 1)
                if (health.mayAnswerAgents()) answeredUntil = now - from
            }
            return answeredUntil
        }
    }

    private fun disconnectedController() =
        Controller().apply {
            run(5 * SECOND)
            assertTrue(isServing && health.mayAnswerAgents() && health.isUp())
            isConnected = false
        }

    /** Otherwise agents of a controller that alone is disconnected from the state store would wait for commands that it can't give. */
    @Test
    fun `agents are released when the state store serves a peer but not this controller`() {
        val controller = disconnectedController()
        controller.run(5 * SECOND)
        assertTrue(controller.health.mayAnswerAgents(), "no peer is known to be served")
        controller.receiveHint("node-1", SECOND / 10)
        assertFalse(controller.health.mayAnswerAgents())
        assertFalse(controller.health.isUp())
    }

    /** In an outage that affects all controllers, redirected agents would use up their leases at controllers that are not served either. */
    @Test
    fun `agents are kept in an outage that affects all controllers`() {
        val controller = disconnectedController()
        repeat(30) {
            controller.run(SECOND)
            controller.receiveHintAnswer("node-1", -1)
            controller.receiveHintAnswer("node-2", (it + 1) * SECOND)
            assertTrue(controller.health.mayAnswerAgents())
            assertTrue(controller.health.isUp())
        }
    }

    /**
     * In a network partition two controllers of the same zone receive each other's hints, but a controller outside may confirm
     * cancellations that neither of them can know of.
     */
    @Test
    fun `agent leases expire in time while one of the peers may be served`() {
        val controller = disconnectedController()
        assertLeasesExpireInTime(controller.answersAgentsFor(60) { controller.receiveHintAnswer("node-1", it * SECOND) })
    }

    private fun assertLeasesExpireInTime(answeredUntil: Micros) {
        val settings = SampleJobs.settings(0)
        assertTrue(answeredUntil > settings.leaseUs, "$answeredUntil")
        assertTrue(answeredUntil + settings.leaseUs < settings.cancelUs, "$answeredUntil and a lease are within ${settings.cancelUs}")
    }

    /** A peer that was restarted in the outage does not know which cancellations its earlier process confirmed last. */
    @Test
    fun `agent leases expire in time while one of the peers has not loaded the records`() {
        val controller = disconnectedController()
        assertLeasesExpireInTime(
            controller.answersAgentsFor(60) {
                controller.receiveHintAnswer("node-1", it * SECOND)
                controller.receiveHintAnswer("node-2", -1, hasLoaded = false)
            },
        )
    }

    /** A hint that a peer sent on its own may have been delayed, so it does not show which cancellations were confirmed since. */
    @Test
    fun `agent leases expire in time while peers send hints but answer none`() {
        val controller = disconnectedController()
        assertLeasesExpireInTime(
            controller.answersAgentsFor(60) {
                controller.receiveHint("node-1", it * SECOND)
                controller.receiveHint("node-2", it * SECOND)
            },
        )
    }

    /** An answer lists cancellations confirmed before the hint was sent, however late the answer arrives. */
    @Test
    fun `cancellations in an answer are as old as the hint that it answers`() {
        val settings = SampleJobs.settings(0)
        val controller = disconnectedController()
        controller.run(10 * SECOND)
        controller.receiveHintAnswer("node-1", 10 * SECOND, agoUs = 5 * SECOND)
        controller.receiveHintAnswer("node-2", 10 * SECOND)
        val bound = settings.cancelUs - settings.leaseUs - 5 * SECOND
        controller.run(bound - 3 * SECOND)
        assertTrue(controller.health.mayAnswerAgents())
        controller.run(3 * SECOND)
        assertFalse(controller.health.mayAnswerAgents())
    }

    /** Lease renewals do not update the local records, so cancellations may have been confirmed that these do not show. */
    @Test
    fun `agent leases expire in time while the state store only renews the controller's lease`() {
        val controller = Controller().apply { run(5 * SECOND) }
        controller.servesLeasesOnly = true
        assertLeasesExpireInTime(controller.answersAgentsFor(60) { })
        assertTrue(controller.isServing, "its lease was kept")
    }

    /** A cancellation that a peer confirmed immediately before an outage is in no record that this controller can read. */
    @Test
    fun `cancellations in the hint of a peer are known in an outage`() {
        val controller = disconnectedController()
        controller.run(5 * SECOND)
        controller.receiveHint("node-1", 4 * SECOND, listOf("req-000007"))
        assertTrue(controller.health.isCancelledElsewhere(JobId("req-000007")))
        assertFalse(controller.health.isCancelledElsewhere(JobId("req-000008")))
    }

    /** A cancellation unknown to this controller must still take effect in time: agent leases expire within `cancel_s`. */
    @Test
    fun `agent leases expire in time for a cancellation that is unknown here`() {
        val settings = SampleJobs.settings(0)
        val controller = disconnectedController()
        var answeredUntil: Micros = 0
        val from = controller.now
        while (controller.now - from < 60 * SECOND) {
            controller.step()
            if (controller.health.mayAnswerAgents()) answeredUntil = controller.now - from
        }
        assertTrue(answeredUntil > settings.leaseUs, "services continue for at least a lease: $answeredUntil")
        assertTrue(answeredUntil + settings.leaseUs < settings.cancelUs, "$answeredUntil and a lease are within ${settings.cancelUs}")
    }

    /**
     * Commands of an earlier process of the same controller may still be in transit with the token of the old claim. The claim
     * therefore counts as own only after it is rewritten, which raises the token above all tokens sent before.
     */
    @Test
    fun `a claim of an earlier process of the same controller is not own until it is rewritten`() {
        val state = SimulatedStateStore()
        val record = WireJson.encodeToJsonElement(ClaimRecord.serializer(), ClaimRecord("node-0", 999))
        state.transact(Transaction(emptyList(), listOf(Change(put = Keys.shard(0), value = record))))
        val controller = Controller(state)
        var stepsWithOldClaim = 0
        while (controller.now < 3 * SECOND) {
            controller.step()
            val claim = controller.cache.claims[0] ?: continue
            assertEquals(NodeId("node-0"), claim.node)
            if (claim.lease == 999L) {
                stepsWithOldClaim++
                assertFalse(controller.shardClaims.isOwn(claim))
            }
        }
        assertTrue(stepsWithOldClaim > 0, "the old claim was seen")
        val claim = controller.cache.claims.getValue(0)
        assertTrue(controller.shardClaims.isOwn(claim) && claim.version > 1, "$claim")
    }

    /** Full connectivity to peers and agents. */
    private object FullConnectivity : ClusterConnectivity {
        override val hasHintsFromAllPeers = true
        override val canReachAgents = true
    }

    private companion object {
        const val STEP: Micros = 20 * MILLI
    }
}
