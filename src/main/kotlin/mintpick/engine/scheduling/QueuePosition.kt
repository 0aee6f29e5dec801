package mintpick.engine.scheduling

import mintpick.core.Job
import mintpick.core.Micros
import mintpick.core.isProduction
import mintpick.wire.Priority

/** Where a job stands in the queue: worked out once for each job, not for each comparison of two. */
internal class QueuePosition(
    val job: Job,
    /** Whether its team's guarantee pays for it. */
    private val isFunded: Boolean,
    /** The highest priority of the job and of all jobs that need it. */
    private val priority: Priority,
    /** The team's rank by fair share, the one to be served first lowest. */
    private val fairShareRank: Int,
    /** Time of day as which the job's arrival counts among its team's jobs. */
    private val effectiveArrivalUs: Micros,
) {
    companion object {
        /**
         * First the job to be served first. Funded before unallocated work and then by fair share, as in "Ai2 replaces GPU
         * priority scheduling with time budgets and fair share". The project's own exception: services that users see wait for nobody
         * (docs/design.md).
         */
        val QUEUE_ORDER: Comparator<QueuePosition> =
            compareBy<QueuePosition> { !it.job.spec.isProduction }
                .thenBy { !it.isFunded }
                .thenBy { it.priority }
                .thenBy { it.fairShareRank }
                .thenBy { it.effectiveArrivalUs }
                .thenBy { it.job.id.text }
    }
}
