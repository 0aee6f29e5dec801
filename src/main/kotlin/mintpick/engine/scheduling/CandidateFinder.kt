package mintpick.engine.scheduling

import mintpick.core.CandidateMachine
import mintpick.core.Job
import mintpick.core.MachineId
import mintpick.core.MachineView
import mintpick.core.Resources
import mintpick.core.capacity
import mintpick.engine.agents.AgentRegistry
import mintpick.engine.agents.CommandPlanner
import mintpick.engine.agents.Reconciler
import mintpick.engine.cache.Claim
import mintpick.engine.cache.KnownMachine
import mintpick.engine.jobs.JobUpdateWriter
import mintpick.engine.membership.ControllerHealth
import mintpick.engine.membership.ShardClaims
import mintpick.engine.runtime.EngineContext
import mintpick.wire.MachineType
import mintpick.wire.Retiring

/** Which machines may be given work, and how much room they have. Event-loop thread only. */
class CandidateFinder(
    private val context: EngineContext,
    private val shardClaims: ShardClaims,
    private val agents: AgentRegistry,
    private val commandPlanner: CommandPlanner,
    private val reconciler: Reconciler,
    private val health: ControllerHealth,
) {
    private class ClaimedMachine(
        val machine: KnownMachine,
        val claim: Claim,
        val isOwn: Boolean,
        /** Images that another controller says are on it. */
        val hintedImages: Set<String>,
    )

    private val cache get() = context.cache

    /** How many machines this controller commands, whether or not they may be given work. */
    val ownMachineCount: Int get() = agents.controlledMachines.size

    /** Room on this controller's own machines, less what [jobUpdates] has under way. */
    fun ownCandidates(jobUpdates: JobUpdateWriter): List<CandidateMachine> =
        agents.controlledMachines.mapNotNull { id ->
            val machine = cache.machines[id] ?: return@mapNotNull null
            val claim = shardClaims.controlClaim(id)
            if (claim == null || !shardClaims.isOwn(claim)) return@mapNotNull null
            toCandidate(ClaimedMachine(machine, claim, isOwn = true, emptySet()), jobUpdates)
        }

    /** Room on the other controllers' machines that they have heard from lately. */
    fun peerCandidates(jobUpdates: JobUpdateWriter): List<CandidateMachine> =
        health.hintedImages(context.settings.reportUs * 2).mapNotNull { (id, images) ->
            val machine = cache.machines[id] ?: return@mapNotNull null
            val claim = shardClaims.controlClaim(id)
            if (claim == null || shardClaims.isOwn(claim)) return@mapNotNull null
            toCandidate(ClaimedMachine(machine, claim, isOwn = false, images), jobUpdates)
        }

    /** How many placed tasks of [job] each zone holds; empty if the job has no rule about zones. */
    fun tasksPerZone(job: Job): Map<String, Int> {
        if (!job.spec.spread && !job.spec.oneZone) return emptyMap()
        val counts = HashMap<String, Int>()
        for ((_, placement) in job.placements()) {
            val zone = cache.machines[placement.machine]?.record?.zone ?: continue
            counts.merge(zone, 1, Int::plus)
        }
        return counts
    }

    private fun toCandidate(
        claimed: ClaimedMachine,
        jobUpdates: JobUpdateWriter,
    ): CandidateMachine? {
        val machine = claimed.machine
        val type = cache.machineTypes[machine.record.type]
        if (type == null || !acceptsWork(machine)) return null
        val view = agents.view(machine.id)
        if (view != null && commandPlanner.isDraining(view, claimed.claim)) return null
        val isAcquiring = claimed.isOwn && agents.isAwaitingConfirmation(machine.id)
        if (claimed.isOwn && !isAcquiring && !isUsable(view)) return null
        return CandidateMachine(
            machine = machine.id,
            type = machine.record.type,
            zone = machine.record.zone,
            spot = machine.record.spot,
            free = freeResourcesOn(machine.id, type, jobUpdates),
            total = type.capacity,
            hasImage = { view?.hasImage(it) == true || it in claimed.hintedImages },
            isOwned = claimed.isOwn,
            preemptible = cache.usedOn(machine.id) - cache.usedByServicesOn(machine.id),
            isReady = !isAcquiring,
        )
    }

    private fun acceptsWork(machine: KnownMachine): Boolean =
        machine.record.retiring == Retiring.NO &&
            !reconciler.isTerminated(machine.id) &&
            reconciler.acceptsStarts(machine.id)

    /** What the records show as free, with what is known to have ended and without what is on its way to be stored. */
    private fun freeResourcesOn(
        machine: MachineId,
        type: MachineType,
        jobUpdates: JobUpdateWriter,
    ): Resources = type.capacity - cache.usedOn(machine) + reconciler.freedOn(machine) - jobUpdates.reservedOn(machine)

    /** In touch both ways: nothing is placed where commands may not arrive, however many heartbeats come. */
    private fun isUsable(view: MachineView?): Boolean =
        view != null &&
            agents.isConfirmed(view) &&
            agents.isFresh(view) &&
            !agents.isUnreachable(view.id) &&
            !reconciler.failures.isFaulty(view.id)
}
