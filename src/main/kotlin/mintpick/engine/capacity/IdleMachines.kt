package mintpick.engine.capacity

import mintpick.config.Operators
import mintpick.core.MachineId
import mintpick.core.Micros
import mintpick.engine.agents.MachineRegistry
import mintpick.engine.cache.KnownMachine
import mintpick.engine.runtime.EngineContext
import mintpick.wire.Retiring

/** Machines without tasks: how long they have been idle, and which of them are drained for it. Event-loop thread only. */
class IdleMachines(
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
        val due = dueForDraining(idle)
        val count = maxOf(MIN_DRAINED, due.size / DRAINED_PART)
        due.take(count).forEach { machineRegistry.markForScaleIn(it.id, Retiring.DRAIN, "idle") }
    }

    /** On-demand machines cost several times as much: beyond a few that may soon be needed again they go early. */
    private fun dueForDraining(idle: List<KnownMachine>): List<KnownMachine> {
        val (spot, onDemand) = idle.partition { it.record.spot }
        val early = onDemand.drop(KEPT_ON_DEMAND).filter { isIdleFor(it, operators.idleUs / EARLY_DIVISOR) }
        val usual = (onDemand.take(KEPT_ON_DEMAND) + spot).filter { isIdleFor(it, operators.idleUs) }
        return early + usual
    }

    private fun isIdleFor(
        known: KnownMachine,
        spanUs: Micros,
    ): Boolean = context.now - (idleSinceUs[known.id] ?: context.now) >= spanUs

    private companion object {
        const val MIN_DRAINED = 2

        /** One in so many of the machines that are due is drained at a time. */
        const val DRAINED_PART = 4
        const val EARLY_DIVISOR = 3
        const val KEPT_ON_DEMAND = 4
    }
}
