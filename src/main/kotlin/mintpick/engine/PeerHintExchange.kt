package mintpick.engine

import mintpick.core.MILLI
import mintpick.core.MachineView
import mintpick.core.Micros
import mintpick.core.NodeId
import mintpick.engine.agents.AgentRegistry
import mintpick.engine.agents.CommandPlanner
import mintpick.engine.agents.Reconciler
import mintpick.engine.membership.ControllerHealth
import mintpick.engine.membership.ShardClaims
import mintpick.engine.runtime.EngineContext
import mintpick.engine.state.StateStoreClient
import mintpick.net.Answer
import mintpick.net.Call
import mintpick.net.Outcome
import mintpick.net.Target
import mintpick.wire.MachineHint
import mintpick.wire.PeerHint
import mintpick.wire.PeerProtobuf
import mintpick.wire.decodeHint

/** Collects the machines that this controller controls, as listed in its peer hints. */
internal class MachineHintCollector(
    private val context: EngineContext,
    private val shardClaims: ShardClaims,
    private val agents: AgentRegistry,
    private val reconciler: Reconciler,
    private val commandPlanner: CommandPlanner,
) {
    /** Reachable machines that accept work, with the age of their last heartbeat. Image names are added to [imageIndexes]. */
    fun collect(imageIndexes: MutableMap<String, Int>): List<MachineHint> =
        usableMachines().map { view ->
            val images = view.imageNames.map { imageIndexes.getOrPut(it) { imageIndexes.size } }
            MachineHint(view.id.text, context.now - view.lastHeartbeatUs, images)
        }

    private fun usableMachines(): List<MachineView> =
        agents.views().filter { view ->
            view.latestStatus != null &&
                context.now - view.lastHeartbeatUs < context.settings.heartbeatIntervalUs * 2 &&
                !reconciler.failures.isFaulty(view.id) &&
                !agents.isUnreachable(view.id) &&
                !commandPlanner.isDraining(view, shardClaims.controlClaim(view.id))
        }
}

/**
 * Exchanges hints with all peers. A hint says when the state store last served its sender, which machines send heartbeats to it
 * and which jobs it knows to be cancelled. Event-loop thread only.
 */
internal class PeerHintExchange(
    private val context: EngineContext,
    private val stateStore: StateStoreClient,
    private val health: ControllerHealth,
    private val reconciler: Reconciler,
    private val machineHintCollector: MachineHintCollector,
) {
    private var nextHintUs: Micros = 0
    private var hintRounds = 0
    private var wasShortageAnnounced = false

    /** Sends a hint to every peer once a second, and earlier when [lacksCapacity] has just become true, as a peer may have capacity. */
    fun tick(lacksCapacity: Boolean) {
        val isNewShortage = lacksCapacity && !wasShortageAnnounced && context.now >= nextHintUs - HINT_INTERVAL + HINT_MIN_INTERVAL
        if (context.now < nextHintUs && !isNewShortage) return
        nextHintUs = context.now + HINT_INTERVAL
        wasShortageAnnounced = lacksCapacity
        val body = encode(hint(lacksCapacity, listsMachines = hintRounds++ % 2 == 0))
        context.settings.peers.forEach { send(NodeId(it.node), it.address.toString(), body) }
    }

    /** Stores a peer's hint; the answer is the hint of this controller. */
    fun answer(
        received: PeerHint,
        lacksCapacity: Boolean,
    ): Answer {
        health.onHint(received)
        return Answer(OK, encode(hint(lacksCapacity, listsMachines = false)), null, PROTOBUF)
    }

    private fun send(
        peer: NodeId,
        address: String,
        body: ByteArray,
    ) {
        val sentUs = context.now
        context.call(Call(Target.Peer(address), "POST", "/hint", body, HINT_TIMEOUT, PROTOBUF)) { outcome ->
            if (outcome is Outcome.Answered && outcome.status == OK) {
                health.onHintAcknowledged(peer, sentUs)
                decodeHint(outcome.body)?.let { health.onHintAnswer(it, sentUs) }
            }
        }
    }

    private fun encode(hint: PeerHint): ByteArray = PeerProtobuf.encodeToByteArray(PeerHint.serializer(), hint)

    /** Builds a hint. Callers list machines in every second hint only, because a list of a thousand machines is most of its size. */
    private fun hint(
        lacksCapacity: Boolean,
        listsMachines: Boolean,
    ): PeerHint {
        val imageIndexes = LinkedHashMap<String, Int>()
        val machines = if (listsMachines) machineHintCollector.collect(imageIndexes) else emptyList()
        val stateAgeUs = stateStore.lastServedUs?.takeIf { stateStore.isServing }?.let { context.now - it }
        return PeerHint(
            context.settings.node,
            stateAgeUs ?: NEVER_SERVED,
            machines,
            context.cache.revision,
            listsMachines,
            lacksCapacity,
            imageIndexes.keys.toList(),
            context.cache.cancelledJobs(),
            cancelledIsComplete = stateStore.hasLoaded,
            faultyJobs = reconciler.failures.faultyJobs().map { it.text },
        )
    }

    private companion object {
        const val OK = 200
        const val PROTOBUF = "application/x-protobuf"
        const val NEVER_SERVED = -1L
        const val HINT_INTERVAL: Micros = 1_000 * MILLI
        const val HINT_MIN_INTERVAL: Micros = 250 * MILLI
        const val HINT_TIMEOUT: Micros = 800 * MILLI
    }
}
