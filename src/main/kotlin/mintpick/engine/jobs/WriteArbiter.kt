package mintpick.engine.jobs

import mintpick.core.Micros
import mintpick.core.SECOND
import mintpick.engine.runtime.EngineContext
import mintpick.engine.transactions.TransactionPart

/**
 * Shares scarce writes between placements and status updates, which record what has become of tasks. Status updates are
 * known all the time, placements only after each pass of the scheduler: without arbitration the former once took every
 * write for a quarter of a minute, and machines ran empty one after the other beside thousands of waiting tasks.
 * Event-loop thread only.
 */
internal class WriteArbiter(
    private val context: EngineContext,
    private val pendingRequests: PendingRequests,
) {
    /** Status updates sent beyond the placements sent, while placements waited for writes. */
    private var statusUpdatesAhead = 0
    private var lastAllowedUs: Micros = 0

    /**
     * What may be sent of [parts] while placements wait for writes, in order of priority: cancellations, for which users
     * wait, placements, and status updates until they are too far ahead of the placements.
     */
    fun prioritize(parts: List<TransactionPart>): List<TransactionPart> {
        val (placements, others) = parts.partition { it.isPlacement }
        val (cancellations, statusUpdates) = others.partition { it.job in pendingRequests.cancellations }
        if (statusUpdatesAhead < MAX_STATUS_UPDATES_AHEAD) lastAllowedUs = context.now
        // A placement that needs more writes than the limit ever allows must not hold the others up for good.
        if (context.now - lastAllowedUs > MAX_STATUS_UPDATE_DELAY) statusUpdatesAhead = 0
        val allowed = maxOf(0, MAX_STATUS_UPDATES_AHEAD - statusUpdatesAhead)
        return cancellations + placements + statusUpdates.take(allowed)
    }

    /** Notes what was [sent]; once no placement waits for writes, what was sent before does not count any more. */
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
