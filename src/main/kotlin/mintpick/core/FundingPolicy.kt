package mintpick.core

import mintpick.wire.JobSpec
import kotlin.math.max
import kotlin.math.min

/** A job that is not done. */
data class UnfinishedJob(
    val id: JobId,
    /** What all its unfinished tasks take together. */
    val demand: Resources,
)

/**
 * What the source ("Ai2 replaces GPU priority scheduling with time budgets and fair share") has jobs declare, derived from the
 * platform's fields, since the wire does not carry it: the minimum runtime, and what is funded.
 */
object FundingPolicy {
    /**
     * The span in microseconds for which a funded task is protected: its owner's estimate, but never shorter than the
     * fetch of its image nor longer than the cap. A service protects itself as long as its team pays for it.
     */
    fun minimumRuntime(
        spec: JobSpec,
        fetchUs: Micros,
        capUs: Micros,
    ): Micros = if (spec.isService) capUs else max(fetchUs, min(capUs, (spec.estimateS * SECOND).toLong()))

    /**
     * Which of a team's unfinished jobs its guarantee pays for: the earliest ones that fit into it together.
     * [jobs] come in order of submission.
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
     * Whether no budgeted resource of [guarantee] is overdrawn with [left] left. A resource without a guarantee is not budgeted,
     * so it does not unfund what fits in the others; without any guarantee nothing is funded.
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
