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

/** Finds the machines that may be given tasks, with their free resources. Event-loop thread only. */
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
        /** Images on the machine according to a peer hint. */
        val hintedImages: Set<String>,
    )

    private val cache get() = context.cache

    /** Number of machines that this controller controls, including those that may not be given tasks. */
    val ownMachineCount: Int get() = agents.controlledMachines.size

    /** Candidates among this controller's machines. Resources reserved by placements of [jobUpdates] in flight are not free. */
    fun ownCandidates(jobUpdates: JobUpdateWriter): List<CandidateMachine> =
        agents.controlledMachines.mapNotNull { id ->
            val machine = cache.machines[id] ?: return@mapNotNull null
            val claim = shardClaims.controlClaim(id)
            if (claim == null || !shardClaims.isOwn(claim)) return@mapNotNull null
            toCandidate(ClaimedMachine(machine, claim, isOwn = true, emptySet()), jobUpdates)
        }

    /** Candidates among the peers' machines from which a peer has recently received a heartbeat. */
    fun peerCandidates(jobUpdates: JobUpdateWriter): List<CandidateMachine> =
        health.hintedImages(context.settings.heartbeatIntervalUs * 2).mapNotNull { (id, images) ->
            val machine = cache.machines[id] ?: return@mapNotNull null
            val claim = shardClaims.controlClaim(id)
            if (claim == null || shardClaims.isOwn(claim)) return@mapNotNull null
            toCandidate(ClaimedMachine(machine, claim, isOwn = false, images), jobUpdates)
        }

    /** Number of placed tasks of [job] in each zone; empty if the job has no zone constraint. */
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
        val isAwaitingConfirmation = claimed.isOwn && agents.isAwaitingConfirmation(machine.id)
        if (claimed.isOwn && !isAwaitingConfirmation && !isUsable(view)) return null
        return CandidateMachine(
            machine = machine.id,
            type = machine.record.type,
            zone = machine.record.zone,
            spot = machine.record.spot,
            free = freeResourcesOn(machine.id, type, jobUpdates),
            total = type.capacity,
            hasImage = { view?.hasImage(it) == true || it in claimed.hintedImages },
            isControlled = claimed.isOwn,
            preemptible = cache.usedOn(machine.id) - cache.usedByServicesOn(machine.id),
            isReady = !isAwaitingConfirmation,
        )
    }

    private fun acceptsWork(machine: KnownMachine): Boolean =
        machine.record.retiring == Retiring.NO &&
            !reconciler.isTerminated(machine.id) &&
            reconciler.acceptsStarts(machine.id)

    /** Free resources by the records, plus those of tasks known to have ended, minus those of placements in flight. */
    private fun freeResourcesOn(
        machine: MachineId,
        type: MachineType,
        jobUpdates: JobUpdateWriter,
    ): Resources = type.capacity - cache.usedOn(machine) + reconciler.freedOn(machine) - jobUpdates.reservedOn(machine)

    /**
     * Whether the machine is not faulty, its heartbeats arrive, and commands reach it. Nothing is placed where commands may not
     * arrive, even if heartbeats do.
     */
    private fun isUsable(view: MachineView?): Boolean =
        view != null &&
            agents.isConfirmed(view) &&
            agents.isFresh(view) &&
            !agents.isUnreachable(view.id) &&
            !reconciler.failures.isFaulty(view.id)
}
