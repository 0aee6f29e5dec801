package mintpick.engine.scheduling

import mintpick.core.Candidates
import mintpick.core.Job
import mintpick.core.MachineId
import mintpick.core.Micros
import mintpick.core.PlacedTask
import mintpick.core.PlacementRequest
import mintpick.core.Placer
import mintpick.core.SECOND
import mintpick.core.demand
import mintpick.core.isGang
import mintpick.engine.agents.AgentRegistry
import mintpick.engine.agents.Reconciler
import mintpick.engine.jobs.JobUrgency
import mintpick.engine.membership.ShardClaims
import mintpick.engine.runtime.EngineContext
import mintpick.engine.transactions.JobUpdate
import mintpick.wire.Priority
import mintpick.wire.StoredStage
import org.slf4j.LoggerFactory

/**
 * Places the tasks of one job: picks machines, and drafts the assignments. Event-loop thread only.
 *
 * @param placementSample how many machines with room are compared for one job
 */
class JobPlacer(
    private val context: EngineContext,
    private val shardClaims: ShardClaims,
    private val agents: AgentRegistry,
    private val reconciler: Reconciler,
    private val candidateFinder: CandidateFinder,
    private val jobUrgency: JobUrgency,
    placementSample: Int,
) {
    private val placer = Placer(context.random, placementSample)

    /** Each borrowed machine has a guard of its own, of which a transaction holds only so many. */
    private val maxBorrowedMachines = context.settings.limits.transactionOps
    private val cache get() = context.cache

    /**
     * Places up to [startable] tasks of [job] on [candidates], one view of the candidates of [pass]. Returns how many were drafted: 0
     * also where room was found and is held, but a write, a borrowed machine or the next round of parts is waited for.
     */
    fun place(
        job: Job,
        startable: Int,
        candidates: Candidates,
        pass: PlacementPass,
    ): Int {
        val limit = taskLimit(job, startable, pass)
        if (limit <= 0) return 0
        val found = findMachines(job, limit, candidates, pass)
        if (found.isEmpty() || isIncompleteGang(job, found.size, job.waiting)) return 0
        reserve(found, job, candidates, pass)
        if (!pass.hasWriteBudgetFor(job)) return 0
        val placeable = found.filter { isReadyForTasks(it.machine, candidates) }
        if (placeable.isEmpty() || isIncompleteGang(job, placeable.size, found.size)) return 0
        return draftPlacements(job, placeable, candidates, pass)
    }

    private fun taskLimit(
        job: Job,
        startable: Int,
        pass: PlacementPass,
    ): Int {
        if (!pass.jobUpdates.isTeamAvailable(job.spec.team)) return 0
        return minOf(pass.teamQuota.tasks(job.spec), MAX_TASKS_PER_PLACEMENT, startable)
    }

    /** Gangs start whole or not at all. */
    private fun isIncompleteGang(
        job: Job,
        count: Int,
        needed: Int,
    ): Boolean = job.spec.isGang && count < needed

    private fun draftPlacements(
        job: Job,
        placeable: List<PlacedTask>,
        candidates: Candidates,
        pass: PlacementPass,
    ): Int {
        // Parts of jobs are placed now and then, not for each task that ends or machine that comes up, since each costs
        // a write: the room is held for them meanwhile.
        val isPartial = placeable.size < job.waiting
        if (isPartial && !pass.mayPlacePartially) return 0
        val draft = pass.draftOf(job.id) ?: return 0
        if (draft.job.stage != StoredStage.OPEN) return 0
        if (isPartial) pass.hasPlacedPartially = true
        return assign(placeable, draft, candidates, pass)
    }

    private fun findMachines(
        job: Job,
        limit: Int,
        candidates: Candidates,
        pass: PlacementPass,
    ): List<PlacedTask> {
        val request =
            PlacementRequest(
                job.spec,
                job.waitingTasks(),
                candidateFinder.tasksPerZone(job),
                limit,
                pass.isOverloaded,
                avoided = reconciler.failures.failedMachines(job.id),
                spotOnly = isSpotOnly(job),
            )
        return placer.place(request, candidates)
    }

    /** Holds the room of [found] for the rest of the pass, and asks for those machines that have to be borrowed first. */
    private fun reserve(
        found: List<PlacedTask>,
        job: Job,
        candidates: Candidates,
        pass: PlacementPass,
    ) {
        for (placement in found) candidates.take(placement.machine, job.spec.demand)
        // A machine that is borrowed takes work only after the old owner has surely stopped placing there.
        for (placement in found) {
            if (candidates[placement.machine]?.isOwned == false) pass.machinesToBorrow += placement.machine
        }
    }

    private fun isReadyForTasks(
        machine: MachineId,
        candidates: Candidates,
    ): Boolean {
        val candidate = candidates[machine] ?: return false
        return candidate.isOwned && candidate.isReady
    }

    /** Adds [placements] to [draft] as far as a transaction has room for them, and returns how many. */
    private fun assign(
        placements: List<PlacedTask>,
        draft: JobUpdate,
        candidates: Candidates,
        pass: PlacementPass,
    ): Int {
        val job = draft.before
        val machines = LinkedHashSet<MachineId>()
        var count = 0
        for (placement in placements) {
            val machine = placement.machine
            if (machine !in machines && !mayAddMachine(machine, machines, draft)) continue
            if (!draft.place(placement.task, machine)) continue
            machines += machine
            pass.teamQuota.take(job.spec, 1)
            count++
        }
        pass.writesUsed += maxOf(1, draft.changedChunks.size)
        if (LOG.isDebugEnabled) {
            val isOnAllMachines = candidates !== pass.candidates.own
            LOG.debug("place job={} tasks={} machines={} all_shards={}", job.id.text, count, machines.size, isOnAllMachines)
        }
        return count
    }

    private fun mayAddMachine(
        machine: MachineId,
        used: Set<MachineId>,
        draft: JobUpdate,
    ): Boolean {
        val isBorrowed = machine in cache.borrows
        if (isBorrowed && used.count { it in cache.borrows } >= maxBorrowedMachines) return false
        return draft.addMachineGuards(shardClaims.guards(machine))
    }

    /** Whether there is room for a task of [job] on [candidates]. False for gangs, for which room for one task says nothing. */
    fun couldPlace(
        job: Job,
        candidates: Candidates,
        pass: PlacementPass,
    ): Boolean {
        if (job.spec.isGang) return false
        if (!pass.jobUpdates.isTeamAvailable(job.spec.team)) return false
        if (pass.teamQuota.tasks(job.spec) <= 0) return false
        val request = PlacementRequest(job.spec, job.waitingTasks(), candidateFinder.tasksPerZone(job), limit = 1, pass.isOverloaded)
        val found = placer.place(request, candidates)
        return found.any { (_, machine) -> isReadyForTasks(machine, candidates) }
    }

    /**
     * Whether [job] may be placed on spot machines only. Spare-time work (the lowest priority) leaves ordinary machines alone,
     * which would never be empty and returned with it, unless its tasks are short, or nothing of it runs and it has waited for
     * long: where there are no spot machines it is served all the same.
     */
    fun isSpotOnly(job: Job): Boolean {
        if (!job.spec.spot) return false
        if (jobUrgency.of(job).priority != Priority.LOW) return false
        if (job.spec.estimateS <= SHORT_TASK_MAX_S) return false
        return job.placed > 0 || context.wallClockUs - jobUrgency.readySinceUs(job) < SPOT_ONLY_PERIOD
    }

    /** Borrows the machines that [pass] has found room on, if any, and pushes them their token once they are borrowed. */
    fun borrowMachines(pass: PlacementPass) {
        if (pass.machinesToBorrow.isNotEmpty()) shardClaims.borrow(pass.machinesToBorrow, agents::pushCommands)
    }

    private companion object {
        val LOG = LoggerFactory.getLogger(JobPlacer::class.java)
        const val MAX_TASKS_PER_PLACEMENT = 512

        /** Tasks that are over before their machine would be returned as idle, in seconds. */
        const val SHORT_TASK_MAX_S = 20.0
        const val SPOT_ONLY_PERIOD: Micros = 120 * SECOND
    }
}
