package mintpick.engine.jobs

import mintpick.core.JobId
import mintpick.core.Micros
import mintpick.core.SECOND
import mintpick.engine.runtime.EngineContext

/**
 * Tracks which jobs may be planned: those that no transaction in flight writes and whose cached records are current.
 * Event-loop thread only.
 */
internal class JobAvailability(
    private val context: EngineContext,
) {
    private val inFlight = HashSet<JobId>()

    /** Jobs whose cached records are known to be outdated, with the revision that the watch must reach before they are planned again. */
    private val outdatedUntilRevision = HashMap<JobId, Long>()

    /** Jobs whose update was too large for the state store, with the time until which they are not planned again. */
    private val oversizedUntilUs = HashMap<JobId, Micros>()

    /** Whether [job] may be planned now. */
    fun isAvailable(job: JobId): Boolean {
        if (job in inFlight || context.now < (oversizedUntilUs[job] ?: 0)) return false
        val revision = outdatedUntilRevision[job] ?: return true
        if (context.cache.revision < revision) return false
        outdatedUntilRevision.remove(job)
        return true
    }

    /** Marks [jobs] as written by a transaction in flight. */
    fun markInFlight(jobs: Collection<JobId>) {
        inFlight += jobs
    }

    /** Removes the mark from [jobs]: the transaction that writes them has committed, failed or ended with an unknown outcome. */
    fun clearInFlight(jobs: Collection<JobId>) {
        inFlight -= jobs.toSet()
    }

    /** Makes [job] unavailable until the cache has reached [revision], which contains the change that [job] conflicted with. */
    fun waitForRevision(
        job: JobId,
        revision: Long,
    ) {
        outdatedUntilRevision[job] = revision
    }

    /** Makes [job] unavailable for [OVERSIZED_PAUSE]: its update was too large even in a separate transaction. */
    fun pauseOversized(job: JobId) {
        oversizedUntilUs.values.removeIf { it < context.now }
        oversizedUntilUs[job] = context.now + OVERSIZED_PAUSE
    }

    private companion object {
        const val OVERSIZED_PAUSE: Micros = 10 * SECOND
    }
}
