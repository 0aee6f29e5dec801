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
 * Keeps proven outcomes by machine until they are written, and says of which jobs something is due to be written: a write
 * for each finished task would be more than the state service takes. Event-loop thread only.
 */
class PendingJobWrites(
    private val context: EngineContext,
    private val shardClaims: ShardClaims,
    private val failures: FailureTracker,
) {
    /** A job with proven outcomes; [sinceUs] is when the first of them was found. */
    private class PendingWrite(
        val sinceUs: Micros,
    ) {
        /** Machines with outcomes of the job; none once all are written. */
        var machines = HashSet<MachineId>()
        var urgency: Urgency? = null
    }

    /** What was found when the job, what is proven of it or control of machines last changed. */
    private class Urgency(
        val job: Job,
        val claimEpoch: Long,
        val isUrgent: Boolean,
    )

    private val outcomesOn = HashMap<MachineId, TaskOutcomes>()
    private val pending = HashMap<JobId, PendingWrite>()

    private val cache get() = context.cache

    /** Room on [machine] that the records still show as taken. */
    fun freedOn(machine: MachineId): Resources = outcomesOn[machine]?.freed ?: Resources.ZERO

    /** Replaces what is proven on a machine by [found]. */
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

    /** Drops and returns what was proven on [machine]; null if nothing was. */
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
        // A table that has grown for many machines is not kept for a few, whose order it would change.
        if (write.machines.isEmpty()) write.machines = HashSet()
    }

    /** Changes [draft] by all that is proven of its job. */
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
     * Unless the machine is terminated, its next controller might have answered its worker, or have started an attempt again
     * that it found absent: the requeue is guarded by control of the machine, or left out if there is no room for the guard.
     */
    private fun requeueEnded(
        draft: JobUpdate,
        machine: MachineId,
        outcomes: TaskOutcomes,
    ) {
        for ((task, attempt) in outcomes.endedOf(draft.before.id)) {
            val mayRequeue = outcomes.isTerminated || draft.addMachineGuards(shardClaims.guards(machine))
            if (mayRequeue) draft.requeue(task.index, Placement(machine, attempt))
        }
    }

    /**
     * Jobs of which something must be written now: tasks that have to be placed again, the end of a job, the last of its
     * tasks on this controller's machines, or what has waited for [MAX_WRITE_DELAY].
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

    /** Found anew only when the job, what is proven of it or control has changed: this is asked 25 times a second. */
    private fun isUrgent(
        job: Job,
        write: PendingWrite,
    ): Boolean {
        val known = write.urgency
        if (known != null && known.job === job && known.claimEpoch == cache.claimEpoch) return known.isUrgent
        val isUrgent = hasTasksToPlaceAgain(job, write) || areAllOutcomesProven(job, write)
        write.urgency = Urgency(job, cache.claimEpoch, isUrgent)
        return isUrgent
    }

    /** What a faulty job leaves behind is written with the rest of it: nobody waits for its next failure. */
    private fun hasTasksToPlaceAgain(
        job: Job,
        write: PendingWrite,
    ): Boolean {
        if (job.stage != StoredStage.OPEN || failures.isFaulty(job.id)) return false
        return write.machines.any { machine -> (outcomesOn[machine]?.countEnded(job.id) ?: 0) > 0 }
    }

    /** Nothing of it is left that could be proven here soon: it has ended, or what is left waits or is elsewhere. */
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
        /** How long finished tasks may wait to be written together. */
        const val MAX_WRITE_DELAY: Micros = 6_000 * MILLI
    }
}
