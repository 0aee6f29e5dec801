package mintpick.engine.agents

import mintpick.core.JobId
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
 * Entry point to the agents for the rest of the engine. Combines the machine index, heartbeat handling, command dispatch and
 * reachability tracking. Times are microseconds of the monotonic clock. Event-loop thread only.
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
    private val retention = AttemptRetention(context, shardClaims, index)
    private val dispatcher = CommandDispatcher(context, shardClaims, health, commandPlanner, index, reachability, retention)
    private val unservedMachines = UnservedMachines(context, shardClaims, health)
    private val answers = HeartbeatAnswers(context, stateStore, shardClaims, health, commandPlanner, unservedMachines)
    private val heartbeats = HeartbeatHandler(context, shardClaims, index, reachability, dispatcher, unservedMachines, answers)

    /** The view of [machine], or null if it was never contacted or is terminated. */
    fun view(machine: MachineId): MachineView? = index.view(machine)

    /** The views of all machines, including those of other controllers. */
    fun views(): Collection<MachineView> = index.views()

    /** Machines controlled by this controller, as of the last [updateControlledMachines]. */
    val controlledMachines: Set<MachineId> get() = index.controlledMachines

    /** Returns and clears the set of machines whose status was received since the last call. */
    fun takeUpdatedMachines(): Set<MachineId> = index.takeUpdatedMachines()

    /** Whether the last status is recent enough for new work to be placed on the machine. */
    fun isFresh(view: MachineView): Boolean = index.isFresh(view)

    /** Whether the agent has returned the fencing token of this controller's claim, which proves its status newer than the claim. */
    fun isConfirmed(view: MachineView): Boolean = index.isConfirmed(view)

    /**
     * Whether control of [machine] was acquired very recently, and its agent has not confirmed the claim or the cached records
     * are older than the claim.
     */
    fun isAwaitingConfirmation(machine: MachineId): Boolean = index.isAwaitingConfirmation(machine)

    /** Indexes of the tasks of [job] that can't start on a machine yet, because its agent lists an earlier attempt, by machine. */
    fun retainedTasksOf(job: JobId): Map<MachineId, Set<Int>> = index.retainedTasksOf(job)

    /** Whether the agent's lease has certainly expired, so that it has killed its tasks. */
    fun hasLeaseExpired(view: MachineView): Boolean = index.hasLeaseExpired(view)

    /** Start of the time in which [machine] could have contacted this controller but did not. */
    fun noContactSince(machine: MachineId): Micros = index.noContactSince(machine)

    /** Whether the last call to [machine] failed. Its heartbeats may still arrive. */
    fun isUnreachable(machine: MachineId): Boolean = reachability.isUnreachable(machine)

    /** Time of the first of the consecutive failed calls to [machine]; null if the last call succeeded. */
    fun unreachableSince(machine: MachineId): Micros? = reachability.unreachableSince(machine)

    /** Number of consecutive failed calls to [machine]. */
    fun failedCalls(machine: MachineId): Int = reachability.failedCalls(machine)

    /** Time of the last successful call to a machine in [zone] or the last heartbeat from one; 0 if there was none. */
    fun lastReachedInZone(zone: String?): Micros = reachability.lastReachedInZone(zone)

    /** Whether a network partition separates this controller from all agents. */
    val isIsolatedFromAgents: Boolean get() = reachability.isIsolatedFromAgents

    /** Handles the heartbeat [report]. [reply] is answered immediately, or when the takeover of the machine has been decided. */
    fun onHeartbeat(
        report: MachineReport,
        reply: ReplyTo,
    ) = heartbeats.onHeartbeat(report, reply)

    /** Sends [machine] its outstanding commands without waiting for its next heartbeat. */
    fun pushCommands(machine: MachineId) = dispatcher.pushCommands(machine)

    /** Requests the status of [machine], whose heartbeat is overdue. */
    fun probe(machine: MachineId) = dispatcher.probe(machine)

    /** Replaces all state of [machine], which is proven to be terminated, by a tombstone. */
    fun markTerminated(machine: MachineId) {
        index.markTerminated(machine)
        unservedMachines.forget(machine)
        dispatcher.forget(machine)
        reachability.forget(machine)
        shardClaims.forget(machine)
    }

    /**
     * Must be called when a process pause has ended. Calls that failed and heartbeats that were missed during the pause don't
     * indicate machine failures.
     */
    fun onProcessPause() {
        reachability.onProcessPause()
        index.onProcessPause()
    }

    /** Applies changes of control over machines. Must be called in each step before machine health is evaluated. */
    fun updateControlledMachines() {
        when (val update = index.updateControlledMachines()) {
            ControlUpdate.Unchanged -> Unit
            is ControlUpdate.Changed -> reachability.onControlChanged(update.acquired)
        }
    }

    /**
     * Sends outstanding commands to the [touched] machines and confirms acquired ones. Must be called in each step after
     * machine health has been evaluated.
     */
    fun tick(touched: Collection<MachineId>) {
        reachability.updateIsolation()
        if (health.isHealthy()) dispatcher.tick(touched)
    }
}
