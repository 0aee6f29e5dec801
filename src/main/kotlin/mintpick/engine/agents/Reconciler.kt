package mintpick.engine.agents

import mintpick.core.FailureTracker
import mintpick.core.JobId
import mintpick.core.MachineId
import mintpick.core.Micros
import mintpick.core.Resources
import mintpick.core.SECOND
import mintpick.engine.membership.ShardClaims
import mintpick.engine.runtime.EngineContext
import mintpick.engine.transactions.JobUpdate
import org.slf4j.LoggerFactory

/**
 * Reconciles the records of jobs with what machines prove: [OutcomeDetector] finds it, [PendingJobWrites] keeps it until it
 * is written, and [TaskFailureHandler] counts errors. Event-loop thread only.
 */
class Reconciler(
    private val context: EngineContext,
    shardClaims: ShardClaims,
    private val agents: AgentRegistry,
    commandPlanner: CommandPlanner,
) {
    private val failureHandler = TaskFailureHandler(context)
    private val detector = OutcomeDetector(context, shardClaims, agents, commandPlanner, failureHandler)
    private val pendingWrites = PendingJobWrites(context, shardClaims, failureHandler.failures)

    /** Machines that are proven to be terminated, with everything on them. */
    private val terminated = HashSet<MachineId>()

    /** Machines to be examined in this step. */
    private val changedMachines = HashSet<MachineId>()
    private var nextSweepUs: Micros = 0
    private var lastClaimEpoch = -1L

    private val cache get() = context.cache

    /** Which jobs and machines are at fault for tasks that end with an error. */
    val failures: FailureTracker get() = failureHandler.failures

    /** Whether [machine] is proven to be terminated. */
    fun isTerminated(machine: MachineId): Boolean = machine in terminated

    /** [machine] is proven to be terminated, and every task on it has ended; [reason] goes into the log. */
    fun markTerminated(
        machine: MachineId,
        reason: String,
    ) {
        if (!terminated.add(machine)) return
        LOG.info("machine terminated machine={} reason={} tasks={}", machine.text, reason, cache.tasksOn(machine).size)
        agents.markTerminated(machine)
        changedMachines += machine
    }

    /** Whether the backoff of [job] is over: one that keeps failing may fail on every machine until its user cancels it. */
    fun mayRetry(job: JobId): Boolean = failures.mayRetry(job, context.now)

    /** Whether no worker's refusal of a start on [machine] is recent. */
    fun acceptsStarts(machine: MachineId): Boolean = failureHandler.acceptsStarts(machine)

    /** Room on [machine] that the records still show as taken. */
    fun freedOn(machine: MachineId): Resources = pendingWrites.freedOn(machine)

    /**
     * Examines the [changed] machines; all with tasks when claims have changed, and this controller's once in
     * [SWEEP_INTERVAL] for what time alone proves: that a lease has expired.
     */
    fun reconcile(changed: Collection<MachineId>) {
        changedMachines += changed
        if (cache.claimEpoch != lastClaimEpoch) {
            lastClaimEpoch = cache.claimEpoch
            changedMachines += cache.machinesWithTasks()
        } else if (context.now >= nextSweepUs) {
            nextSweepUs = context.now + SWEEP_INTERVAL
            changedMachines += agents.controlledMachines
            failureHandler.forgetFinished()
        }
        changedMachines.forEach(::examine)
        changedMachines.clear()
    }

    private fun examine(machine: MachineId) {
        val before = pendingWrites.remove(machine)
        val found = outcomesOn(machine, before)
        if (found != null && !found.isEmpty) pendingWrites.add(machine, found)
    }

    private fun outcomesOn(
        machine: MachineId,
        before: TaskOutcomes?,
    ): TaskOutcomes? =
        when {
            cache.tasksOn(machine).isEmpty() -> null
            machine in terminated -> detector.allEndedOn(machine)
            else -> detector.detect(machine, before)
        }

    /** Changes [draft] by all that is proven of its job. */
    fun apply(draft: JobUpdate) = pendingWrites.apply(draft)

    /** Jobs of which something must be written now; see [PendingJobWrites.jobsToWrite]. */
    fun jobsToWrite(): List<JobId> = pendingWrites.jobsToWrite()

    private companion object {
        val LOG = LoggerFactory.getLogger(Reconciler::class.java)

        /** How often this controller's machines are examined though nothing about them has changed. */
        const val SWEEP_INTERVAL: Micros = SECOND
    }
}
