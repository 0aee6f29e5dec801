package mintpick.engine.scheduling

import mintpick.core.Job
import mintpick.core.Micros
import mintpick.core.isProduction
import mintpick.wire.Priority

/** The sort keys of a job in the queue, computed once per job instead of once per comparison. */
internal class QueuePosition(
    val job: Job,
    /** Whether its team's guarantee pays for it. */
    private val isFunded: Boolean,
    /** The highest priority of the job and all its successors. */
    private val priority: Priority,
    /** The team's rank by fair share; the team whose jobs are placed first has the lowest. */
    private val fairShareRank: Int,
    /** Wall-clock time that counts as the job's arrival among the jobs of its team. */
    private val effectiveArrivalUs: Micros,
) {
    companion object {
        /**
         * Sorts the job to be placed first to the front. Funded work precedes unallocated work, then fair share decides, as in "Ai2
         * replaces GPU priority scheduling with time budgets and fair share". The project's own exception: user-facing services
         * precede all other work (docs/design.md).
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
