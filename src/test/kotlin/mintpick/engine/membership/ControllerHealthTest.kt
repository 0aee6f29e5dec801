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

/** One controller's parts that judge its own health, before a stand-in of the state service. */
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

        /** A peer says by itself when the state service last served it. */
        fun receiveHint(
            node: String,
            stateAgeUs: Micros,
            cancelled: List<String> = emptyList(),
        ) = health.onHint(PeerHint(node, stateAgeUs, cancelled = cancelled, cancelledIsComplete = true))

        /** A peer answers a hint of ours that left [agoUs] ago. */
        fun receiveHintAnswer(
            node: String,
            stateAgeUs: Micros,
            agoUs: Micros = 0,
            hasLoaded: Boolean = true,
        ) = health.onHintAnswer(PeerHint(node, stateAgeUs, cancelledIsComplete = hasLoaded), now - agoUs)

        /** For how long workers are answered while [receiveHints] is called each second, in [seconds]. */
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

    /** Without it the workers of a controller that is refused alone wait for commands that it can't give. */
    @Test
    fun `workers are handed over when a peer is served and we are not`() {
        val controller = disconnectedController()
        controller.run(5 * SECOND)
        assertTrue(controller.health.mayAnswerAgents(), "nobody else is known to do better")
        controller.receiveHint("node-1", SECOND / 10)
        assertFalse(controller.health.mayAnswerAgents())
        assertFalse(controller.health.isUp())
    }

    /** In an outage for all, sending workers away would spend their leases on controllers that are no better off. */
    @Test
    fun `workers are kept in an outage that peers share`() {
        val controller = disconnectedController()
        repeat(30) {
            controller.run(SECOND)
            controller.receiveHintAnswer("node-1", -1)
            controller.receiveHintAnswer("node-2", (it + 1) * SECOND)
            assertTrue(controller.health.mayAnswerAgents())
            assertTrue(controller.health.isUp())
        }
    }

    /** Two controllers of a cut zone hear each other: whoever is outside confirms cancellations that neither can know of. */
    @Test
    fun `workers are let go in time while one of the peers may be served`() {
        val controller = disconnectedController()
        assertLeasesExpireInTime(controller.answersAgentsFor(60) { controller.receiveHintAnswer("node-1", it * SECOND) })
    }

    private fun assertLeasesExpireInTime(answeredUntil: Micros) {
        val settings = SampleJobs.settings(0)
        assertTrue(answeredUntil > settings.leaseUs, "$answeredUntil")
        assertTrue(answeredUntil + settings.leaseUs < settings.cancelUs, "$answeredUntil and a lease are within ${settings.cancelUs}")
    }

    /** One that has started anew in the outage can't tell what its process before confirmed in the moment before its end. */
    @Test
    fun `workers are let go in time while one of the peers has not loaded the records`() {
        val controller = disconnectedController()
        assertLeasesExpireInTime(
            controller.answersAgentsFor(60) {
                controller.receiveHintAnswer("node-1", it * SECOND)
                controller.receiveHintAnswer("node-2", -1, hasLoaded = false)
            },
        )
    }

    /** A hint that a peer sent by itself may have been held up on its way: it is no account of what was confirmed since. */
    @Test
    fun `workers are let go in time while peers only speak and do not answer`() {
        val controller = disconnectedController()
        assertLeasesExpireInTime(
            controller.answersAgentsFor(60) {
                controller.receiveHint("node-1", it * SECOND)
                controller.receiveHint("node-2", it * SECOND)
            },
        )
    }

    /** An answer accounts for what was confirmed before its question left, whenever it comes. */
    @Test
    fun `an account of cancellations is as old as the question`() {
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

    /** Lease renewals tell nothing of the records: cancellations that these do not show may have been confirmed meanwhile. */
    @Test
    fun `workers are let go in time while the state service only renews our lease`() {
        val controller = Controller().apply { run(5 * SECOND) }
        controller.servesLeasesOnly = true
        assertLeasesExpireInTime(controller.answersAgentsFor(60) { })
        assertTrue(controller.isServing, "its lease was kept")
    }

    /** Confirmed by a peer in the moment before an outage, a cancellation is in no record that we can read. */
    @Test
    fun `what a peer says was cancelled is known in an outage`() {
        val controller = disconnectedController()
        controller.run(5 * SECOND)
        controller.receiveHint("node-1", 4 * SECOND, listOf("req-000007"))
        assertTrue(controller.health.isCancelledElsewhere(JobId("req-000007")))
        assertFalse(controller.health.isCancelledElsewhere(JobId("req-000008")))
    }

    /** A cancellation that we could not hear of must still be in time: the leases lapse before `cancel_s` is over. */
    @Test
    fun `workers are let go in time for a cancellation that could not be heard of`() {
        val settings = SampleJobs.settings(0)
        val controller = disconnectedController()
        var answeredUntil: Micros = 0
        val from = controller.now
        while (controller.now - from < 60 * SECOND) {
            controller.step()
            if (controller.health.mayAnswerAgents()) answeredUntil = controller.now - from
        }
        assertTrue(answeredUntil > settings.leaseUs, "services go on for a while: $answeredUntil")
        assertTrue(answeredUntil + settings.leaseUs < settings.cancelUs, "$answeredUntil and a lease are within ${settings.cancelUs}")
    }

    /**
     * An earlier process of this name may still have commands under way under the old claim's token, so the claim
     * counts as ours only once it is written anew, which raises the token above all that was sent before.
     */
    @Test
    fun `a claim of an earlier process under our name is not ours until it is written anew`() {
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

    /** Nobody is cut off from anybody. */
    private object FullConnectivity : ClusterConnectivity {
        override val hasHintsFromAllPeers = true
        override val canReachAgents = true
    }

    private companion object {
        const val STEP: Micros = 20 * MILLI
    }
}
