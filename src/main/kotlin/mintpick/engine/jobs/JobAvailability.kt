package mintpick.engine.jobs

import mintpick.core.JobId
import mintpick.core.Micros
import mintpick.core.SECOND
import mintpick.engine.runtime.EngineContext

/** Which jobs may be planned: those without a transaction in flight, whose records are current. Event-loop thread only. */
internal class JobAvailability(
    private val context: EngineContext,
) {
    private val inFlight = HashSet<JobId>()

    /** Jobs whose records are known to have changed, with the revision that the watch has to reach first. */
    private val outdatedUntilRevision = HashMap<JobId, Long>()

    /** Jobs whose update the state service found too large, until when they are not planned again. */
    private val oversizedUntilUs = HashMap<JobId, Micros>()

    /** Whether [job] may be planned now. */
    fun isAvailable(job: JobId): Boolean {
        if (job in inFlight || context.now < (oversizedUntilUs[job] ?: 0)) return false
        val revision = outdatedUntilRevision[job] ?: return true
        if (context.cache.revision < revision) return false
        outdatedUntilRevision.remove(job)
        return true
    }

    /** A transaction that writes [jobs] is in flight. */
    fun markInFlight(jobs: Collection<JobId>) {
        inFlight += jobs
    }

    /** The outcome of the transaction that writes [jobs] is known, or known to stay unknown. */
    fun clearInFlight(jobs: Collection<JobId>) {
        inFlight -= jobs.toSet()
    }

    /** [job] conflicted with a change that the records show at [revision]. */
    fun waitForRevision(
        job: JobId,
        revision: Long,
    ) {
        outdatedUntilRevision[job] = revision
    }

    /** An update of [job] alone was too large. */
    fun pauseOversized(job: JobId) {
        oversizedUntilUs.values.removeIf { it < context.now }
        oversizedUntilUs[job] = context.now + OVERSIZED_PAUSE
    }

    private companion object {
        const val OVERSIZED_PAUSE: Micros = 10 * SECOND
    }
}
