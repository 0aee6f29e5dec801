package mintpick.engine.agents

import mintpick.core.AttemptId
import mintpick.core.Job
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
 * Finds what a machine's reports or the expiry of its lease prove of the tasks that the records show on it, and tells
 * [failureHandler] of each outcome once. Event-loop thread only.
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
     * What is proven of the tasks on [machine]; null if nothing can be. [before] is what was found last: the outcomes in it
     * have been counted.
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

    /** Everything that the records show on the terminated [machine]. */
    fun allEndedOn(machine: MachineId): TaskOutcomes = TaskOutcomes.allEnded(attemptsOn(machine), isTerminated = true)

    private fun attemptsOn(machine: MachineId): List<AttemptId> = cache.tasksOn(machine).map { (task, attempt) -> AttemptId(task, attempt) }

    private fun leaseExpired(
        machine: MachineId,
        before: TaskOutcomes?,
    ): TaskOutcomes {
        val isKnown = before != null && before.hasEndedExactly(cache.tasksOn(machine).keys)
        if (!isKnown) LOG.debug("lease lapsed machine={}", machine.text)
        return TaskOutcomes.allEnded(attemptsOn(machine), isTerminated = false)
    }

    /** Goes through the attempts on one machine; [token] is the fencing token that its reports have to show. */
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

        /** Absent and still to run here: its start is sent again, which is quicker than another placement. */
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

        /** No worker shows it: without control of the machine only completions are proven. */
        const val NO_TOKEN = -1L
    }
}
