package mintpick.engine.capacity

import mintpick.config.Operators
import mintpick.core.MachineId
import mintpick.core.Micros
import mintpick.engine.agents.MachineRegistry
import mintpick.engine.cache.KnownMachine
import mintpick.engine.runtime.EngineContext
import mintpick.wire.Retiring

/** Tracks how long machines have had no tasks, and drains those that are idle for too long. Event-loop thread only. */
class IdleMachineDrainer(
    private val context: EngineContext,
    private val machineRegistry: MachineRegistry,
    private val operators: Operators,
) {
    private val idleSinceUs = HashMap<MachineId, Micros>()

    private val cache get() = context.cache

    /** Updates since when each machine has been idle. */
    fun update() {
        for (id in cache.machines.keys) {
            if (cache.tasksOn(id).isEmpty()) idleSinceUs.putIfAbsent(id, context.now) else idleSinceUs.remove(id)
        }
        idleSinceUs.keys.retainAll(cache.machines.keys)
    }

    /** Drains some of the [unused] machines, which no demand needs, if they have been idle for long enough. */
    fun drainUnused(unused: Set<MachineId>) {
        // Machines with an unwritten scale-in mark are skipped: they would be selected every time and block the others.
        val idle =
            unused
                .mapNotNull { cache.machines[it] }
                .filterNot { machineRegistry.hasPendingScaleIn(it.id) }
                .sortedBy { it.id.text }
        val due = machinesDue(idle)
        val count = maxOf(MIN_DRAIN_BATCH, due.size / DRAIN_BATCH_DIVISOR)
        due.take(count).forEach { machineRegistry.markForScaleIn(it.id, Retiring.DRAIN, "idle") }
    }

    /** Idle machines to drain. On-demand machines cost several times as much as spot ones, so all but a small reserve are due earlier. */
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

        /** The number of due machines is divided by this to get the number drained at a time. */
        const val DRAIN_BATCH_DIVISOR = 4
        const val ON_DEMAND_IDLE_DIVISOR = 3

        /** On-demand machines that are kept idle as long as spot machines, because they may soon be needed again. */
        const val ON_DEMAND_RESERVE = 4
    }
}
