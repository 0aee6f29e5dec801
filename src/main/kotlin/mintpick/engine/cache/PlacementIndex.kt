package mintpick.engine.cache

import mintpick.core.Job
import mintpick.core.MachineId
import mintpick.core.Placement
import mintpick.core.Resources
import mintpick.core.TaskId
import mintpick.core.demand
import mintpick.core.isProduction
import mintpick.core.isService

/**
 * Index of the placed tasks of all jobs and of the resources that they use, by machine and by team. Each machine whose tasks
 * change is added to [changed].
 */
internal class PlacementIndex(
    private val changed: MutableSet<MachineId>,
) {
    private class MachineLoad {
        /** Attempts by task. */
        val tasks = HashMap<TaskId, Int>()
        var used = Resources.ZERO
        var usedByServices = Resources.ZERO
    }

    private val loads = HashMap<MachineId, MachineLoad>()
    private val usedByTeam = HashMap<String, Resources>()

    /** Number of placed tasks of all jobs. */
    var taskCount = 0
        private set

    /** Machines that tasks are placed on. */
    val machines: Set<MachineId> get() = loads.keys

    /** Tasks placed on [machine], with their attempts. */
    fun tasksOn(machine: MachineId): Map<TaskId, Int> = loads[machine]?.tasks ?: emptyMap()

    /** Resources used by the tasks on [machine]. */
    fun usedOn(machine: MachineId): Resources = loads[machine]?.used ?: Resources.ZERO

    /** Resources used on [machine] by services and production work. */
    fun usedByServicesOn(machine: MachineId): Resources = loads[machine]?.usedByServices ?: Resources.ZERO

    /** Resources used by the placed tasks of [team]. */
    fun usedBy(team: String): Resources = usedByTeam[team] ?: Resources.ZERO

    /** Adds the placements of [job]. */
    fun add(job: Job) = account(job, 1)

    /** Removes the placements of [job], which must be the same as when they were added. */
    fun remove(job: Job) = account(job, -1)

    private fun account(
        job: Job,
        sign: Int,
    ) {
        val perTask = job.spec.demand * sign.toDouble()
        var count = 0
        for ((task, placement) in job.placements()) {
            count++
            changed += placement.machine
            val load = loads.getOrPut(placement.machine) { MachineLoad() }
            load.accountTask(TaskId(job.id, task), placement, sign)
            if (load.tasks.isEmpty()) {
                // Removed with the last task, so that rounding errors of the sums do not persist.
                loads.remove(placement.machine)
                continue
            }
            load.used += perTask
            if (job.spec.isService || job.spec.isProduction) load.usedByServices += perTask
        }
        if (count == 0) return
        taskCount += sign * count
        val team = job.spec.team
        usedByTeam[team] = usedBy(team) + job.spec.demand * (sign * count).toDouble()
    }

    private fun MachineLoad.accountTask(
        task: TaskId,
        placement: Placement,
        sign: Int,
    ) {
        if (sign > 0) {
            tasks[task] = placement.attempt
        } else {
            tasks.remove(task)
        }
    }
}
