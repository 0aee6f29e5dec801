package mintpick.engine.agents

import mintpick.core.MachineView
import mintpick.engine.cache.Claim
import mintpick.engine.membership.ControllerHealth
import mintpick.engine.membership.ShardClaims
import mintpick.engine.runtime.EngineContext
import mintpick.engine.state.StateStoreClient
import mintpick.net.Answer
import mintpick.net.errorAnswer
import mintpick.wire.Command
import mintpick.wire.MachineReport
import mintpick.wire.Misdirected
import mintpick.wire.ReportAnswer
import mintpick.wire.WireJson

/** What the answer to a heartbeat may do. */
internal enum class AnswerScope {
    /** It goes to a late copy, so nobody reads it: it must not count as a renewal of the agent's lease. */
    UNREAD,

    /** It renews the lease, and carries stops of cancelled tasks alone. */
    STOPS_ONLY,

    /** It renews the lease and carries all commands that the machine lacks. */
    ALL_COMMANDS,
}

/**
 * The answers to heartbeats: commands to machines under this controller's control, redirects for those of others, and in a
 * partition answers on behalf of a controller that is cut off. Event-loop thread only.
 */
internal class HeartbeatAnswers(
    private val context: EngineContext,
    private val stateStore: StateStoreClient,
    private val shardClaims: ShardClaims,
    private val health: ControllerHealth,
    private val commandPlanner: CommandPlanner,
    private val index: AgentIndex,
    private val unservedMachines: UnservedMachines,
) {
    /** The answer to [report]: 200 with commands, 421 with the controller to turn to if it is known, or 503 while loading. */
    fun answer(
        view: MachineView,
        report: MachineReport,
        scope: AnswerScope,
    ): Answer {
        val claim = shardClaims.controlClaim(view.id)
        if (!stateStore.hasLoaded || claim == null) return errorAnswer(UNAVAILABLE, "not ready")
        if (claim.node != context.self) return answerUncontrolled(view, report, claim, scope)
        if (claim.version < report.token) {
            // Either a borrowing has ended, or another controller has taken over and we do not know it yet.
            shardClaims.raiseToken(view.id, "seen-higher")
            return misdirected()
        }
        if (!health.mayAnswerAgents()) return misdirected()
        unservedMachines.forget(view.id)
        return answerControlled(view, claim, scope)
    }

    private fun answerControlled(
        view: MachineView,
        claim: Claim,
        scope: AnswerScope,
    ): Answer {
        val carriesAll = scope == AnswerScope.ALL_COMMANDS
        // Our earlier process may have left starts under way that only the next token ends: until then stops alone are sent.
        val commands =
            if (carriesAll && shardClaims.isOwn(claim)) {
                commandPlanner.commandsForAnswer(view, claim)
            } else {
                commandPlanner.stopsOfCancelledTasks(view)
            }
        if (carriesAll) view.answeredWith(CommandPlanner.startedAttempts(commands))
        if (scope != AnswerScope.UNREAD) view.answeredReport(context.now)
        return accepted(claim, commands)
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
     * In a partition that cuts off our zone we keep the leases of other controllers' machines here alive, with their fencing
     * tokens, and start nothing. Only tasks that were cancelled before the partition are stopped.
     */
    private fun answerOnBehalf(
        view: MachineView,
        claim: Claim,
    ): Answer {
        view.answeredReport(context.now)
        return accepted(claim, commandPlanner.stopsOfCancelledTasks(view))
    }

    private fun accepted(
        claim: Claim,
        commands: List<Command>,
    ): Answer {
        val body = WireJson.encodeToString(ReportAnswer.serializer(), ReportAnswer(claim.version, commands))
        return Answer(OK, body.encodeToByteArray(), closes = closesConnection())
    }

    /**
     * Agents keep up to two fifths of the sockets. With more of them than that, some connect anew with each heartbeat, drawn
     * at random, so that users, health checks, other controllers and our own calls always find a socket.
     */
    private fun closesConnection(): Boolean {
        val kept = context.settings.resources.maxConnections * 2 / 5
        val agents = index.controlledMachines.size
        return kept in 1 until agents && context.random.nextInt(agents) >= kept
    }

    private fun redirect(claim: Claim): Answer = misdirected(if (shardClaims.isLive(claim.node)) claim.node.text else null)

    /** The answer of a controller that does not serve the machine; [controller] is the one to turn to, null if it is unknown. */
    fun misdirected(controller: String? = null): Answer =
        Answer.json(MISDIRECTED, WireJson.encodeToString(Misdirected.serializer(), Misdirected(controller)))

    companion object {
        private const val OK = 200
        private const val MISDIRECTED = 421
        private const val UNAVAILABLE = 503
    }
}
