package mintpick.engine.scheduling

import mintpick.core.Job
import mintpick.core.Micros
import mintpick.core.SECOND
import mintpick.dependencies.Urgency
import mintpick.engine.jobs.JobUrgency
import mintpick.engine.runtime.EngineContext

/**
 * The order in which waiting jobs are served: between teams by funding and fair share, within a team by arrival, size and
 * deadline. Event-loop thread only.
 *
 * @param sizeHandicap by how many times the run time of its remaining work on the whole cluster a job falls back behind
 *   smaller ones of its team
 */
class JobQueue(
    private val context: EngineContext,
    private val usageAccounting: UsageAccounting,
    private val jobUrgency: JobUrgency,
    private val sizeHandicap: Double,
) {
    /** All of [jobs], first the one to be served first. */
    fun inQueueOrder(jobs: Collection<Job>): List<Job> {
        val clusterCpus = context.cache.totalCpus
        val fairShareRanks = usageAccounting.fairShareRanks()
        return jobs
            .map { positionOf(it, clusterCpus, fairShareRanks) }
            .sortedWith(QueuePosition.QUEUE_ORDER)
            .map { it.job }
    }

    private fun positionOf(
        job: Job,
        clusterCpus: Double,
        fairShareRanks: FairShareRanks,
    ): QueuePosition {
        val isFunded = usageAccounting.isFunded(job.id)
        val urgency = jobUrgency.of(job)
        val fairShareRank = fairShareRanks.of(job.spec.team)
        return QueuePosition(job, isFunded, urgency.priority, fairShareRank, effectiveArrivalUs(job, urgency, clusterCpus))
    }

    /**
     * A team's own jobs go in order of arrival, but small ones pass large ones: a job counts as having arrived later by a
     * multiple of the time that its remaining work would take on the whole cluster. Bounded, so that waiting makes up for any
     * size: without the bound the largest would never begin while small ones keep coming.
     */
    private fun effectiveArrivalUs(
        job: Job,
        urgency: Urgency,
        clusterCpus: Double,
    ): Micros {
        val clusterSeconds = job.waiting * job.spec.estimateS * job.spec.cpus / maxOf(clusterCpus, 1.0)
        val handicapUs = minOf((clusterSeconds * sizeHandicap * SECOND).toLong(), MAX_SIZE_HANDICAP)
        val arrivalUs = jobUrgency.readySinceUs(job) + handicapUs
        val latestStartUs = urgency.latestStartUs ?: return arrivalUs
        // A job with little slack counts as having arrived earlier; one with much slack loses nothing.
        return minOf(arrivalUs, latestStartUs - AMPLE_SLACK)
    }

    private companion object {
        /** A job whose latest start is farther away than this gains nothing from its deadline. */
        const val AMPLE_SLACK: Micros = 60 * SECOND
        const val MAX_SIZE_HANDICAP: Micros = 30 * SECOND
    }
}
