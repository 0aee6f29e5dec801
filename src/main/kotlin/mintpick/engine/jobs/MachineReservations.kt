package mintpick.engine.jobs

import mintpick.core.MachineId
import mintpick.core.Resources
import mintpick.engine.transactions.MachineDemand

/** Resources of machines taken by placements in flight, which the cached records do not show yet. Event-loop thread only. */
internal class MachineReservations {
    private val reserved = HashMap<MachineId, Resources>()

    /** Resources reserved on [machine]. */
    fun reservedOn(machine: MachineId): Resources = reserved[machine] ?: Resources.ZERO

    /** Reserves the resources of placements that have been sent. */
    fun reserve(demands: List<MachineDemand>) = demands.forEach { set(it.machine, reservedOn(it.machine) + it.demand) }

    /** Releases the resources of placements whose transaction has committed, failed or ended with an unknown outcome. */
    fun release(demands: List<MachineDemand>) = demands.forEach { set(it.machine, reservedOn(it.machine) - it.demand) }

    private fun set(
        machine: MachineId,
        amount: Resources,
    ) {
        val isZero = amount.cpus <= Resources.EPSILON && amount.memoryGb <= Resources.EPSILON
        if (isZero) reserved.remove(machine) else reserved[machine] = amount
    }
}
