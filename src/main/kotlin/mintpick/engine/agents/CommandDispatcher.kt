package mintpick.engine.agents

import mintpick.core.AttemptId
import mintpick.core.MILLI
import mintpick.core.MachineId
import mintpick.core.MachineView
import mintpick.core.Micros
import mintpick.core.SECOND
import mintpick.engine.cache.Claim
import mintpick.engine.membership.ControllerHealth
import mintpick.engine.membership.ShardClaims
import mintpick.engine.runtime.EngineContext
import mintpick.net.Call
import mintpick.wire.Command
import mintpick.wire.CommandBatch
import mintpick.wire.MachineReport
import mintpick.wire.Verb
import mintpick.workers.WorkerProtocol

/**
 * Calls agents directly: sends commands without waiting for the next heartbeat, asks silent machines for their status, and
 * confirms machines that came under control. One call at a time to each machine. Event-loop thread only.
 */
internal class CommandDispatcher(
    private val context: EngineContext,
    private val shardClaims: ShardClaims,
    private val health: ControllerHealth,
    private val commandPlanner: CommandPlanner,
    private val index: AgentIndex,
    private val reachability: ReachabilityTracker,
) {
    /** The direct calls to one machine. */
    private class DirectCalls {
        var isInFlight = false

        /** A push was asked for while a call was in flight; it follows that call. */
        var isPushPending = false
        var confirmAfterUs: Micros = 0
    }

    private val callsByMachine = HashMap<MachineId, DirectCalls>()
    private var suspectCallsInFlight = 0
    private var nextTickUs: Micros = 0

    private val cache get() = context.cache

    /**
     * Sends [machine] the commands that it lacks without waiting for its next heartbeat; this also shows it our fencing token.
     * Does nothing if the machine is not under our control, can't be called now, or lacks nothing that is worth a call.
     */
    fun pushCommands(machine: MachineId) {
        val calls = callsByMachine[machine]
        if (calls != null && calls.isInFlight) {
            calls.isPushPending = true
            return
        }
        val claim = shardClaims.controlClaim(machine) ?: return
        if (!shardClaims.isOwn(claim) || !health.isHealthy() || index.isTerminated(machine)) return
        val view = index.viewOrCreate(machine)
        val address = addressOf(view) ?: return
        val commands = if (view.latest == null) emptyList() else commandPlanner.commandsFor(view, claim)
        if (mayWaitForHeartbeat(view, claim, commands)) return
        if (!mayCall(machine)) return
        send(view, address, CommandBatch(claim.version, view.session, commands))
    }

    /** What is only to be forgotten can wait, if the machine has shown the current fencing token. */
    private fun mayWaitForHeartbeat(
        view: MachineView,
        claim: Claim,
        commands: List<Command>,
    ): Boolean = commands.all { it.verb == Verb.FORGET } && !lacksCurrentToken(view, claim)

    private fun lacksCurrentToken(
        view: MachineView?,
        claim: Claim,
    ): Boolean = view?.latest == null || view.token < claim.version

    private fun send(
        view: MachineView,
        address: String,
        batch: CommandBatch,
    ) {
        val starts = CommandPlanner.startedAttempts(batch.commands)
        starts.forEach { view.startSent(it, batch.token, batch.session) }
        val call = WorkerProtocol.commands(address, batch, reachability.isSuspect(view.id))
        startCall(view.id, call) { result -> onBatchResult(view, batch, starts, result) }
    }

    /** Returns whether the agent showed its status. */
    private fun onBatchResult(
        view: MachineView,
        batch: CommandBatch,
        starts: Set<AttemptId>,
        result: WorkerProtocol.Result,
    ): Boolean {
        if (result == WorkerProtocol.Result.Unanswered) {
            starts.forEach(view::startLost)
        } else {
            starts.forEach(view::startSettled)
        }
        val report = statusIn(result)
        if (report != null) applyStatus(view, report)
        val isFromOtherSession = result is WorkerProtocol.Result.Dropped && report != null && report.session != batch.session
        if (takePendingPush(view.id) || isFromOtherSession) pushCommands(view.id)
        return report != null
    }

    private fun statusIn(result: WorkerProtocol.Result): MachineReport? =
        when (result) {
            is WorkerProtocol.Result.Executed -> result.report
            is WorkerProtocol.Result.Dropped -> result.report
            WorkerProtocol.Result.NotSent, WorkerProtocol.Result.Unanswered -> null
        }

    private fun applyStatus(
        view: MachineView,
        report: MachineReport,
    ) {
        val isNew = view.take(report, context.now, direct = true)
        if (isNew) index.onNewStatus(view, report)
    }

    private fun takePendingPush(machine: MachineId): Boolean {
        val calls = callsByMachine[machine] ?: return false
        return calls.isPushPending.also { calls.isPushPending = false }
    }

    /** Asks [machine], whose heartbeat is overdue, for its status; does nothing if it is unknown or can't be called now. */
    fun probe(machine: MachineId) {
        val view = index.view(machine) ?: return
        if (!isInFlight(machine) && mayCall(machine)) inspect(view) { }
    }

    /**
     * Asks a machine for its status, also if calls to it have failed lately. [then] is told whether it answered: at once with
     * false if its address is unknown or another call to it is in flight.
     */
    fun inspect(
        view: MachineView,
        then: (Boolean) -> Unit,
    ) {
        val address = addressOf(view)
        if (address == null || isInFlight(view.id)) return then(false)
        startCall(view.id, WorkerProtocol.inspect(address, reachability.isSuspect(view.id))) { result ->
            val report = (result as? WorkerProtocol.Result.Executed)?.report
            if (report != null) applyStatus(view, report)
            then(report != null)
            // What a machine lacks goes with the answer to its next heartbeat; where none comes, it is sent now.
            val isHeartbeatMissing = report != null && index.isHeartbeatOverdue(view)
            if (takePendingPush(view.id) || isHeartbeatMissing) pushCommands(view.id)
            report != null
        }
    }

    private fun addressOf(view: MachineView): String? = view.latest?.address ?: cache.machines[view.id]?.record?.address

    private fun isInFlight(machine: MachineId): Boolean = callsByMachine[machine]?.isInFlight == true

    /** Calls to machines that do not answer are few at a time and further and further apart. */
    private fun mayCall(machine: MachineId): Boolean {
        if (reachability.isSuspect(machine) && suspectCallsInFlight >= maxSuspectCalls(machine)) return false
        return reachability.mayRetry(machine)
    }

    /** Beyond a partition a few calls are enough to see when it ends; the rest would only take time and sockets. */
    private fun maxSuspectCalls(machine: MachineId): Int {
        val isZoneReachable = health.zoneReachableSince(cache.machines[machine]?.record?.zone) != null
        return if (isZoneReachable) MAX_SUSPECT_CALLS else MAX_CALLS_ACROSS_PARTITION
    }

    /** Starts a call; [onResult] says whether the agent answered, which is noted only after it has run. */
    private fun startCall(
        machine: MachineId,
        call: Call,
        onResult: (WorkerProtocol.Result) -> Boolean,
    ) {
        val calls = callsByMachine.getOrPut(machine) { DirectCalls() }
        calls.isInFlight = true
        val isSuspect = reachability.isSuspect(machine)
        if (isSuspect) suspectCallsInFlight++
        context.call(call) { outcome ->
            calls.isInFlight = false
            if (isSuspect) suspectCallsInFlight--
            val isAnswered = onResult(WorkerProtocol.read(outcome))
            if (isAnswered) reachability.onCallAnswered(machine) else reachability.onCallFailed(machine)
        }
    }

    /** Forgets [machine], which is terminated; a call to it that is in flight still counts as such until it ends. */
    fun forget(machine: MachineId) {
        val calls = callsByMachine[machine] ?: return
        if (calls.isInFlight) calls.confirmAfterUs = 0 else callsByMachine.remove(machine)
    }

    /**
     * To be called in each step: sends [touched] machines what changed for them; from time to time confirms machines that came
     * under control, raises the fencing token where a start was lost, and probes unreachable machines.
     */
    fun tick(touched: Collection<MachineId>) {
        touched.forEach { if (it in index.controlledMachines) pushCommands(it) }
        if (context.now < nextTickUs) return
        nextTickUs = context.now + TICK_INTERVAL
        commandPlanner.forgetObsoleteStops()
        if (reachability.isIsolatedFromAgents) probeUncontrolled()
        confirmControlled()
    }

    /** Hundreds of calls at once would keep users waiting: most machines confirm themselves with their next heartbeats. */
    private fun confirmControlled() {
        var confirmations = 0
        for (machine in index.controlledMachines) {
            val view = index.view(machine)
            val claim = shardClaims.controlClaim(machine) ?: continue
            if (view != null && hasLostStart(view)) shardClaims.raiseToken(machine, "lost-start")
            if (confirmations < MAX_CONFIRMATIONS && isConfirmationDue(machine, view, claim)) {
                confirmations++
                callsByMachine.getOrPut(machine) { DirectCalls() }.confirmAfterUs = context.now + CONFIRM_INTERVAL
                pushCommands(machine)
            } else if (reachability.isUnreachable(machine)) {
                probe(machine)
            }
        }
    }

    private fun hasLostStart(view: MachineView): Boolean = view.needsHigherToken && context.now - view.heardUs < RECENT_CONTACT

    private fun isConfirmationDue(
        machine: MachineId,
        view: MachineView?,
        claim: Claim,
    ): Boolean = lacksCurrentToken(view, claim) && context.now >= (callsByMachine[machine]?.confirmAfterUs ?: 0)

    /**
     * Probes a machine that another controller controls, drawn at random. With no machine left under our control nothing else
     * would show that the way to the agents is open again, and this controller would take no part for ever.
     */
    private fun probeUncontrolled() {
        val uncontrolled = cache.machines.keys.filter { it !in index.controlledMachines }
        if (uncontrolled.isEmpty()) return
        val machine = uncontrolled[context.random.nextInt(uncontrolled.size)]
        index.viewOrCreate(machine)
        probe(machine)
    }

    companion object {
        private const val TICK_INTERVAL: Micros = 200 * MILLI
        private const val MAX_CONFIRMATIONS = 10
        private const val CONFIRM_INTERVAL: Micros = SECOND
        private const val MAX_SUSPECT_CALLS = 32
        private const val MAX_CALLS_ACROSS_PARTITION = 4

        /** A token is raised only for a machine heard within this span: the lost start ends when the machine shows the higher token. */
        private const val RECENT_CONTACT: Micros = 5 * SECOND
    }
}
