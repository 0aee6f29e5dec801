package mintpick.engine.jobs

import mintpick.core.MachineId
import mintpick.core.Resources
import mintpick.engine.transactions.MachineDemand

/** Resources of machines that placements in flight take: the records do not show them yet. Event-loop thread only. */
internal class MachineReservations {
    private val reserved = HashMap<MachineId, Resources>()

    /** What is reserved on [machine]. */
    fun reservedOn(machine: MachineId): Resources = reserved[machine] ?: Resources.ZERO

    /** Reserves what placements take that have been sent. */
    fun reserve(demands: List<MachineDemand>) = demands.forEach { set(it.machine, reservedOn(it.machine) + it.demand) }

    /** Releases what placements took whose outcome is known, or known to stay unknown. */
    fun release(demands: List<MachineDemand>) = demands.forEach { set(it.machine, reservedOn(it.machine) - it.demand) }

    private fun set(
        machine: MachineId,
        amount: Resources,
    ) {
        val isZero = amount.cpus <= Resources.EPSILON && amount.memoryGb <= Resources.EPSILON
        if (isZero) reserved.remove(machine) else reserved[machine] = amount
    }
}
