package mintpick.engine.jobs

import mintpick.core.Micros
import mintpick.core.SECOND
import mintpick.engine.runtime.EngineContext
import mintpick.engine.transactions.TransactionPart

/**
 * Divides scarce writes between placements and status updates, which record the outcomes of tasks. Status updates arise all
 * the time, placements only in a pass of the scheduler. Without arbitration, status updates took every write for 15 seconds,
 * and machines became empty while thousands of tasks were waiting. Event-loop thread only.
 */
internal class WriteArbiter(
    private val context: EngineContext,
    private val pendingRequests: PendingRequests,
) {
    /** Number of status updates sent in excess of placements while placements were waiting for writes. */
    private var statusUpdatesAhead = 0

    /** When status updates were last allowed. */
    private var lastAllowedUs: Micros = 0

    /**
     * The [parts] that may be sent while placements are waiting for writes, in order of priority: cancellations, because users
     * are waiting for them, then placements, then status updates up to [MAX_STATUS_UPDATES_AHEAD] more than placements.
     */
    fun prioritize(parts: List<TransactionPart>): List<TransactionPart> {
        val (placements, others) = parts.partition { it.isPlacement }
        val (cancellations, statusUpdates) = others.partition { it.job in pendingRequests.cancellations }
        if (statusUpdatesAhead < MAX_STATUS_UPDATES_AHEAD) lastAllowedUs = context.now
        // A placement that needs more writes than the limit ever allows must not block status updates permanently.
        if (context.now - lastAllowedUs > MAX_STATUS_UPDATE_DELAY) statusUpdatesAhead = 0
        val allowed = maxOf(0, MAX_STATUS_UPDATES_AHEAD - statusUpdatesAhead)
        return cancellations + placements + statusUpdates.take(allowed)
    }

    /** Counts the [sent] parts. The count is reset when no placement is waiting for writes. */
    fun onSent(
        sent: List<TransactionPart>,
        arePlacementsWaiting: Boolean,
    ) {
        val placements = sent.count { it.isPlacement }
        val others = sent.size - placements
        statusUpdatesAhead = if (arePlacementsWaiting) maxOf(0, statusUpdatesAhead + others - placements) else 0
    }

    private companion object {
        const val MAX_STATUS_UPDATES_AHEAD = 2
        const val MAX_STATUS_UPDATE_DELAY: Micros = 2 * SECOND
    }
}
