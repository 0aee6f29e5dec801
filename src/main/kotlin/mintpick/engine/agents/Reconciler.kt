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
 * Reconciles job records with the task outcomes that machines prove. [OutcomeDetector] finds the outcomes, [PendingJobWrites]
 * keeps them until they are written, and [TaskFailureHandler] counts errors. Event-loop thread only.
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

    /** Machines that are proven to be terminated, so that all tasks on them have ended. */
    private val terminated = HashSet<MachineId>()

    /** Machines to examine in this step. */
    private val changedMachines = HashSet<MachineId>()
    private var nextSweepUs: Micros = 0
    private var lastClaimChangeCount = -1L

    private val cache get() = context.cache

    /** Jobs and machines that are considered faulty because of tasks that ended with an error. */
    val failures: FailureTracker get() = failureHandler.failures

    /** Whether [machine] is proven to be terminated. */
    fun isTerminated(machine: MachineId): Boolean = machine in terminated

    /** Records that [machine] is proven to be terminated and that all tasks on it have ended; [reason] is logged. */
    fun markTerminated(
        machine: MachineId,
        reason: String,
    ) {
        if (!terminated.add(machine)) return
        LOG.info("machine terminated machine={} reason={} tasks={}", machine.text, reason, cache.tasksOn(machine).size)
        agents.markTerminated(machine)
        changedMachines += machine
    }

    /** Whether the backoff of [job] is over. It limits the retries of a job that keeps failing until its user cancels it. */
    fun mayRetry(job: JobId): Boolean = failures.mayRetry(job, context.now)

    /** Whether the agent of [machine] has not refused a start recently. */
    fun acceptsStarts(machine: MachineId): Boolean = failureHandler.acceptsStarts(machine)

    /** Resources on [machine] that are proven to be free although the records still show them as used. */
    fun freedOn(machine: MachineId): Resources = pendingWrites.freedOn(machine)

    /**
     * Examines the [changed] machines. When claims have changed, examines all machines with tasks. Otherwise also examines all
     * controlled machines every [SWEEP_INTERVAL], to detect lease expiry, which no message announces.
     */
    fun reconcile(changed: Collection<MachineId>) {
        changedMachines += changed
        if (cache.claimChangeCount != lastClaimChangeCount) {
            lastClaimChangeCount = cache.claimChangeCount
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

    /** Applies all proven outcomes of the job to [draft]. */
    fun apply(draft: JobUpdate) = pendingWrites.apply(draft)

    /** Jobs that are due to be written; see [PendingJobWrites.jobsToWrite]. */
    fun jobsToWrite(): List<JobId> = pendingWrites.jobsToWrite()

    private companion object {
        val LOG = LoggerFactory.getLogger(Reconciler::class.java)

        /** Interval at which controlled machines are examined even if nothing has changed. */
        const val SWEEP_INTERVAL: Micros = SECOND
    }
}
