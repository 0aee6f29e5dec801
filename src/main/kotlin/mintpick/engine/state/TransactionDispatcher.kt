package mintpick.engine.state

import mintpick.core.MILLI
import mintpick.core.Micros
import mintpick.net.Outcome
import mintpick.store.TransactionResult
import mintpick.wire.Change
import mintpick.wire.Guard
import mintpick.wire.Transaction
import org.slf4j.LoggerFactory

/**
 * Sends compare-and-swap transactions, keeps those that have not been answered yet, and says how much may be written now.
 * Event-loop thread only.
 */
class TransactionDispatcher(
    private val connection: StateStoreConnection,
    private val session: StateStoreSession,
) {
    private val context = connection.context
    private val protocol = connection.protocol
    private val limits = connection.limits
    private val statistics = connection.statistics
    private var backOffUntilUs: Micros = 0

    /** When each transaction was sent that has not been answered yet, by its number. */
    private val sentUsOfUnanswered = HashMap<Long, Micros>()
    private var lastNumber = 0L

    /** Transactions that the state service found too large; its limits may have been lowered further than was announced. */
    var tooLargeCount = 0L
        private set

    /**
     * Transactions that may still be answered soon. One that is late, while the service has answered what was sent after it,
     * has lost its answer: it must not hold up others until it times out, as long as requests are left for leases and
     * catch-ups.
     */
    val inFlightCount: Int
        get() = maxOf(sentUsOfUnanswered.values.count(::isAnswerable), sentUsOfUnanswered.size - MAX_LOST_TRANSACTIONS)

    private fun isAnswerable(sentUs: Micros): Boolean = context.now - sentUs < LATE_ANSWER_AGE || (statistics.lastServedUs ?: 0) <= sentUs

    /** Whether a transaction may be sent, whatever others have used of the write limit. */
    val mayWrite: Boolean get() = session.lease != null && context.now >= backOffUntilUs && limits.requestsAvailable() >= 1

    /** How many keys may be written now; transactions above it wait. */
    fun writesAllowed(): Int = if (mayWrite) limits.writesAvailable().toInt() else 0

    /**
     * Sends a transaction of [changes] under [guards]. What it writes is in the cache when [onResult] hears that it was
     * committed. If the records were read anew meanwhile, which brings it or what came after it, [onResult] hears that the
     * outcome is unknown.
     */
    fun transact(
        guards: List<Guard>,
        changes: List<Write>,
        onResult: (TransactionResult) -> Unit,
    ) {
        val transaction = Transaction(guards, changes.map(::toChange))
        limits.chargeRequest()
        limits.chargeWrites(changes.size)
        val sent = context.now
        val number = ++lastNumber
        sentUsOfUnanswered[number] = sent
        val cacheAtSend = context.cache
        context.call(protocol.transact(transaction)) { outcome ->
            sentUsOfUnanswered.remove(number)
            val result = protocol.readTransaction(outcome)
            record(sent, outcome, result)
            if (result is TransactionResult.Committed) changes.forEach { cacheAtSend.apply(it.key, it.value, result.revision) }
            if (result is TransactionResult.TooLarge) reportTooLarge(guards, changes)
            // The new cache may not show it yet, and what users are answered must be in the records.
            onResult(if (cacheAtSend === context.cache) result else TransactionResult.Unknown)
        }
    }

    private fun toChange(write: Write): Change {
        if (write.value == null) return Change(delete = write.key)
        return Change(put = write.key, value = write.value, lease = if (write.leased) session.lease else null)
    }

    private fun record(
        sentUs: Micros,
        outcome: Outcome,
        result: TransactionResult,
    ) {
        when (result) {
            is TransactionResult.Committed, is TransactionResult.Conflict, TransactionResult.TooLarge -> statistics.recordServed(sentUs)
            TransactionResult.LeaseGone -> session.leaseLost("refused")
            TransactionResult.Refused -> {
                backOffUntilUs = context.now + MIN_BACK_OFF + context.random.nextLong(BACK_OFF_JITTER)
                if (!isRateLimited(outcome)) statistics.recordFailed()
            }
            TransactionResult.Unknown -> statistics.recordFailed()
        }
    }

    private fun isRateLimited(outcome: Outcome): Boolean = outcome is Outcome.Answered && outcome.status == TOO_MANY_REQUESTS

    private fun reportTooLarge(
        guards: List<Guard>,
        changes: List<Write>,
    ) {
        tooLargeCount++
        val largest = changes.maxOfOrNull { it.valueBytes } ?: 0
        LOG.error("transaction too large changes={} guards={} largest_value={}", changes.size, guards.size, largest)
    }

    private companion object {
        val LOG = LoggerFactory.getLogger(TransactionDispatcher::class.java)
        const val TOO_MANY_REQUESTS = 429

        /** After a refusal transactions wait this long, and up to the jitter longer, so that controllers do not return together. */
        const val MIN_BACK_OFF: Micros = 100 * MILLI
        const val BACK_OFF_JITTER: Micros = 100 * MILLI

        /** Most transactions whose answers are taken as lost before they time out. */
        const val MAX_LOST_TRANSACTIONS = 4

        /** How old an unanswered transaction is when its answer may be lost. */
        const val LATE_ANSWER_AGE: Micros = 400 * MILLI
    }
}
