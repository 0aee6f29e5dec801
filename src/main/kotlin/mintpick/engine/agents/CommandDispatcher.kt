package mintpick.engine.agents

import mintpick.agents.AgentProtocol
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
import mintpick.wire.MAX_COMMANDS
import mintpick.wire.MachineReport
import mintpick.wire.Verb

/**
 * Calls agents directly: sends commands without waiting for the next heartbeat, requests the status of machines whose
 * heartbeat is overdue, and confirms acquired machines. At most one call is in flight to each machine. Event-loop thread only.
 */
internal class CommandDispatcher(
    private val context: EngineContext,
    private val shardClaims: ShardClaims,
    private val health: ControllerHealth,
    private val commandPlanner: CommandPlanner,
    private val index: AgentIndex,
    private val reachability: ReachabilityTracker,
    private val retention: AttemptRetention,
) {
    /** State of the direct calls to one machine. */
    private class DirectCalls {
        var isInFlight = false

        /** Whether commands are to be pushed when the call in flight ends. */
        var isPushPending = false
        var confirmAfterUs: Micros = 0
    }

    private val callsByMachine = HashMap<MachineId, DirectCalls>()
    private var suspectCallsInFlight = 0
    private var nextTickUs: Micros = 0

    private val cache get() = context.cache

    /**
     * Sends [machine] its outstanding commands and this controller's fencing token without waiting for its next heartbeat. Does
     * nothing if this controller does not control the machine, if the machine can't be called now, or if the commands can wait
     * for the next heartbeat. If a call to the machine is in flight, the commands follow it.
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
        val commands = if (view.latestStatus == null) emptyList() else directCommandsFor(view, claim)
        if (mayWaitForHeartbeat(view, claim, commands)) return
        if (!mayCall(machine)) return
        send(view, address, CommandBatch(claim.version, view.agentEpoch, commands))
    }

    /** The outstanding commands without those that have to wait for the next heartbeat. */
    private fun directCommandsFor(
        view: MachineView,
        claim: Claim,
    ): List<Command> {
        val commands = commandPlanner.commandsFor(view, claim)
        return if (retention.allowsDirectStarts(view)) commands else commands.filter { it.verb != Verb.START }
    }

    /** Whether [commands] only forget attempts and the agent need not be sent the current fencing token at once. */
    private fun mayWaitForHeartbeat(
        view: MachineView,
        claim: Claim,
        commands: List<Command>,
    ): Boolean = commands.all { it.verb == Verb.REMOVE } && !needsCurrentToken(view, claim)

    /**
     * Whether the agent has to show the current fencing token soon: for proof that it obeys this controller, that a start can't be
     * executed any more, or to forget an attempt that is in the way of a start. Otherwise the next heartbeat suffices.
     */
    private fun needsCurrentToken(
        view: MachineView?,
        claim: Claim,
    ): Boolean {
        if (view?.latestStatus == null) return true
        if (view.token >= claim.version) return false
        return !index.isConfirmed(view) || view.needsHigherToken || retention.isStartBlocked(view.id)
    }

    private fun send(
        view: MachineView,
        address: String,
        batch: CommandBatch,
    ) {
        val starts = CommandPlanner.startedAttempts(batch.commands)
        starts.forEach { view.recordStartSent(it, batch.token, batch.agentEpoch) }
        val call = AgentProtocol.commands(address, batch, reachability.isSuspect(view.id))
        startCall(view.id, call) { result -> onBatchResult(view, batch, starts, result) }
    }

    /** Applies the result of a command batch; returns whether the agent returned its status. */
    private fun onBatchResult(
        view: MachineView,
        batch: CommandBatch,
        starts: Set<AttemptId>,
        result: AgentProtocol.Result,
    ): Boolean {
        when (result) {
            AgentProtocol.Result.Unknown, is AgentProtocol.Result.AnsweredByOther -> starts.forEach(view::recordStartTimeout)
            is AgentProtocol.Result.Executed -> starts.forEach(view::recordStartExecuted)
            is AgentProtocol.Result.Refused, AgentProtocol.Result.NotSent -> starts.forEach(view::recordStartNotExecuted)
        }
        val report = statusIn(result)
        if (report != null) applyStatus(view, report)
        val isFromOtherEpoch = result is AgentProtocol.Result.Refused && report != null && report.agentEpoch != batch.agentEpoch
        // A message that is full may have left others waiting.
        val wasFull = result is AgentProtocol.Result.Executed && batch.commands.size >= MAX_COMMANDS
        if (takePendingPush(view.id) || isFromOtherEpoch || wasFull) pushCommands(view.id)
        return report != null
    }

    private fun statusIn(result: AgentProtocol.Result): MachineReport? =
        when (result) {
            is AgentProtocol.Result.Executed -> result.report
            is AgentProtocol.Result.Refused -> result.report
            is AgentProtocol.Result.AnsweredByOther, AgentProtocol.Result.NotSent, AgentProtocol.Result.Unknown -> null
        }

    private fun applyStatus(
        view: MachineView,
        report: MachineReport,
    ) {
        val isNew = view.applyStatus(report, context.now, isDirectAnswer = true)
        if (isNew) index.onNewStatus(view, report)
    }

    private fun takePendingPush(machine: MachineId): Boolean {
        val calls = callsByMachine[machine] ?: return false
        return calls.isPushPending.also { calls.isPushPending = false }
    }

    /** Requests the status of [machine], whose heartbeat is overdue. Does nothing if it is unknown or can't be called now. */
    fun probe(machine: MachineId) {
        val view = index.view(machine) ?: return
        if (!isInFlight(machine) && mayCall(machine)) inspect(view) { }
    }

    /**
     * Requests the status of a machine, even if recent calls to it have failed. [then] receives whether the agent answered. It
     * is called immediately with false if the address is unknown or another call to the machine is in flight.
     */
    fun inspect(
        view: MachineView,
        then: (Boolean) -> Unit,
    ) {
        val address = addressOf(view)
        if (address == null) recordUncallable(view)
        if (address == null || isInFlight(view.id)) return then(false)
        startCall(view.id, AgentProtocol.inspect(address, reachability.isSuspect(view.id))) { result ->
            val report = (result as? AgentProtocol.Result.Executed)?.report
            if (report != null) applyStatus(view, report)
            then(report != null)
            // Outstanding commands normally go with the answer to the next heartbeat. Without heartbeats they are pushed now.
            val isHeartbeatMissing = report != null && index.isHeartbeatOverdue(view)
            if (takePendingPush(view.id) || isHeartbeatMissing) pushCommands(view.id)
            report != null
        }
    }

    /** The address of a machine; null if it is unknown, or if another machine answers there. */
    private fun addressOf(view: MachineView): String? = lastAddressOf(view)?.takeUnless { index.isAddressOfOther(view.id, it) }

    private fun lastAddressOf(view: MachineView): String? = view.latestStatus?.address ?: cache.machines[view.id]?.record?.address

    /** Counts a machine that can't be called, because another one has its address, like one that does not answer. */
    private fun recordUncallable(view: MachineView) {
        if (lastAddressOf(view) != null && reachability.mayRetry(view.id)) reachability.onCallFailed(view.id)
    }

    private fun isInFlight(machine: MachineId): Boolean = callsByMachine[machine]?.isInFlight == true

    /** Limits concurrent calls to suspect machines and applies the backoff after failed calls. */
    private fun mayCall(machine: MachineId): Boolean {
        if (reachability.isSuspect(machine) && suspectCallsInFlight >= maxSuspectCalls(machine)) return false
        return reachability.mayRetry(machine)
    }

    /** Across a network partition a few calls suffice to detect its end; more would waste time and sockets. */
    private fun maxSuspectCalls(machine: MachineId): Int {
        val isZoneReachable = health.zoneReachableSince(cache.machines[machine]?.record?.zone) != null
        return if (isZoneReachable) MAX_SUSPECT_CALLS else MAX_CALLS_ACROSS_PARTITION
    }

    /** Starts a call. [onResult] returns whether the agent answered; reachability is updated only after it has run. */
    private fun startCall(
        machine: MachineId,
        call: Call,
        onResult: (AgentProtocol.Result) -> Boolean,
    ) {
        val calls = callsByMachine.getOrPut(machine) { DirectCalls() }
        calls.isInFlight = true
        val isSuspect = reachability.isSuspect(machine)
        if (isSuspect) suspectCallsInFlight++
        context.call(call) { outcome ->
            calls.isInFlight = false
            if (isSuspect) suspectCallsInFlight--
            val result = AgentProtocol.read(outcome, machine)
            if (result is AgentProtocol.Result.AnsweredByOther) index.recordAnswerOfOther(machine, call.target.address, result.machine)
            val isAnswered = onResult(result)
            if (isAnswered) reachability.onCallAnswered(machine) else reachability.onCallFailed(machine)
        }
    }

    /** Removes the state of the terminated [machine], unless a call is in flight, which stays recorded until it ends. */
    fun forget(machine: MachineId) {
        val calls = callsByMachine[machine] ?: return
        if (calls.isInFlight) calls.confirmAfterUs = 0 else callsByMachine.remove(machine)
    }

    /**
     * Sends outstanding commands to the [touched] machines. Every [TICK_INTERVAL] also confirms acquired machines, raises the
     * fencing token where the outcome of a start is unknown, and probes unreachable machines. Must be called in each step.
     */
    fun tick(touched: Collection<MachineId>) {
        touched.forEach { if (it in index.controlledMachines) pushCommands(it) }
        if (context.now < nextTickUs) return
        nextTickUs = context.now + TICK_INTERVAL
        commandPlanner.forgetObsoleteStops()
        retention.tick()
        if (reachability.isIsolatedFromAgents) probeUncontrolled()
        confirmControlled()
    }

    /**
     * Confirms acquired machines, at most [MAX_CONFIRMATIONS] of them per call, since hundreds of simultaneous calls would
     * delay user requests. Most machines confirm the claim with their next heartbeats.
     */
    private fun confirmControlled() {
        var confirmations = 0
        for (machine in index.controlledMachines) {
            val view = index.view(machine)
            val claim = shardClaims.controlClaim(machine) ?: continue
            if (view != null && hasUnresolvedStart(view)) shardClaims.raiseToken(machine, "lost-start")
            if (confirmations < MAX_CONFIRMATIONS && isConfirmationDue(machine, view, claim)) {
                confirmations++
                callsByMachine.getOrPut(machine) { DirectCalls() }.confirmAfterUs = context.now + CONFIRM_INTERVAL
                pushCommands(machine)
            } else if (reachability.isUnreachable(machine)) {
                probe(machine)
            }
        }
    }

    private fun hasUnresolvedStart(view: MachineView): Boolean = view.needsHigherToken && context.now - view.lastStatusUs < RECENT_CONTACT

    private fun isConfirmationDue(
        machine: MachineId,
        view: MachineView?,
        claim: Claim,
    ): Boolean = needsCurrentToken(view, claim) && context.now >= (callsByMachine[machine]?.confirmAfterUs ?: 0)

    /**
     * Probes a random machine of another controller. A controller that has lost control of all machines would otherwise never
     * detect that agents are reachable again, and would never control machines again.
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

        /**
         * The fencing token is raised only for machines contacted within this time: only an agent that returns the higher token
         * proves that an earlier start can't be executed any more.
         */
        private const val RECENT_CONTACT: Micros = 5 * SECOND
    }
}
