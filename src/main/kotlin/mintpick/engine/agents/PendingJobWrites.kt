package mintpick.engine.agents

import mintpick.core.FailureTracker
import mintpick.core.Job
import mintpick.core.JobId
import mintpick.core.MILLI
import mintpick.core.MachineId
import mintpick.core.Micros
import mintpick.core.Placement
import mintpick.core.Resources
import mintpick.engine.membership.ShardClaims
import mintpick.engine.runtime.EngineContext
import mintpick.engine.transactions.JobUpdate
import mintpick.wire.StoredStage

/**
 * Keeps proven outcomes by machine until they are written, and determines which jobs are due to be written. Outcomes are written
 * together because the state store can't sustain one write per finished task. Event-loop thread only.
 */
class PendingJobWrites(
    private val context: EngineContext,
    private val shardClaims: ShardClaims,
    private val failures: FailureTracker,
) {
    /** The proven outcomes of a job that are to be written; the first of them was found at [sinceUs]. */
    private class PendingWrite(
        val sinceUs: Micros,
    ) {
        /** Machines with outcomes of the job; empty when all outcomes have been written. */
        var machines = HashSet<MachineId>()
        var urgency: Urgency? = null
    }

    /** Cached result of [isUrgent], valid until the job, its proven outcomes or control of machines change. */
    private class Urgency(
        val job: Job,
        val claimChangeCount: Long,
        val isUrgent: Boolean,
    )

    private val outcomesOn = HashMap<MachineId, TaskOutcomes>()
    private val pending = HashMap<JobId, PendingWrite>()

    private val cache get() = context.cache

    /** Resources on [machine] that are proven to be free although the records still show them as used. */
    fun freedOn(machine: MachineId): Resources = outcomesOn[machine]?.freed ?: Resources.ZERO

    /** Adds the outcomes [found] on [machine]; earlier ones must have been removed with [remove]. */
    fun add(
        machine: MachineId,
        found: TaskOutcomes,
    ) {
        outcomesOn[machine] = found
        for (job in found.jobs) {
            val write = pending.getOrPut(job) { PendingWrite(context.now) }
            write.urgency = null
            write.machines += machine
        }
    }

    /** Removes and returns the outcomes on [machine], or null if there are none. */
    fun remove(machine: MachineId): TaskOutcomes? {
        val outcomes = outcomesOn.remove(machine) ?: return null
        outcomes.jobs.forEach { removeMachine(it, machine) }
        return outcomes
    }

    private fun removeMachine(
        job: JobId,
        machine: MachineId,
    ) {
        val write = pending[job] ?: return
        write.urgency = null
        write.machines -= machine
        // A set that has grown for many machines is replaced, because its capacity would affect the iteration order of a few.
        if (write.machines.isEmpty()) write.machines = HashSet()
    }

    /** Applies all proven outcomes of the job to [draft]. */
    fun apply(draft: JobUpdate) {
        val machines = pending[draft.before.id]?.machines.orEmpty()
        for (machine in machines) {
            val outcomes = outcomesOn[machine] ?: continue
            finishCompleted(draft, machine, outcomes)
            requeueEnded(draft, machine, outcomes)
        }
    }

    private fun finishCompleted(
        draft: JobUpdate,
        machine: MachineId,
        outcomes: TaskOutcomes,
    ) {
        for ((task, attempt) in outcomes.completedOf(draft.before.id)) {
            val isPlacedHere = draft.before.placement(task.index) == Placement(machine, attempt)
            if (isPlacedHere) draft.finish(task.index)
        }
    }

    /**
     * Requeues the attempts that have ended on [machine]. Unless the machine is terminated, its next controller could have
     * renewed the agent's lease or started a missing attempt again. Each requeue is therefore guarded by control of the
     * machine and by the absence of other tokens for it, and left out if the guard does not fit into the transaction.
     */
    private fun requeueEnded(
        draft: JobUpdate,
        machine: MachineId,
        outcomes: TaskOutcomes,
    ) {
        for ((task, attempt) in outcomes.endedOf(draft.before.id)) {
            val mayRequeue = outcomes.isTerminated || draft.addMachineGuards(shardClaims.requeueGuards(machine))
            if (mayRequeue) draft.requeue(task.index, Placement(machine, attempt))
        }
    }

    /**
     * Jobs that are due to be written: jobs with tasks to place again, jobs whose tasks on this controller's machines all have
     * proven outcomes, and jobs whose outcomes have waited for [MAX_WRITE_DELAY].
     */
    fun jobsToWrite(): List<JobId> {
        pending.values.removeIf { it.machines.isEmpty() }
        return pending.entries.filter { (id, write) -> isDue(id, write) }.map { it.key }
    }

    private fun isDue(
        id: JobId,
        write: PendingWrite,
    ): Boolean {
        val job = cache.job(id) ?: return false
        return context.now - write.sinceUs >= MAX_WRITE_DELAY || isUrgent(job, write)
    }

    /** Whether the job must be written without delay. The result is cached, since it is needed 25 times per second. */
    private fun isUrgent(
        job: Job,
        write: PendingWrite,
    ): Boolean {
        val known = write.urgency
        if (known != null && known.job === job && known.claimChangeCount == cache.claimChangeCount) return known.isUrgent
        val isUrgent = hasTasksToPlaceAgain(job, write) || areAllOutcomesProven(job, write)
        write.urgency = Urgency(job, cache.claimChangeCount, isUrgent)
        return isUrgent
    }

    /** Whether [job] has ended attempts to place again. Those of a faulty job are not urgent, as it is expected to fail again. */
    private fun hasTasksToPlaceAgain(
        job: Job,
        write: PendingWrite,
    ): Boolean {
        if (job.stage != StoredStage.OPEN || failures.isFaulty(job.id)) return false
        return write.machines.any { machine -> (outcomesOn[machine]?.countEnded(job.id) ?: 0) > 0 }
    }

    /**
     * Whether all attempts of [job] on this controller's machines have proven outcomes. What remains of the job, if anything, is
     * queued or placed on machines of other controllers.
     */
    private fun areAllOutcomesProven(
        job: Job,
        write: PendingWrite,
    ): Boolean {
        val proven = write.machines.sumOf { countProven(job.id, it) }
        return proven >= job.placements().count { (_, placement) -> shardClaims.controls(placement.machine) }
    }

    private fun countProven(
        job: JobId,
        machine: MachineId,
    ): Int {
        val outcomes = outcomesOn[machine] ?: return 0
        return outcomes.countCompleted(job) + outcomes.countEnded(job)
    }

    private companion object {
        /** Maximum time for which outcomes wait to be written together. */
        const val MAX_WRITE_DELAY: Micros = 6_000 * MILLI
    }
}
