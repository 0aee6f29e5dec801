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
    private class Misdirections(
        var firstUs: Micros,
    ) {
        var lastUs = firstUs
        var count = 0
    }

    private val misdirectionsByMachine = HashMap<MachineId, Misdirections>()

    /** By shard, when a machine of it was last found unserved. */
    private val foundUsByShard = HashMap<Int, HashMap<MachineId, Micros>>()

    /**
     * Counts a heartbeat and says whether its machine is unserved: its agent keeps coming although it was sent to its
     * controller, or that controller is silent to us too. Ask once for each heartbeat that an agent waits on.
     */
    fun isUnserved(machine: MachineId): Boolean {
        val controller = shardClaims.control(machine)?.node
        if (!health.isHealthy() || controller == null || controller == context.self || !shardClaims.isLive(controller)) return false
        val seen = count(machine)
        // Whoever has just claimed it is alive to the state service, though we may not hear them: they are tried first.
        // While controllers refused each other's connections, shards once went back and forth until leases expired.
        val isControllerSilent = shardClaims.isSettled(machine) && !health.hears(controller)
        val isUnserved = isControllerSilent || (keepsComing(seen) && !health.heardElsewhere(machine, controller))
        if (isUnserved) seen.count = 0
        return isUnserved
    }

    private fun count(machine: MachineId): Misdirections {
        val seen = misdirectionsByMachine.getOrPut(machine) { Misdirections(context.now) }
        if (context.now - seen.lastUs > MISDIRECTION_MEMORY) {
            seen.firstUs = context.now
            seen.count = 0
        }
        seen.lastUs = context.now
        seen.count++
        return seen
    }

    private fun keepsComing(seen: Misdirections): Boolean =
        seen.count >= MIN_MISDIRECTIONS && context.now - seen.firstUs > MIN_MISDIRECTION_SPAN

    /** Notes that [machine] of [shard] was found unserved. */
    fun found(
        machine: MachineId,
        shard: Int,
    ) {
        val foundUs = foundUsByShard.getOrPut(shard) { HashMap() }
        foundUs[machine] = context.now
        foundUs.values.removeIf { context.now - it > FOUND_MEMORY }
    }

    /** Whether all of [shard] should be taken over from [controller], and not one machine alone. */
    fun isWholeShardUnserved(
        shard: Int,
        controller: NodeId,
    ): Boolean = (foundUsByShard[shard]?.size ?: 0) >= WHOLE_SHARD_MACHINES || !health.hears(controller)

    /** Forgets the misdirected heartbeats of [machine]: it is served by us, or terminated. */
    fun forget(machine: MachineId) {
        misdirectionsByMachine.remove(machine)
    }

    companion object {
        private const val MIN_MISDIRECTIONS = 2
        private const val MIN_MISDIRECTION_SPAN: Micros = 3 * SECOND
        private const val MISDIRECTION_MEMORY: Micros = 15 * SECOND
        private const val FOUND_MEMORY: Micros = 8 * SECOND

        /** From so many unserved machines of a shard on, its controller is taken not to serve the whole shard. */
        private const val WHOLE_SHARD_MACHINES = 3
    }
}
