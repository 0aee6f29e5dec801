package mintpick.engine.capacity

import mintpick.cloud.CloudProtocol
import mintpick.core.MILLI
import mintpick.core.MachineId
import mintpick.core.Micros
import mintpick.engine.agents.MachineRegistry
import mintpick.engine.agents.Reconciler
import mintpick.engine.runtime.EngineContext
import mintpick.net.Outcome
import mintpick.wire.Retiring

/**
 * Releases machines to the cloud: drained, lost and failed ones, and ones that never came up. Only the leader releases; every
 * controller drains the faulty machines that it controls. Event-loop thread only.
 */
class ScaleIn(
    private val context: EngineContext,
    private val leaderStatus: LeaderStatus,
    private val reconciler: Reconciler,
    private val cloud: CloudClient,
    private val inventory: CloudInventory,
    private val machineRegistry: MachineRegistry,
) {
    private val releasing = HashSet<MachineId>()
    private val emptySinceUs = HashMap<MachineId, Micros>()
    private var nextReleaseUs: Micros = 0

    private val cache get() = context.cache

    /** Drains the faulty machines of this controller. Each controller does so itself, because only it sees task failures there. */
    fun drainFaulty() {
        if (!leaderStatus.isHealthy) return
        reconciler.failures.faultyMachines().forEach { machineRegistry.markForScaleIn(it, Retiring.DRAIN, "errors") }
    }

    /** Releases machines when a release is due. */
    fun tick() {
        if (leaderStatus.isActiveLeader && context.now >= nextReleaseUs) release()
    }

    private fun release() {
        nextReleaseUs = context.now + CHECK_INTERVAL
        val candidates = retiredMachines() + bootFailures() + inventory.failedMachines()
        val machines =
            candidates
                .distinct()
                .filter { it !in releasing }
                .take(CloudProtocol.MAX_MACHINES_PER_RELEASE)
        if (machines.isEmpty() || !cloud.changeBudget.take(context.now, 1.0)) return
        nextReleaseUs = context.now + RELEASE_INTERVAL
        releasing += machines
        context.call(cloud.protocol.release(machines.map { it.text })) { onAnswer(machines, it) }
    }

    private fun onAnswer(
        machines: List<MachineId>,
        outcome: Outcome,
    ) {
        releasing -= machines.toSet()
        if (cloud.protocol.readRelease(outcome) !is CloudProtocol.Result.Ok) return
        for (machine in machines) {
            inventory.onReleased(machine)
            emptySinceUs.remove(machine)
        }
    }

    /** Machines marked as lost, which are released immediately, and drained machines that are empty. */
    private fun retiredMachines(): List<MachineId> =
        cache.machines.values
            .filter { isReleasable(it.id, it.record.retiring) && !reconciler.isTerminated(it.id) }
            .map { it.id }

    private fun isReleasable(
        id: MachineId,
        retiring: Retiring,
    ): Boolean =
        when (retiring) {
            Retiring.NO -> false
            Retiring.DRAIN -> hasBeenEmpty(id)
            Retiring.NOW -> true
        }

    /**
     * Whether [id] has been empty for [MIN_EMPTY_TIME]. Its controller may have placed a task there before it read the drain mark.
     */
    private fun hasBeenEmpty(id: MachineId): Boolean {
        if (cache.tasksOn(id).isNotEmpty()) {
            emptySinceUs.remove(id)
            return false
        }
        return context.now - emptySinceUs.getOrPut(id) { context.now } >= MIN_EMPTY_TIME
    }

    private fun bootFailures(): List<MachineId> =
        inventory.booting.all
            .filter(inventory.booting::isBootFailed)
            .map { it.id }

    private companion object {
        const val CHECK_INTERVAL: Micros = 100 * MILLI
        const val RELEASE_INTERVAL: Micros = 500 * MILLI
        const val MIN_EMPTY_TIME: Micros = 600 * MILLI
    }
}
