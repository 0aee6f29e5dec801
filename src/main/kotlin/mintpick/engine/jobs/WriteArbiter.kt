package mintpick.engine.jobs

import mintpick.core.Micros
import mintpick.core.SECOND
import mintpick.engine.runtime.EngineContext
import mintpick.engine.transactions.TransactionPart

/**
 * Divides scarce writes between placements and outcome updates, which record the outcomes of tasks. Outcome updates arise
 * all the time, placements only in a pass of the scheduler. Without arbitration, outcome updates took every write for 15 seconds,
 * and machines became empty while thousands of tasks were waiting. Event-loop thread only.
 */
internal class WriteArbiter(
    private val context: EngineContext,
    private val pendingRequests: PendingRequests,
) {
    /**
     * Number of parts other than placements (outcome updates and cancellations) sent in excess of placements while placements
     * were waiting for writes.
     */
    private var outcomeUpdatesAhead = 0

    /** When outcome updates were last allowed. */
    private var lastAllowedUs: Micros = 0

    /**
     * The [parts] that may be sent while placements are waiting for writes, in order of priority: cancellations, because users
     * are waiting for them, then placements, then outcome updates up to [MAX_OUTCOME_UPDATES_AHEAD] more than placements.
     */
    fun prioritize(parts: List<TransactionPart>): List<TransactionPart> {
        val (placements, others) = parts.partition { it.isPlacement }
        val (cancellations, outcomeUpdates) = others.partition { it.job in pendingRequests.cancellations }
        if (outcomeUpdatesAhead < MAX_OUTCOME_UPDATES_AHEAD) lastAllowedUs = context.now
        // A placement that needs more writes than the limit ever allows must not block outcome updates permanently.
        if (context.now - lastAllowedUs > MAX_OUTCOME_UPDATE_DELAY) outcomeUpdatesAhead = 0
        val allowed = maxOf(0, MAX_OUTCOME_UPDATES_AHEAD - outcomeUpdatesAhead)
        return cancellations + placements + outcomeUpdates.take(allowed)
    }

    /** Counts the [sent] parts. The count is reset when no placement is waiting for writes. */
    fun onSent(
        sent: List<TransactionPart>,
        arePlacementsWaiting: Boolean,
    ) {
        val placements = sent.count { it.isPlacement }
        val others = sent.size - placements
        outcomeUpdatesAhead = if (arePlacementsWaiting) maxOf(0, outcomeUpdatesAhead + others - placements) else 0
    }

    private companion object {
        const val MAX_OUTCOME_UPDATES_AHEAD = 2
        const val MAX_OUTCOME_UPDATE_DELAY: Micros = 2 * SECOND
    }
}
