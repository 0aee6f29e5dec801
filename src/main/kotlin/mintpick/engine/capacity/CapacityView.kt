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

/** Totals of all spot machines, or of all on-demand machines. */
data class CapacitySummary(
    val machines: Int,
    /** Machines without tasks. */
    val empty: Int,
    val cpus: Double,
    /** CPUs allocated to tasks. */
    val usedCpus: Int,
    /**
     * CPUs allocated in the records beyond the machines' sizes. A machine's capacity is reused as soon as its tasks are proven to
     * have ended, while their records are updated seconds later. Nearly all of this excess therefore belongs to ended tasks.
     */
    val endedCpus: Int,
    val booting: Int,
)

/** Current capacity, including machines that are booting or requested. Event-loop thread only. */
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

    /**
     * All usable machines with their free capacity. Machines that are up come first, the fullest of them first, which keeps
     * empty machines empty.
     */
    fun candidates(): List<CandidateMachine> {
        val candidates = recordedCandidates() + bootingCandidates() + pendingCandidates()
        return candidates.sortedWith(compareBy({ !it.hasBooted }, { it.free.dominantShare(it.total) }, { !it.spot }))
    }

    private fun recordedCandidates(): List<CandidateMachine> =
        cache.machines.values.mapNotNull { machine ->
            val type = cache.machineTypes[machine.record.type]
            if (type == null || !isUsable(machine)) null else candidateOn(machine, type)
        }

    /** Whether [machine] accepts tasks, now or after its controller has processed its state. */
    private fun isUsable(machine: KnownMachine): Boolean =
        machine.record.retiring == Retiring.NO && !reconciler.isTerminated(machine.id) && !isDrainingOrStale(machine.id)

    /** Whether [machine] is controlled by this controller and is draining or has no recent status. */
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
        // Services can preempt batch tasks, so capacity used by batch tasks is no reason to rent more for services.
        val preemptible = cache.usedOn(machine.id) - cache.usedByServicesOn(machine.id)
        return CandidateMachine(
            machine.id,
            type.name,
            record.zone,
            record.spot,
            free,
            type.capacity,
            NO_IMAGES,
            isControlled = true,
            preemptible = preemptible,
        )
    }

    /** Booting machines, without late ones: some take several times the usual boot time or never come up. */
    private fun bootingCandidates(): List<CandidateMachine> =
        inventory.booting.all
            .filterNot(inventory.booting::isLate)
            .mapNotNull { emptyCandidate(it.id, it.offer) }

    private fun pendingCandidates(): List<CandidateMachine> =
        scaleOut.pendingCounts().flatMap { (offer, count) ->
            (0 until count).mapNotNull { emptyCandidate(MachineId("pending-$it"), offer) }
        }

    /** A candidate for a machine that is not up yet; null if its type is unknown. */
    private fun emptyCandidate(
        id: MachineId,
        offer: Offer,
    ): CandidateMachine? {
        val size: Resources = cache.machineTypes[offer.type]?.capacity ?: return null
        return CandidateMachine(id, offer.type, offer.zone, offer.spot, size, size, NO_IMAGES, isControlled = true, hasBooted = false)
    }

    /** Totals of the spot or on-demand machines that are not known to be terminated. */
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
        /** Cached images are irrelevant to capacity planning. */
        val NO_IMAGES: (String) -> Boolean = { false }
    }
}
