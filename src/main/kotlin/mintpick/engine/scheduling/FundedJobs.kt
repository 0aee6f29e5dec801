package mintpick.engine.scheduling

import mintpick.core.FundingPolicy
import mintpick.core.Job
import mintpick.core.JobId
import mintpick.core.Micros
import mintpick.core.Resources
import mintpick.core.SECOND
import mintpick.core.UnfinishedJob
import mintpick.core.demand
import mintpick.engine.runtime.EngineContext
import mintpick.wire.StoredStage

/** The jobs that their teams' guarantees pay for, reevaluated ten times a second. Excludes jobs with unfinished predecessors. */
internal class FundedJobs(
    private val context: EngineContext,
) {
    private var evaluatedUs: Micros = -REFRESH_INTERVAL
    private var funded: Set<JobId> = emptySet()

    operator fun contains(job: JobId): Boolean {
        if (context.now - evaluatedUs >= REFRESH_INTERVAL) {
            evaluatedUs = context.now
            funded = evaluate()
        }
        return job in funded
    }

    private fun evaluate(): Set<JobId> {
        val byTeam =
            context.cache.jobs
                .filter { it.stage == StoredStage.OPEN && it.arePredecessorsDone }
                .groupBy { it.spec.team }
        return context.settings.teams.flatMapTo(HashSet()) { team ->
            val guarantee = Resources(team.cpus, team.gpus, 0.0)
            val jobs = byTeam[team.name].orEmpty().sortedWith(BY_SUBMISSION)
            FundingPolicy.fundedJobs(guarantee, jobs.map { UnfinishedJob(it.id, unfinishedDemand(it)) })
        }
    }

    private fun unfinishedDemand(job: Job): Resources = job.spec.demand * (job.spec.tasks - job.doneCount).toDouble()

    private companion object {
        const val REFRESH_INTERVAL: Micros = SECOND / 10
        val BY_SUBMISSION = compareBy<Job> { it.submittedUs }.thenBy { it.id.text }
    }
}
