package mintpick.engine.agents

import mintpick.core.MachineId
import mintpick.core.Micros
import mintpick.core.NodeId
import mintpick.core.SECOND
import mintpick.engine.membership.ControllerHealth
import mintpick.engine.membership.ShardClaims
import mintpick.engine.runtime.EngineContext

/**
 * Machines of other controllers that these do not serve, judged from the heartbeats that keep coming here. Times are
 * microseconds of the steady clock. Event-loop thread only.
 */
internal class UnservedMachines(
    private val context: EngineContext,
    private val shardClaims: ShardClaims,
    private val health: ControllerHealth,
) {
    /** Heartbeats of a machine that is another controller's, one soon after the other. */
    private class MisdirectedHeartbeats(
        var firstUs: Micros,
    ) {
        var lastUs = firstUs
        var count = 0
    }

    private val misdirectedByMachine = HashMap<MachineId, MisdirectedHeartbeats>()

    /** By shard, when a machine of it was last found unserved. */
    private val unservedUsByShard = HashMap<Int, HashMap<MachineId, Micros>>()

    /**
     * Counts a heartbeat and says whether its machine is unserved: its agent keeps coming although it was sent to its
     * controller, or that controller is silent to us too. Ask once for each heartbeat that an agent waits on.
     */
    fun recordHeartbeat(machine: MachineId): Boolean {
        val controller = shardClaims.controlClaim(machine)?.node
        if (!health.isHealthy() || controller == null || controller == context.self || !shardClaims.isLive(controller)) return false
        val misdirected = count(machine)
        // Whoever has just claimed it is alive to the state service, though we may not hear them: they are tried first.
        // While controllers refused each other's connections, shards once went back and forth until leases expired.
        val lacksControllerHints = shardClaims.isClaimSettled(machine) && !health.hasRecentHint(controller)
        val isUnserved =
            lacksControllerHints || (isRepeatedlyMisdirected(misdirected) && !health.hasHeartbeatElsewhere(machine, controller))
        if (isUnserved) misdirected.count = 0
        return isUnserved
    }

    private fun count(machine: MachineId): MisdirectedHeartbeats {
        val misdirected = misdirectedByMachine.getOrPut(machine) { MisdirectedHeartbeats(context.now) }
        if (context.now - misdirected.lastUs > MISDIRECTION_RETENTION) {
            misdirected.firstUs = context.now
            misdirected.count = 0
        }
        misdirected.lastUs = context.now
        misdirected.count++
        return misdirected
    }

    private fun isRepeatedlyMisdirected(misdirected: MisdirectedHeartbeats): Boolean =
        misdirected.count >= MIN_MISDIRECTIONS && context.now - misdirected.firstUs > MIN_MISDIRECTION_SPAN

    /** Notes that [machine] of [shard] was found unserved. */
    fun recordUnserved(
        machine: MachineId,
        shard: Int,
    ) {
        val unservedUs = unservedUsByShard.getOrPut(shard) { HashMap() }
        unservedUs[machine] = context.now
        unservedUs.values.removeIf { context.now - it > UNSERVED_RETENTION }
    }

    /** Whether all of [shard] should be taken over from [controller], and not one machine alone. */
    fun isWholeShardUnserved(
        shard: Int,
        controller: NodeId,
    ): Boolean = (unservedUsByShard[shard]?.size ?: 0) >= WHOLE_SHARD_MACHINES || !health.hasRecentHint(controller)

    /** Forgets the misdirected heartbeats of [machine]: it is served by us, or terminated. */
    fun forget(machine: MachineId) {
        misdirectedByMachine.remove(machine)
    }

    companion object {
        private const val MIN_MISDIRECTIONS = 2
        private const val MIN_MISDIRECTION_SPAN: Micros = 3 * SECOND
        private const val MISDIRECTION_RETENTION: Micros = 15 * SECOND
        private const val UNSERVED_RETENTION: Micros = 8 * SECOND

        /** From so many unserved machines of a shard on, its controller is taken not to serve the whole shard. */
        private const val WHOLE_SHARD_MACHINES = 3
    }
}
