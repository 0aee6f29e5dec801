package mintpick.engine.capacity

import mintpick.core.CandidateMachine
import mintpick.core.MachineId
import mintpick.core.Offer
import mintpick.core.Resources
import mintpick.core.capacity
import mintpick.engine.agents.AgentRegistry
import mintpick.engine.agents.CommandPlanner
import mintpick.engine.agents.Reconciler
import mintpick.engine.cache.KnownMachine
import mintpick.engine.membership.ShardClaims
import mintpick.engine.runtime.EngineContext
import mintpick.wire.MachineType
import mintpick.wire.Retiring

/** All spot machines, or all on-demand ones, in figures. */
data class CapacitySummary(
    val machines: Int,
    /** Machines without tasks. */
    val empty: Int,
    val cpus: Double,
    /** CPUs that tasks hold. */
    val usedCpus: Int,
    /**
     * CPUs of tasks that have ended. A machine's room is given again as soon as tasks are proven to have ended there, and their
     * records follow seconds later: what the records show beyond a machine's size has nearly all ended.
     */
    val endedCpus: Int,
    val booting: Int,
)

/** Capacity as it is, or will be once all rented machines are up. Event-loop thread only. */
class CapacityView(
    private val context: EngineContext,
    private val shardClaims: ShardClaims,
    private val agents: AgentRegistry,
    private val reconciler: Reconciler,
    private val commandPlanner: CommandPlanner,
    private val inventory: CloudInventory,
    private val scaleOut: ScaleOut,
) {
    private val cache get() = context.cache

    /** All machines with what they have free; of those that are up the fullest first, so that what is empty stays empty. */
    fun candidates(): List<CandidateMachine> {
        val candidates = recordedCandidates() + bootingCandidates() + pendingCandidates()
        return candidates.sortedWith(compareBy({ !it.hasBooted }, { it.free.dominantShare(it.total) }, { !it.spot }))
    }

    private fun recordedCandidates(): List<CandidateMachine> =
        cache.machines.values.mapNotNull { machine ->
            val type = cache.machineTypes[machine.record.type]
            if (type == null || !isUsable(machine)) null else candidateOn(machine, type)
        }

    /** Whether [machine] takes tasks, now or once its controller finds the time. */
    private fun isUsable(machine: KnownMachine): Boolean =
        machine.record.retiring == Retiring.NO && !reconciler.isTerminated(machine.id) && !isDrainingOrStale(machine.id)

    /** Whether [machine] is this controller's, and is silent or being drained. */
    private fun isDrainingOrStale(machine: MachineId): Boolean {
        val view = agents.view(machine) ?: return false
        if (!shardClaims.controls(machine)) return false
        return !agents.isFresh(view) || commandPlanner.isDraining(view, shardClaims.controlClaim(machine))
    }

    private fun candidateOn(
        machine: KnownMachine,
        type: MachineType,
    ): CandidateMachine {
        val record = machine.record
        val free = type.capacity - cache.usedOn(machine.id)
        // Services may have what batch work holds, so it is no reason to rent more for them.
        val preemptible = cache.usedOn(machine.id) - cache.usedByServicesOn(machine.id)
        return CandidateMachine(
            machine.id,
            type.name,
            record.zone,
            record.spot,
            free,
            type.capacity,
            NO_IMAGES,
            isOwned = true,
            preemptible = preemptible,
        )
    }

    /** Some machines take several times as long to boot, or forever: those that are late do not count. */
    private fun bootingCandidates(): List<CandidateMachine> =
        inventory.booting.all
            .filterNot(inventory.booting::isLate)
            .mapNotNull { emptyCandidate(it.id, it.offer) }

    private fun pendingCandidates(): List<CandidateMachine> =
        scaleOut.pendingCounts().flatMap { (offer, count) ->
            (0 until count).mapNotNull { emptyCandidate(MachineId("pending-$it"), offer) }
        }

    /** A machine that is not up yet; null if its type is unknown. */
    private fun emptyCandidate(
        id: MachineId,
        offer: Offer,
    ): CandidateMachine? {
        val size: Resources = cache.machineTypes[offer.type]?.capacity ?: return null
        return CandidateMachine(id, offer.type, offer.zone, offer.spot, size, size, NO_IMAGES, isOwned = true, hasBooted = false)
    }

    /** The spot machines, or the on-demand ones, that are not known to be terminated. */
    fun summary(spot: Boolean): CapacitySummary {
        val machines = cache.machines.values.filter { it.record.spot == spot && !reconciler.isTerminated(it.id) }
        val recordedCpus = machines.sumOf { cache.usedOn(it.id).cpus }
        val usedCpus = machines.sumOf { minOf(cache.usedOn(it.id).cpus, cpusOf(it)) }
        return CapacitySummary(
            machines = machines.size,
            empty = machines.count { cache.tasksOn(it.id).isEmpty() },
            cpus = machines.sumOf(::cpusOf),
            usedCpus = usedCpus.toInt(),
            endedCpus = (recordedCpus - usedCpus).toInt(),
            booting = inventory.booting.all.count { it.offer.spot == spot },
        )
    }

    private fun cpusOf(machine: KnownMachine): Double = cache.machineTypes[machine.record.type]?.cpus ?: 0.0

    private companion object {
        /** Which images a machine has does not matter for the capacity that is needed. */
        val NO_IMAGES: (String) -> Boolean = { false }
    }
}
