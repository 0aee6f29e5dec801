package mintpick.engine.agents

import mintpick.core.MachineId
import mintpick.core.Micros
import mintpick.core.SECOND
import mintpick.engine.runtime.EngineContext

/**
 * Tracks which machines this controller can reach: failed calls by machine, the last contact with each zone, and whether a
 * network partition separates the controller from all agents. Times are microseconds of the monotonic clock. Event-loop thread
 * only.
 */
internal class ReachabilityTracker(
    private val context: EngineContext,
    private val index: AgentIndex,
) {
    /** Consecutive failed calls to one machine; the first failed at [sinceUs]. */
    private class FailedCalls(
        val sinceUs: Micros,
    ) {
        var count = 0
        var retryAfterUs: Micros = 0
    }

    private val failuresByMachine = HashMap<MachineId, FailedCalls>()
    private val lastReachedUsByZone = HashMap<String, Micros>()
    private var isolatedSinceUs: Micros? = null

    /** Whether the last call to [machine] failed. Its heartbeats may still arrive. */
    fun isUnreachable(machine: MachineId): Boolean = failedCalls(machine) > 0

    /** Number of consecutive failed calls to [machine]. */
    fun failedCalls(machine: MachineId): Int = failuresByMachine[machine]?.count ?: 0

    /** Time of the first of the consecutive failed calls to [machine]; null if the last call succeeded. */
    fun unreachableSince(machine: MachineId): Micros? = failuresByMachine[machine]?.sinceUs

    /**
     * Whether [machine] may be dead: the last call to it failed, it is unresponsive, or it never sent its status. Treating such
     * machines separately keeps calls to live machines from being delayed when many machines fail at once.
     */
    fun isSuspect(machine: MachineId): Boolean {
        val view = index.view(machine)
        if (view?.latestStatus == null) return true
        return isUnreachable(machine) || index.isUnresponsive(view)
    }

    /** Whether the backoff after failed calls to [machine] is over. */
    fun mayRetry(machine: MachineId): Boolean = context.now >= (failuresByMachine[machine]?.retryAfterUs ?: 0)

    /**
     * Time of the last successful call to a machine in [zone] or the last heartbeat from one; 0 if there was none. Contact is
     * recorded by zone, because in a small zone too few machines may be called often enough to show contact while several hang.
     */
    fun lastReachedInZone(zone: String?): Micros = lastReachedUsByZone[zone] ?: 0

    /**
     * Records a heartbeat from [zone] whose agent waits for the answer. It shows that there is no network partition, which would
     * block heartbeats as well as calls.
     */
    fun onHeartbeatFrom(zone: String) {
        lastReachedUsByZone[zone] = context.now
    }

    /** Records that [machine] answered a call. */
    fun onCallAnswered(machine: MachineId) {
        failuresByMachine.remove(machine)
        context.cache.machines[machine]?.let { lastReachedUsByZone[it.record.zone] = context.now }
    }

    /** Records a failed call to [machine]. */
    fun onCallFailed(machine: MachineId) {
        if (index.isTerminated(machine)) return
        val failed = failuresByMachine.getOrPut(machine) { FailedCalls(context.now) }
        failed.count++
        failed.retryAfterUs = context.now + minOf(MAX_BACKOFF, BACKOFF_STEP * failed.count)
    }

    /** Removes the failed calls to [machine]. */
    fun forget(machine: MachineId) {
        failuresByMachine.remove(machine)
    }

    /**
     * Must be called when control over machines has changed. Removes failed calls to [acquired] machines, because failures before
     * control was acquired say nothing about their present state, and failed calls to machines that are no longer listed.
     */
    fun onControlChanged(acquired: Collection<MachineId>) {
        acquired.forEach(failuresByMachine::remove)
        failuresByMachine.keys.retainAll(context.cache.machines.keys)
    }

    /** Must be called when a process pause has ended. Calls that failed during the pause don't indicate machine failures. */
    fun onProcessPause() {
        failuresByMachine.clear()
        isolatedSinceUs = null
    }

    /**
     * Whether a network partition separates this controller from all agents: calls to several machines fail, and there is no
     * contact with any zone. Until contact is restored, the controller takes over nothing from controllers that do reach agents.
     * The state remains even if all machines whose calls failed are removed during the partition.
     */
    val isIsolatedFromAgents: Boolean get() = isolatedSinceUs != null

    /** Updates [isIsolatedFromAgents]; must be called in each step. */
    fun updateIsolation() {
        val reachedUs = lastReachedUsByZone.values.maxOrNull() ?: 0
        val sinceUs = isolatedSinceUs
        if (sinceUs == null) {
            val hasNoContact = context.now - reachedUs > ISOLATION_TIMEOUT
            if (failuresByMachine.size >= MIN_UNREACHABLE_MACHINES && hasNoContact) isolatedSinceUs = context.now
        } else if (reachedUs > sinceUs || context.cache.machines.isEmpty()) {
            isolatedSinceUs = null
        }
    }

    companion object {
        /** Amount by which the backoff grows with each consecutive failed call. */
        private const val BACKOFF_STEP: Micros = SECOND / 2
        private const val MAX_BACKOFF: Micros = 3 * SECOND

        /** Minimum number of unreachable machines for the controller to be considered isolated. */
        private const val MIN_UNREACHABLE_MACHINES = 3

        /** Minimum time without any contact for the controller to be considered isolated. */
        private const val ISOLATION_TIMEOUT: Micros = 4 * SECOND
    }
}
