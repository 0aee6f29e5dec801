package mintpick.engine.agents

import mintpick.core.MachineId
import mintpick.core.MachineView
import mintpick.core.Micros
import mintpick.engine.membership.ControllerHealth
import mintpick.engine.membership.ShardClaims
import mintpick.engine.runtime.EngineContext
import mintpick.engine.runtime.ReplyTo
import mintpick.engine.state.StateStoreClient
import mintpick.wire.MachineReport

/**
 * The agents as the rest of the engine sees them: composes the machines' index, the intake of heartbeats, the dispatch of
 * commands and the tracking of reachability. Times are microseconds of the steady clock. Event-loop thread only.
 */
class AgentRegistry(
    private val context: EngineContext,
    stateStore: StateStoreClient,
    private val shardClaims: ShardClaims,
    private val health: ControllerHealth,
    commandPlanner: CommandPlanner,
) {
    private val index = AgentIndex(context, stateStore, shardClaims, health)
    private val reachability = ReachabilityTracker(context, index)
    private val dispatcher = CommandDispatcher(context, shardClaims, health, commandPlanner, index, reachability)
    private val unservedMachines = UnservedMachines(context, shardClaims, health)
    private val answers = HeartbeatAnswers(context, stateStore, shardClaims, health, commandPlanner, index, unservedMachines)
    private val heartbeats = HeartbeatHandler(context, shardClaims, index, reachability, dispatcher, unservedMachines, answers)

    /** What is known of [machine]; null: it was never heard or called, or it is terminated. */
    fun view(machine: MachineId): MachineView? = index.view(machine)

    /** The views of all machines, those of other controllers included. */
    fun views(): Collection<MachineView> = index.views()

    /** Machines under this controller's control. */
    val controlledMachines: Set<MachineId> get() = index.controlledMachines

    /** Machines whose status has come since the last call. */
    fun takeUpdatedMachines(): Set<MachineId> = index.takeUpdatedMachines()

    /** Whether the last status is recent enough for the machine to be given work. */
    fun isFresh(view: MachineView): Boolean = index.isFresh(view)

    /** Whether the agent has shown the fencing token of this controller's claim, so that its status is newer than the claim. */
    fun isConfirmed(view: MachineView): Boolean = index.isConfirmed(view)

    /** Whether [machine] came under control a moment ago and is not yet confirmed, or the records are older than its claim. */
    fun isAwaitingConfirmation(machine: MachineId): Boolean = index.isAwaitingConfirmation(machine)

    /** Whether the agent's lease has surely expired, so that it has killed its tasks. */
    fun hasLeaseExpired(view: MachineView): Boolean = index.hasLeaseExpired(view)

    /** Since when [machine] has been silent towards this controller although under its control. */
    fun noContactSince(machine: MachineId): Micros = index.noContactSince(machine)

    /** Whether a call to [machine] has failed and none has got through since; its heartbeats may still come. */
    fun isUnreachable(machine: MachineId): Boolean = reachability.isUnreachable(machine)

    /** When the first of the calls that failed one after the other failed; null: the last one got through. */
    fun unreachableSince(machine: MachineId): Micros? = reachability.unreachableSince(machine)

    /** How many calls to [machine] have failed one after the other. */
    fun failedCalls(machine: MachineId): Int = reachability.failedCalls(machine)

    /** When a call last got through to a machine in [zone], or a heartbeat from there to us; 0: never. */
    fun lastReachedInZone(zone: String?): Micros = reachability.lastReachedInZone(zone)

    /** Whether this controller is cut off from all agents. */
    val isIsolatedFromAgents: Boolean get() = reachability.isIsolatedFromAgents

    /** Takes the heartbeat [report]; [reply] is answered at once, or when a take-over of its machine is decided. */
    fun onHeartbeat(
        report: MachineReport,
        reply: ReplyTo,
    ) = heartbeats.onHeartbeat(report, reply)

    /** Sends [machine] the commands that it lacks without waiting for its next heartbeat. */
    fun pushCommands(machine: MachineId) = dispatcher.pushCommands(machine)

    /** Asks [machine], whose heartbeat is overdue, for its status. */
    fun probe(machine: MachineId) = dispatcher.probe(machine)

    /** Puts a tombstone for [machine], which is proven gone, and forgets all that is known of it. */
    fun markTerminated(machine: MachineId) {
        index.markTerminated(machine)
        unservedMachines.forget(machine)
        dispatcher.forget(machine)
        reachability.forget(machine)
        shardClaims.forget(machine)
    }

    /** A process pause has just ended: calls that failed during it, and silence, say nothing of the machines. */
    fun onProcessPause() {
        reachability.onProcessPause()
        index.onProcessPause()
    }

    /** To be called in each step before any machine is judged: takes in changes of control. */
    fun updateControlledMachines() {
        when (val refresh = index.updateControlledMachines()) {
            ControlUpdate.Unchanged -> Unit
            is ControlUpdate.Changed -> reachability.onControlChanged(refresh.acquired)
        }
    }

    /** To be called in each step after all judgements: sends [touched] machines what changed for them, and confirms others. */
    fun tick(touched: Collection<MachineId>) {
        reachability.updateIsolation()
        if (health.isHealthy()) dispatcher.tick(touched)
    }
}
