package mintpick.engine.scheduling

import mintpick.core.Job
import mintpick.core.Micros
import mintpick.core.SECOND
import mintpick.dependencies.Urgency
import mintpick.engine.jobs.JobUrgency
import mintpick.engine.runtime.EngineContext

/**
 * Orders waiting jobs: between teams by funding and fair share, within a team by arrival, size and deadline. Event-loop thread
 * only.
 *
 * @param sizeHandicap multiplies the time that a job's remaining work would take on the whole cluster; the product is added to the
 *   job's arrival, so that smaller jobs of its team pass it
 */
class JobQueue(
    private val context: EngineContext,
    private val usageAccounting: UsageAccounting,
    private val jobUrgency: JobUrgency,
    private val sizeHandicap: Double,
) {
    /** All of [jobs], sorted with the job to be placed first at the front. */
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
     * When [job] counts as having arrived. The jobs of a team are ordered by arrival, but small jobs pass large ones: a multiple of
     * the time that the remaining work would take on the whole cluster is added. This handicap is bounded so that waiting outweighs
     * any size. Without the bound, the largest jobs would never start while small ones keep arriving.
     */
    private fun effectiveArrivalUs(
        job: Job,
        urgency: Urgency,
        clusterCpus: Double,
    ): Micros {
        val clusterSeconds = job.waitingCount * job.spec.estimateS * job.spec.cpus / maxOf(clusterCpus, 1.0)
        val handicapUs = minOf((clusterSeconds * sizeHandicap * SECOND).toLong(), MAX_SIZE_HANDICAP)
        val arrivalUs = jobUrgency.readySinceUs(job) + handicapUs
        val latestStartUs = urgency.latestStartUs ?: return arrivalUs
        // Little slack before the deadline makes a job count as having arrived earlier; ample slack does not move it back.
        return minOf(arrivalUs, latestStartUs - AMPLE_SLACK)
    }

    private companion object {
        /** A deadline moves a job forward only if its latest start is less than this after its arrival. */
        const val AMPLE_SLACK: Micros = 60 * SECOND
        const val MAX_SIZE_HANDICAP: Micros = 30 * SECOND
    }
}
