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
 * Places the tasks of one job: selects machines and drafts their placements. Event-loop thread only.
 *
 * @param placementSample number of machines with free capacity that are compared for one job
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

    /** Each borrowed machine needs a guard of its own, and the number of guards in a transaction is limited. */
    private val maxBorrowedMachines = context.settings.limits.transactionOps
    private val cache get() = context.cache

    /**
     * Places up to [startable] tasks of [job] on [candidates], one of the views in [pass]. Returns the number of drafted tasks. It
     * is 0 also if capacity was found and reserved, but the placement must wait for write budget, for a machine to be borrowed, or
     * for the next partial placement.
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
        if (found.isEmpty() || isIncompleteGang(job, found.size, job.waitingCount)) return 0
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
        val remainingInMemory = maxOf(0, context.memory.placedTasks - cache.placedTaskCount - pass.tasksPlaced)
        return minOf(pass.teamQuota.remainingTasks(job.spec), MAX_TASKS_PER_PLACEMENT, startable, remainingInMemory)
    }

    /** Whether [count] tasks are too few to start [job]. A gang starts only as a whole. */
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
        // Partial placements are rate-limited instead of being made for each task that ends or machine that boots, since each costs
        // a write. The capacity stays reserved for the job in the meantime.
        val isPartial = placeable.size < job.waitingCount
        if (isPartial && !pass.mayPlacePartially) return 0
        val draft = pass.draftOf(job.id) ?: return 0
        if (draft.job.stage != StoredStage.OPEN) return 0
        if (isPartial) pass.hasPlacedPartially = true
        return addPlacements(placeable, draft, candidates, pass)
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
                excludedMachines = excludedMachines(job),
                blockedTasks = agents.retainedTasksOf(job.id),
                spotOnly = isSpotOnly(job),
            )
        return placer.place(request, candidates)
    }

    /** Reserves the capacity of [found] for the rest of the pass, and requests the machines that must be borrowed first. */
    private fun reserve(
        found: List<PlacedTask>,
        job: Job,
        candidates: Candidates,
        pass: PlacementPass,
    ) {
        for (placement in found) candidates.reserve(placement.machine, job.spec.demand)
        // Machines of other controllers are borrowed first; their tasks are placed in a later pass.
        for (placement in found) {
            if (candidates[placement.machine]?.isControlled == false) pass.machinesToBorrow += placement.machine
        }
    }

    /**
     * Whether tasks may be placed on [machine] in this pass. Tasks are placed on a borrowed machine only after its previous owner
     * has certainly stopped placing tasks there.
     */
    private fun isReadyForTasks(
        machine: MachineId,
        candidates: Candidates,
    ): Boolean {
        val candidate = candidates[machine] ?: return false
        return candidate.isControlled && candidate.isReady
    }

    /** Adds as many of [placements] to [draft] as fit into a transaction, and returns the number added. */
    private fun addPlacements(
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
            pass.teamQuota.reserve(job.spec, 1)
            count++
        }
        pass.tasksPlaced += count
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

    /** Whether a task of [job] fits on [candidates]. False for gangs: that one task fits says nothing about the whole gang. */
    fun couldPlace(
        job: Job,
        candidates: Candidates,
        pass: PlacementPass,
    ): Boolean {
        if (job.spec.isGang) return false
        if (!pass.jobUpdates.isTeamAvailable(job.spec.team)) return false
        if (pass.teamQuota.remainingTasks(job.spec) <= 0) return false
        val request =
            PlacementRequest(
                job.spec,
                job.waitingTasks(),
                candidateFinder.tasksPerZone(job),
                maxTasks = 1,
                pass.isOverloaded,
                excludedMachines = excludedMachines(job),
                blockedTasks = agents.retainedTasksOf(job.id),
            )
        val found = placer.place(request, candidates)
        return found.any { (_, machine) -> isReadyForTasks(machine, candidates) }
    }

    /** Machines on which no task of [job] is placed, because it has failed there recently. */
    fun excludedMachines(job: Job): Set<MachineId> = reconciler.failures.failedMachines(job.id, context.now)

    /**
     * Whether [job] may be placed on spot machines only. This holds for jobs of the lowest priority: they would keep on-demand
     * machines from becoming empty and being released. Exceptions are jobs with short tasks, and jobs that have waited for
     * [SPOT_ONLY_PERIOD] without a running task, so that they also run where there are no spot machines.
     */
    fun isSpotOnly(job: Job): Boolean {
        if (!job.spec.spot) return false
        if (jobUrgency.of(job).priority != Priority.LOW) return false
        if (job.spec.estimateS <= SHORT_TASK_MAX_S) return false
        return job.placedCount > 0 || context.wallClockUs - jobUrgency.readySinceUs(job) < SPOT_ONLY_PERIOD
    }

    /**
     * Borrows the machines of other controllers on which [pass] found capacity. When a borrowing is committed, the machine is sent
     * its new fencing token at once.
     */
    fun borrowMachines(pass: PlacementPass) {
        if (pass.machinesToBorrow.isNotEmpty()) shardClaims.borrow(pass.machinesToBorrow, agents::pushCommands)
    }

    private companion object {
        val LOG = LoggerFactory.getLogger(JobPlacer::class.java)
        const val MAX_TASKS_PER_PLACEMENT = 512

        /** Longest estimate of tasks that count as short: they end before their machine would be released as idle. */
        const val SHORT_TASK_MAX_S = 20.0
        const val SPOT_ONLY_PERIOD: Micros = 120 * SECOND
    }
}
