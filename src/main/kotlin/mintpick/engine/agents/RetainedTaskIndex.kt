package mintpick.engine.agents

import mintpick.core.JobId
import mintpick.core.MachineId
import mintpick.core.MachineView
import mintpick.core.TaskId
import mintpick.wire.ExitCause

/**
 * Machines whose agents have to keep an ended attempt of an uncompleted task in their lists. A new attempt of such a task can't
 * start there before the agent has forgotten the earlier one. Event-loop thread only.
 */
internal class RetainedTaskIndex {
    private val tasksByMachine = HashMap<MachineId, Set<TaskId>>()
    private val machinesByJob = HashMap<JobId, HashMap<MachineId, MutableSet<Int>>>()

    /** Must be called when the status of a machine has changed. */
    fun update(view: MachineView) {
        val tasks = view.retainedAttempts.filter { view.taskReport(it)?.cause != ExitCause.DONE }.mapTo(HashSet()) { it.task }
        if (tasks == (tasksByMachine[view.id] ?: emptySet<TaskId>())) return
        remove(view.id)
        if (tasks.isEmpty()) return
        tasksByMachine[view.id] = tasks
        for (task in tasks) {
            machinesByJob.getOrPut(task.job) { HashMap() }.getOrPut(view.id) { HashSet() } += task.index
        }
    }

    /** Must be called when [machine] is terminated. */
    fun remove(machine: MachineId) {
        for (job in tasksByMachine.remove(machine).orEmpty().mapTo(HashSet()) { it.job }) {
            val machines = machinesByJob[job] ?: continue
            machines.remove(machine)
            if (machines.isEmpty()) machinesByJob.remove(job)
        }
    }

    /** Indexes of the tasks of [job] that can't start on a machine yet, by machine. */
    fun tasksOf(job: JobId): Map<MachineId, Set<Int>> = machinesByJob[job].orEmpty()
}
