package mintpick.core

import mintpick.wire.JobSpec
import kotlin.math.max
import kotlin.math.min

/** A job with unfinished tasks. */
data class UnfinishedJob(
    val id: JobId,
    /** Total resources of its unfinished tasks. */
    val demand: Resources,
)

/**
 * Derives the minimum runtime and the funding of jobs. In "Ai2 replaces GPU priority scheduling with time budgets and fair share"
 * jobs declare both. This platform's protocol does not carry them, so they are derived from other fields.
 */
object FundingPolicy {
    /**
     * How long a funded task is protected from preemption: its estimated runtime, limited by [capUs], but at least the time
     * to fetch its image ([fetchUs]). Services run until they are cancelled, so for them it is always [capUs].
     */
    fun minimumRuntime(
        spec: JobSpec,
        fetchUs: Micros,
        capUs: Micros,
    ): Micros = if (spec.isService) capUs else max(fetchUs, min(capUs, (spec.estimateS * SECOND).toLong()))

    /**
     * Which of a team's unfinished jobs are within its guarantee: the longest prefix of [jobs] that fits into it.
     * [jobs] must be in order of submission.
     */
    fun fundedJobs(
        guarantee: Resources,
        jobs: List<UnfinishedJob>,
    ): Set<JobId> {
        var left = guarantee
        val funded = LinkedHashSet<JobId>()
        for ((id, demand) in jobs) {
            left -= demand
            if (!isWithin(guarantee, left)) break
            funded += id
        }
        return funded
    }

    /**
     * Whether no guaranteed resource is overdrawn when [left] of [guarantee] remains. A resource without a guarantee does not
     * count, so jobs are funded if they fit into the guaranteed ones. Without any guarantee nothing is funded.
     */
    private fun isWithin(
        guarantee: Resources,
        left: Resources,
    ): Boolean {
        val hasGuarantee = guarantee.cpus > 0 || guarantee.gpus > 0
        val cpusSuffice = guarantee.cpus <= 0 || left.cpus + Resources.EPSILON >= 0
        val gpusSuffice = guarantee.gpus <= 0 || left.gpus + Resources.EPSILON >= 0
        return hasGuarantee && cpusSuffice && gpusSuffice
    }
}
