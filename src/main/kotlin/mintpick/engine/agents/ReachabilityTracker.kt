package mintpick.engine.agents

import mintpick.core.MachineId
import mintpick.core.Micros
import mintpick.core.SECOND
import mintpick.engine.runtime.EngineContext

/**
 * Which machines this controller's calls reach: calls that failed, when a call last got through to each zone, and whether
 * the controller itself is cut off from all agents. Times are microseconds of the steady clock. Event-loop thread only.
 */
internal class ReachabilityTracker(
    private val context: EngineContext,
    private val index: AgentIndex,
) {
    /** Calls to one machine that failed one after the other. */
    private class FailedCalls(
        val sinceUs: Micros,
    ) {
        var count = 0
        var retryAfterUs: Micros = 0
    }

    private val failuresByMachine = HashMap<MachineId, FailedCalls>()
    private val lastReachedUsByZone = HashMap<String, Micros>()
    private var isolatedSinceUs: Micros? = null

    /** Whether a call to [machine] has failed and none has got through since; its heartbeats may still come. */
    fun isUnreachable(machine: MachineId): Boolean = failedCalls(machine) > 0

    /** How many calls to [machine] have failed one after the other. */
    fun failedCalls(machine: MachineId): Int = failuresByMachine[machine]?.count ?: 0

    /** When the first of the calls that failed one after the other failed; null: the last one got through. */
    fun unreachableSince(machine: MachineId): Micros? = failuresByMachine[machine]?.sinceUs

    /**
     * Whether [machine] did not answer the last call, is late with its heartbeat, or was never heard: when many machines die
     * at once, the first call to each would otherwise hold up the calls to live ones.
     */
    fun isSuspect(machine: MachineId): Boolean {
        val view = index.view(machine)
        if (view?.latest == null) return true
        return isUnreachable(machine) || index.isUnresponsive(view)
    }

    /** Whether the wait after failed calls is over, which grows with their number. */
    fun mayRetry(machine: MachineId): Boolean = context.now >= (failuresByMachine[machine]?.retryAfterUs ?: 0)

    /**
     * When a call last got through to a machine in [zone], or a heartbeat from there to us; 0: never. It is by zone since with
     * few machines a wave of hangs may leave none that is called often.
     */
    fun lastReachedInZone(zone: String?): Micros = lastReachedUsByZone[zone] ?: 0

    /** A heartbeat that an agent in [zone] waits on has come: in a partition neither calls nor heartbeats get through. */
    fun onHeartbeatFrom(zone: String) {
        lastReachedUsByZone[zone] = context.now
    }

    /** A call to [machine] got through. */
    fun onCallAnswered(machine: MachineId) {
        failuresByMachine.remove(machine)
        context.cache.machines[machine]?.let { lastReachedUsByZone[it.record.zone] = context.now }
    }

    /** A call to [machine] failed. */
    fun onCallFailed(machine: MachineId) {
        if (index.isTerminated(machine)) return
        val failed = failuresByMachine.getOrPut(machine) { FailedCalls(context.now) }
        failed.count++
        failed.retryAfterUs = context.now + minOf(MAX_BACKOFF, BACKOFF_STEP * failed.count)
    }

    /** Forgets the calls to [machine] that failed. */
    fun forget(machine: MachineId) {
        failuresByMachine.remove(machine)
    }

    /** Control has changed: what failed while [acquired] machines were another controller's says nothing of now. */
    fun onControlChanged(acquired: Collection<MachineId>) {
        acquired.forEach(failuresByMachine::remove)
        failuresByMachine.keys.retainAll(context.cache.machines.keys)
    }

    /** A process pause has just ended: calls that failed during it say nothing of the machines. */
    fun onProcessPause() {
        failuresByMachine.clear()
        isolatedSinceUs = null
    }

    /**
     * Calls to several machines fail and none gets through anywhere: this controller is cut off from the agents. It then
     * takes over nothing from controllers that are not, until a call or heartbeat gets through: the machines whose calls
     * failed may all go while the partition lasts.
     */
    val isIsolatedFromAgents: Boolean get() = isolatedSinceUs != null

    /** To be called in each step: notes when the controller is cut off, and when no longer. */
    fun updateIsolation() {
        val reachedUs = lastReachedUsByZone.values.maxOrNull() ?: 0
        val sinceUs = isolatedSinceUs
        if (sinceUs == null) {
            val nothingGetsThrough = context.now - reachedUs > ISOLATION_TIMEOUT
            if (failuresByMachine.size >= MIN_UNREACHABLE_MACHINES && nothingGetsThrough) isolatedSinceUs = context.now
        } else if (reachedUs > sinceUs || context.cache.machines.isEmpty()) {
            isolatedSinceUs = null
        }
    }

    companion object {
        /** By so much the wait for the next call grows with each one that fails. */
        private const val BACKOFF_STEP: Micros = SECOND / 2
        private const val MAX_BACKOFF: Micros = 3 * SECOND

        /** So many machines at least must be unreachable for the controller to be cut off. */
        private const val MIN_UNREACHABLE_MACHINES = 3

        /** For so long nothing must have got through for the controller to be cut off. */
        private const val ISOLATION_TIMEOUT: Micros = 4 * SECOND
    }
}
