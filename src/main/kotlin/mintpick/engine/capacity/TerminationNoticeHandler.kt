package mintpick.engine.capacity

import mintpick.core.AttemptId
import mintpick.core.MachineView
import mintpick.engine.agents.AgentRegistry
import mintpick.engine.agents.CommandPlanner
import mintpick.engine.agents.MachineRegistry
import mintpick.engine.membership.ShardClaims
import mintpick.engine.runtime.EngineContext
import mintpick.wire.Retiring
import mintpick.wire.TaskReport
import mintpick.wire.TaskState

/** Drains machines that have received a termination notice from the cloud. Event-loop thread only. */
class TerminationNoticeHandler(
    private val context: EngineContext,
    private val shardClaims: ShardClaims,
    private val agents: AgentRegistry,
    private val machineRegistry: MachineRegistry,
    private val commandPlanner: CommandPlanner,
) {
    private val cache get() = context.cache

    /** Marks machines with a notice as draining and sends their stop commands at once, without waiting for the next heartbeat. */
    fun drain() {
        for (view in agents.views()) {
            if (!hasNotice(view)) continue
            val retiring = cache.machines[view.id]?.record?.retiring
            if (retiring == Retiring.NO) machineRegistry.markForScaleIn(view.id, Retiring.DRAIN, "notice")
            if (hasTasksToStop(view)) agents.pushCommands(view.id)
        }
    }

    private fun hasNotice(view: MachineView): Boolean =
        view.noticeEndsUs != null &&
            shardClaims.controls(view.id) &&
            commandPlanner.hasTerminationNotice(view, shardClaims.controlClaim(view.id))

    private fun hasTasksToStop(view: MachineView): Boolean = view.reportedAttempts.any { (attempt, task) -> mustStop(view, attempt, task) }

    private fun mustStop(
        view: MachineView,
        attempt: AttemptId,
        task: TaskReport,
    ): Boolean {
        val isEnding = task.state == TaskState.EXITED || task.state == TaskState.SAVING
        return !isEnding && cache.tasksOn(view.id)[attempt.task] == attempt.attempt
    }
}
