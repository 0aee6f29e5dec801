package mintpick.engine.agents

import mintpick.core.MachineView
import mintpick.engine.cache.Claim
import mintpick.engine.membership.ControllerHealth
import mintpick.engine.membership.ShardClaims
import mintpick.engine.runtime.EngineContext
import mintpick.engine.runtime.HeartbeatOutcome
import mintpick.engine.state.StateStoreClient
import mintpick.net.Answer
import mintpick.net.errorAnswer
import mintpick.wire.Command
import mintpick.wire.MAX_COMMANDS
import mintpick.wire.MachineReport
import mintpick.wire.Misdirected
import mintpick.wire.ReportAnswer
import mintpick.wire.WireJson

/** What the answer to a heartbeat may contain, and whether it counts as a renewal of the agent's lease. */
internal enum class AnswerScope {
    /** The heartbeat is a delayed copy, so no agent reads the answer: it must not count as a renewal of the agent's lease. */
    UNREAD,

    /** Renews the lease and contains only stops of cancelled tasks. */
    STOPS_ONLY,

    /** Renews the lease and contains all outstanding commands. */
    ALL_COMMANDS,
}

/**
 * Builds the answers to heartbeats: commands for machines that this controller controls and redirects for other machines. In a
 * network partition also answers on behalf of controllers that the agents can't reach. Event-loop thread only.
 */
internal class HeartbeatAnswers(
    private val context: EngineContext,
    private val stateStore: StateStoreClient,
    private val shardClaims: ShardClaims,
    private val health: ControllerHealth,
    private val commandPlanner: CommandPlanner,
    private val unservedMachines: UnservedMachines,
) {
    /**
     * The answer to the heartbeat [report]:
     * - 200 with commands if this controller controls the machine. It contains only stops if [scope] is not
     *   [AnswerScope.ALL_COMMANDS], if the claim is of an earlier process, or on behalf of the machine's controller.
     * - 421 with the machine's controller, or without a name if that controller has no lease. 421 without a name also while this
     *   controller may not renew leases, or if the agent has already received a higher fencing token.
     * - 503 while the records are being loaded or no claim gives control of the machine.
     */
    fun answer(
        view: MachineView,
        report: MachineReport,
        scope: AnswerScope,
    ): Answer {
        val claim = shardClaims.controlClaim(view.id)
        if (!stateStore.hasLoaded || claim == null) return notReady()
        if (claim.node != context.self) return answerUncontrolled(view, report, claim, scope)
        if (claim.version < report.token) {
            // Either a borrowing has ended, or another controller has taken over and the cached records don't show it yet.
            shardClaims.raiseToken(view.id, "seen-higher")
            return misdirected(HeartbeatOutcome.HIGHER_TOKEN)
        }
        if (!health.mayAnswerAgents()) return misdirected(HeartbeatOutcome.MAY_NOT_RENEW)
        unservedMachines.forget(view.id)
        return answerControlled(view, claim, scope)
    }

    private fun notReady(): Answer {
        context.metrics.recordHeartbeat(HeartbeatOutcome.NOT_READY)
        return errorAnswer(UNAVAILABLE, "not ready")
    }

    private fun answerControlled(
        view: MachineView,
        claim: Claim,
        scope: AnswerScope,
    ): Answer {
        context.metrics.recordHeartbeat(outcomeOf(scope))
        val carriesAll = scope == AnswerScope.ALL_COMMANDS
        // Starts sent by an earlier process of this controller may still arrive until the token is raised. Until then only
        // stops are sent.
        val commands =
            if (carriesAll && shardClaims.isOwn(claim)) {
                commandPlanner.commandsForAnswer(view, claim)
            } else {
                commandPlanner.stopsOfCancelledTasks(view)
            }
        // A message that is full may have left others waiting, which are sent directly.
        if (commands.size >= MAX_COMMANDS) context.cache.changedMachines += view.id
        if (carriesAll) view.recordStartsInAnswer(CommandPlanner.startedAttempts(commands))
        if (scope != AnswerScope.UNREAD) view.recordHeartbeatAnswered(context.now)
        return accepted(claim, commands)
    }

    private fun outcomeOf(scope: AnswerScope): HeartbeatOutcome =
        when (scope) {
            AnswerScope.UNREAD -> HeartbeatOutcome.DELAYED_COPY
            AnswerScope.STOPS_ONLY -> HeartbeatOutcome.STOPS_ONLY
            AnswerScope.ALL_COMMANDS -> HeartbeatOutcome.COMMANDS
        }

    private fun answerUncontrolled(
        view: MachineView,
        report: MachineReport,
        claim: Claim,
        scope: AnswerScope,
    ): Answer {
        val isRead = scope != AnswerScope.UNREAD
        return if (isRead && mayAnswerOnBehalf(report, claim)) answerOnBehalf(view, claim) else redirect(claim)
    }

    private fun mayAnswerOnBehalf(
        report: MachineReport,
        claim: Claim,
    ): Boolean = report.zone == context.settings.zone && claim.version >= report.token && health.mayAnswerAgentsOf(claim.node)

    /**
     * Renews the lease of another controller's machine in this zone while a network partition isolates the zone. The answer has
     * that controller's fencing token, starts nothing, and stops only tasks that were cancelled before the partition.
     */
    private fun answerOnBehalf(
        view: MachineView,
        claim: Claim,
    ): Answer {
        context.metrics.recordHeartbeat(HeartbeatOutcome.ON_BEHALF)
        view.recordHeartbeatAnswered(context.now)
        return accepted(claim, commandPlanner.stopsOfCancelledTasks(view))
    }

    private fun accepted(
        claim: Claim,
        commands: List<Command>,
    ): Answer = Answer.json(OK, WireJson.encodeToString(ReportAnswer.serializer(), ReportAnswer(claim.version, commands)))

    private fun redirect(claim: Claim): Answer =
        misdirected(HeartbeatOutcome.REDIRECTED, if (shardClaims.isLive(claim.node)) claim.node.text else null)

    /** The answer of a controller that does not serve the machine; [controller] is the one that does, or null if it is unknown. */
    fun misdirected(
        outcome: HeartbeatOutcome,
        controller: String? = null,
    ): Answer {
        context.metrics.recordHeartbeat(outcome)
        return Answer.json(MISDIRECTED, WireJson.encodeToString(Misdirected.serializer(), Misdirected(controller)))
    }

    companion object {
        private const val OK = 200
        private const val MISDIRECTED = 421
        private const val UNAVAILABLE = 503
    }
}
