package mintpick.engine.agents

import mintpick.core.MachineId
import mintpick.core.Micros
import mintpick.core.NodeId
import mintpick.core.SECOND
import mintpick.engine.membership.ControllerHealth
import mintpick.engine.membership.ShardClaims
import mintpick.engine.runtime.EngineContext

/**
 * Detects machines that are not served by the controllers that control them, from the misdirected heartbeats that their agents
 * keep sending to this controller. Times are microseconds of the monotonic clock. Event-loop thread only.
 */
internal class UnservedMachines(
    private val context: EngineContext,
    private val shardClaims: ShardClaims,
    private val health: ControllerHealth,
) {
    /** Heartbeats in short succession from a machine that another controller controls. */
    private class MisdirectedHeartbeats(
        var firstUs: Micros,
    ) {
        var lastUs = firstUs
        var count = 0
    }

    private val misdirectedByMachine = HashMap<MachineId, MisdirectedHeartbeats>()

    /** Machines of each shard that were recently found unserved, with the time at which each was last found so. */
    private val unservedUsByShard = HashMap<Int, HashMap<MachineId, Micros>>()

    /**
     * Records a heartbeat of [machine]; returns whether the machine is unserved. It is unserved if the claim that
     * controls it is settled and the claim's owner has sent no recent hint, or if its agent keeps sending heartbeats here and the
     * owner's hints show none from it. Always false while this controller is unhealthy or the owner has no lease. Must be called
     * once for each heartbeat whose agent waits for the answer.
     */
    fun recordHeartbeat(machine: MachineId): Boolean {
        val controller = shardClaims.controlClaim(machine)?.node
        if (!health.isHealthy() || controller == null || controller == context.self || !shardClaims.isLive(controller)) return false
        val misdirected = count(machine)
        // The agent tries a controller with a recent claim first: that controller has just written to the state store, even if its
        // hints don't arrive here. Without this rule, while controllers refused each other's connections, shards changed hands
        // repeatedly until agent leases expired.
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

    /** Records that [machine] of [shard] is unserved. */
    fun recordUnserved(
        machine: MachineId,
        shard: Int,
    ) {
        val unservedUs = unservedUsByShard.getOrPut(shard) { HashMap() }
        unservedUs[machine] = context.now
        unservedUs.values.removeIf { context.now - it > UNSERVED_RETENTION }
    }

    /** Whether the whole [shard] should be taken over from [controller], rather than a single machine. */
    fun isWholeShardUnserved(
        shard: Int,
        controller: NodeId,
    ): Boolean = (unservedUsByShard[shard]?.size ?: 0) >= WHOLE_SHARD_MACHINES || !health.hasRecentHint(controller)

    /** Removes the misdirected heartbeats of [machine], which is now served by this controller or terminated. */
    fun forget(machine: MachineId) {
        misdirectedByMachine.remove(machine)
    }

    companion object {
        private const val MIN_MISDIRECTIONS = 2
        private const val MIN_MISDIRECTION_SPAN: Micros = 3 * SECOND
        private const val MISDIRECTION_RETENTION: Micros = 15 * SECOND
        private const val UNSERVED_RETENTION: Micros = 8 * SECOND

        /** Minimum number of unserved machines of a shard for the whole shard to be considered unserved. */
        private const val WHOLE_SHARD_MACHINES = 3
    }
}
