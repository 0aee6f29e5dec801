package mintpick.engine.agents

import mintpick.core.MachineId
import mintpick.core.MachineView
import mintpick.engine.membership.ShardClaims
import mintpick.engine.runtime.EngineContext
import mintpick.engine.runtime.HeartbeatOutcome
import mintpick.engine.runtime.ReplyTo
import mintpick.wire.MachineReport

/** Handles and answers heartbeats, and takes over machines that are not served by their controllers. Event-loop thread only. */
internal class HeartbeatHandler(
    private val context: EngineContext,
    private val shardClaims: ShardClaims,
    private val index: AgentIndex,
    private val reachability: ReachabilityTracker,
    private val dispatcher: CommandDispatcher,
    private val unservedMachines: UnservedMachines,
    private val answers: HeartbeatAnswers,
) {
    /** Handles the heartbeat [report]. [reply] is answered immediately, or when the takeover of the machine has been decided. */
    fun onHeartbeat(
        report: MachineReport,
        reply: ReplyTo,
    ) {
        val machine = MachineId(report.machine)
        if (index.isTerminated(machine)) return context.send(reply, answers.misdirected(HeartbeatOutcome.TERMINATED))
        shardClaims.register(machine, report.zone)
        val view = index.viewOrCreate(machine)
        val isAwaited = view.recordHeartbeat(report)
        val isNewest = view.applyStatus(report, context.now, isDirectAnswer = false)
        if (isNewest) index.onNewStatus(view, report)
        if (isAwaited) reachability.onHeartbeatFrom(report.zone)
        if (isAwaited && unservedMachines.recordHeartbeat(machine)) {
            takeOver(view, report, reply)
        } else {
            context.send(reply, answers.answer(view, report, scopeOf(isAwaited, isNewest)))
        }
    }

    private fun scopeOf(
        isAwaited: Boolean,
        isNewest: Boolean,
    ): AnswerScope =
        when {
            !isAwaited -> AnswerScope.UNREAD
            isNewest -> AnswerScope.ALL_COMMANDS
            else -> AnswerScope.STOPS_ONLY
        }

    /**
     * Takes over a machine that its controller does not serve. The heartbeat is answered only after a call to the agent and the
     * write that transfers control: an agent that is redirected instead would spend the rest of its lease on controllers that
     * it can't reach. The call shows that commands reach the machine, so the heartbeat is not a delayed copy and connectivity
     * is not limited to the direction of heartbeats.
     */
    private fun takeOver(
        view: MachineView,
        report: MachineReport,
        reply: ReplyTo,
    ) {
        val machine = view.id
        val shard = shardClaims.shard(machine)
        val controller = shardClaims.controlClaim(machine)?.node
        if (shard == null || controller == null) return context.send(reply, answers.misdirected(HeartbeatOutcome.REDIRECTED))
        unservedMachines.recordUnserved(machine, shard)
        dispatcher.inspect(view) { isReached ->
            if (isReached) {
                val isWholeShard = unservedMachines.isWholeShardUnserved(shard, controller)
                shardClaims.takeOver(machine, isWholeShard, controller, "unserved") {
                    val isNewest = view.latestStatus === report
                    context.send(reply, answers.answer(view, report, scopeOf(isAwaited = true, isNewest)))
                }
            } else {
                // The agent waits for the answer, but commands don't reach it, so nothing is started on it.
                context.send(reply, answers.answer(view, report, AnswerScope.STOPS_ONLY))
            }
        }
    }
}
