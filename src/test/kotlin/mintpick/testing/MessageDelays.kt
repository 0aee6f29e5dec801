package mintpick.testing

import mintpick.core.Micros
import mintpick.core.SECOND
import mintpick.net.Call
import mintpick.net.Target
import mintpick.wire.ClaimRecord
import mintpick.wire.CommandBatch
import mintpick.wire.MachineReport
import mintpick.wire.WireJson

/** Delays direct commands, and replays copies of heartbeats to the controllers after a change of leader. */
class MessageDelays(
    private val cluster: SimulatedCluster,
) {
    /** A delayed direct command. [status] is that of its answer, which may arrive after the call has timed out; null until then. */
    class DelayedCommand(
        val agent: SimulatedAgent,
        val batch: CommandBatch,
        val call: Call,
    ) {
        var status: Int? = null
    }

    /** Delay of a controller's command to a machine; null: none beyond [delayedCommandRate]. */
    var commandDelayUs: (SimulatedCluster.Node, SimulatedAgent, CommandBatch) -> Micros? = { _, _, _ -> null }
    val delayedCommands = ArrayList<DelayedCommand>()

    /** Thousandths of direct commands that arrive 2 to 16 s late, unless [commandDelayUs] sets their delay. */
    var delayedCommandRate = 0

    /** Thousandths of heartbeats of which a copy is kept and replayed to all controllers after the next change of leader. */
    var replayRate = 0
    private val keptHeartbeats = ArrayList<MachineReport>()
    private var lastLeader: ClaimRecord? = null

    /** Changes of leader after which copies were replayed. */
    var leadersWithReplays = 0
        private set

    /** Heartbeats replayed after changes of leader, counted once each, although every controller receives them. */
    var replayedHeartbeats = 0
        private set

    /** Travel time of [call] if it is a command to delay, otherwise null. Must be called once for each call. */
    fun commandTravelUs(
        from: SimulatedCluster.Node,
        call: Call,
    ): Micros? {
        if (call.target !is Target.Worker || call.method != "POST") return null
        val agent = cluster.agents.values.firstOrNull { it.address == call.target.address } ?: return null
        val batch = WireJson.decodeFromString(CommandBatch.serializer(), requireNotNull(call.body).decodeToString())
        val late = delayedCommandRate > 0 && cluster.random.nextInt(THOUSAND) < delayedCommandRate
        val travel = commandDelayUs(from, agent, batch) ?: if (late) randomDelay() else return null
        delayedCommands += DelayedCommand(agent, batch, call)
        return travel
    }

    private fun randomDelay(): Micros = 2 * SECOND + cluster.random.nextLong(14 * SECOND)

    /** Records the status of the answer to [call] if it is a delayed command. */
    fun commandAnswered(
        call: Call,
        status: Int,
    ) {
        delayedCommands.filter { it.call === call }.forEach { it.status = status }
    }

    /** Must be called for each heartbeat that an agent sends. */
    fun heartbeatSent(heartbeat: MachineReport) {
        if (replayRate > 0 && cluster.random.nextInt(THOUSAND) < replayRate) keptHeartbeats += heartbeat
    }

    /** Keeps [heartbeat] until the next change of leader. */
    fun keepForReplay(heartbeat: MachineReport) {
        keptHeartbeats += heartbeat
    }

    /** Delivers the kept heartbeats to every controller if the leader's claim has changed. */
    fun tick() {
        if (replayRate == 0 && keptHeartbeats.isEmpty()) return
        val current = cluster.leaderClaim() ?: return
        if (lastLeader != null && current != lastLeader && keptHeartbeats.isNotEmpty()) {
            leadersWithReplays++
            replayedHeartbeats += keptHeartbeats.size
            keptHeartbeats.forEach { copy -> cluster.nodes.forEach { cluster.deliverDuplicate(copy, it) } }
            keptHeartbeats.clear()
        }
        lastLeader = current
    }

    private companion object {
        const val THOUSAND = 1000
    }
}
