package mintpick.engine.agents

import mintpick.core.AttemptId
import mintpick.core.Job
import mintpick.core.MILLI
import mintpick.core.MachineId
import mintpick.core.MachineView
import mintpick.core.Proof
import mintpick.core.demand
import mintpick.core.isService
import mintpick.engine.cache.Claim
import mintpick.engine.membership.ShardClaims
import mintpick.engine.runtime.EngineContext
import mintpick.wire.ExitCause
import mintpick.wire.StoredStage
import org.slf4j.LoggerFactory

/**
 * Determines which outcomes of a machine's placed tasks are proven by its agent's status or lease expiry. Passes each
 * outcome to [failureHandler] once. Event-loop thread only.
 */
class OutcomeDetector(
    private val context: EngineContext,
    private val shardClaims: ShardClaims,
    private val agents: AgentRegistry,
    private val commandPlanner: CommandPlanner,
    private val failureHandler: TaskFailureHandler,
) {
    private val cache get() = context.cache

    /**
     * The proven outcomes of the tasks on [machine], or null if nothing can be proven. [before] contains the outcomes found last
     * time, which have already been passed to [failureHandler].
     */
    fun detect(
        machine: MachineId,
        before: TaskOutcomes?,
    ): TaskOutcomes? {
        val view = agents.view(machine) ?: return null
        val claim = shardClaims.controlClaim(machine) ?: return null
        val isInControl = shardClaims.isOwn(claim) && cache.revision >= claim.version
        if (isInControl && agents.hasLeaseExpired(view)) return leaseExpired(machine, before)
        val examination = Examination(view, claim, if (isInControl) claim.version else NO_TOKEN, before)
        for (attempt in attemptsOn(machine)) {
            val job = cache.job(attempt.task.job) ?: continue
            examination.examine(attempt, job)
        }
        return examination.found.build()
    }

    /** Outcomes for the terminated [machine]: all attempts placed on it have ended. */
    fun allEndedOn(machine: MachineId): TaskOutcomes = TaskOutcomes.allEnded(attemptsOn(machine), isTerminated = true)

    private fun attemptsOn(machine: MachineId): List<AttemptId> = cache.tasksOn(machine).map { (task, attempt) -> AttemptId(task, attempt) }

    private fun leaseExpired(
        machine: MachineId,
        before: TaskOutcomes?,
    ): TaskOutcomes {
        val isKnown = before != null && before.hasEndedExactly(cache.tasksOn(machine).keys)
        if (!isKnown) logExpiry(machine)
        return TaskOutcomes.allEnded(attemptsOn(machine), isTerminated = false)
    }

    private fun logExpiry(machine: MachineId) {
        val view = agents.view(machine) ?: return
        val own = shardClaims.controlClaim(machine)?.version
        val silentMs = (context.now - view.lastStatusUs) / MILLI
        val tasks = cache.tasksOn(machine).size
        LOG.info(
            "lease expired machine={} epoch={} token={} own={} silent_ms={} tasks={}",
            machine.text,
            view.agentEpoch,
            view.token,
            own,
            silentMs,
            tasks,
        )
    }

    /** Examines the attempts on one machine; [token] is the fencing token that its agent has to return for a proof. */
    private inner class Examination(
        private val view: MachineView,
        private val claim: Claim,
        private val token: Long,
        private val before: TaskOutcomes?,
    ) {
        val found = TaskOutcomes.Builder()

        fun examine(
            attempt: AttemptId,
            job: Job,
        ) {
            when (val proof = view.proof(attempt, token)) {
                Proof.None -> if (job.spec.isService) failureHandler.onReplicaObserved(view, attempt)
                Proof.Completed -> addCompleted(attempt, job)
                is Proof.Ended -> if (!willBeRestarted(attempt, job, proof.cause)) addEnded(attempt, job, proof.cause)
            }
        }

        private fun addCompleted(
            attempt: AttemptId,
            job: Job,
        ) {
            found.addCompleted(attempt, job.spec.demand)
            val isCounted = before != null && before.hasCompleted(attempt)
            if (!isCounted) failureHandler.onCompleted(view.id, attempt.task.job)
        }

        private fun addEnded(
            attempt: AttemptId,
            job: Job,
            cause: ExitCause?,
        ) {
            found.addEnded(attempt, job.spec.demand)
            val isCounted = before != null && before.hasEnded(attempt)
            if (!isCounted) failureHandler.onEnded(view.id, attempt, job, cause)
        }

        /**
         * Whether [attempt] is unknown to its agent but is still to run on the machine. Its start is then sent again, which is
         * faster than placing the task elsewhere.
         */
        private fun willBeRestarted(
            attempt: AttemptId,
            job: Job,
            cause: ExitCause?,
        ): Boolean =
            cause == null &&
                job.stage == StoredStage.OPEN &&
                !commandPlanner.isDraining(view, claim) &&
                !commandPlanner.isStopping(attempt)
    }

    private companion object {
        val LOG = LoggerFactory.getLogger(OutcomeDetector::class.java)

        /** Never returned by an agent: without control of the machine only completions can be proven. */
        const val NO_TOKEN = -1L
    }
}
