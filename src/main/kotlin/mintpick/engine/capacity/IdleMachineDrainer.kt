package mintpick.engine.capacity

import mintpick.config.Operators
import mintpick.core.MachineId
import mintpick.core.Micros
import mintpick.engine.agents.MachineRegistry
import mintpick.engine.cache.KnownMachine
import mintpick.engine.runtime.EngineContext
import mintpick.wire.Retiring

/** Machines without tasks: how long they have been idle, and which of them are drained for it. Event-loop thread only. */
class IdleMachineDrainer(
    private val context: EngineContext,
    private val machineRegistry: MachineRegistry,
    private val operators: Operators,
) {
    private val idleSinceUs = HashMap<MachineId, Micros>()

    private val cache get() = context.cache

    /** Takes note of the machines that are idle now. */
    fun update() {
        for (id in cache.machines.keys) {
            if (cache.tasksOn(id).isEmpty()) idleSinceUs.putIfAbsent(id, context.now) else idleSinceUs.remove(id)
        }
        idleSinceUs.keys.retainAll(cache.machines.keys)
    }

    /** Drains some of those [unused] machines, which no demand needs, that have been idle for long enough. */
    fun drainUnused(unused: Set<MachineId>) {
        // One whose mark waits to be written would be picked again and again, and keep the others from being drained.
        val idle =
            unused
                .mapNotNull { cache.machines[it] }
                .filterNot { machineRegistry.hasPendingScaleIn(it.id) }
                .sortedBy { it.id.text }
        val due = machinesDue(idle)
        val count = maxOf(MIN_DRAIN_BATCH, due.size / DRAIN_BATCH_DIVISOR)
        due.take(count).forEach { machineRegistry.markForScaleIn(it.id, Retiring.DRAIN, "idle") }
    }

    /** On-demand machines cost several times as much: beyond a few that may soon be needed again they go early. */
    private fun machinesDue(idle: List<KnownMachine>): List<KnownMachine> {
        val (spot, onDemand) = idle.partition { it.record.spot }
        val early = onDemand.drop(ON_DEMAND_RESERVE).filter { isIdleFor(it, operators.idleUs / ON_DEMAND_IDLE_DIVISOR) }
        val usual = (onDemand.take(ON_DEMAND_RESERVE) + spot).filter { isIdleFor(it, operators.idleUs) }
        return early + usual
    }

    private fun isIdleFor(
        machine: KnownMachine,
        durationUs: Micros,
    ): Boolean = context.now - (idleSinceUs[machine.id] ?: context.now) >= durationUs

    private companion object {
        const val MIN_DRAIN_BATCH = 2

        /** One in so many of the machines that are due is drained at a time. */
        const val DRAIN_BATCH_DIVISOR = 4
        const val ON_DEMAND_IDLE_DIVISOR = 3
        const val ON_DEMAND_RESERVE = 4
    }
}
