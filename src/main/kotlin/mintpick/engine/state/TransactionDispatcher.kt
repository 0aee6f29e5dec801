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
 * Sends compare-and-swap transactions, tracks those without an answer, and determines how much may be written now. Event-loop
 * thread only.
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

    /** Send times of the transactions without an answer, by transaction number. */
    private val sentUsOfUnanswered = HashMap<Long, Micros>()
    private var lastNumber = 0L

    /** Number of transactions that the state store rejected as too large. Its limits may have been lowered further than announced. */
    var tooLargeCount = 0L
        private set

    /**
     * Number of transactions whose answers are still expected. The answer of a late transaction is considered lost if the state
     * store has answered a request that was sent after it. Such a transaction must not delay others until it times out. At most
     * [MAX_LOST_TRANSACTIONS] are excluded, so that enough requests remain for leases and catch-ups.
     */
    val inFlightCount: Int
        get() = maxOf(sentUsOfUnanswered.values.count(::isAnswerable), sentUsOfUnanswered.size - MAX_LOST_TRANSACTIONS)

    private fun isAnswerable(sentUs: Micros): Boolean = context.now - sentUs < LATE_ANSWER_AGE || (statistics.lastServedUs ?: 0) <= sentUs

    /** Whether a transaction may be sent now, regardless of the write limit. */
    val mayWrite: Boolean get() = session.lease != null && context.now >= backOffUntilUs && limits.requestsAvailable() >= 1

    /** Number of keys that may be written now; larger transactions have to wait. */
    fun writesAllowed(): Int = if (mayWrite) limits.writesAvailable().toInt() else 0

    /**
     * Sends a transaction of [changes] under [guards]. Committed changes are in the cache before [onResult] is called, except those not [Write.isCachedOnCommit]. If the
     * cache was reset in the meantime, [onResult] receives an unknown outcome; the reload brings the changes or later ones.
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
            recordOutcome(sent, outcome, result)
            if (result is TransactionResult.Committed) {
                changes.filter { it.isCachedOnCommit }.forEach { cacheAtSend.apply(it.key, it.value, result.revision) }
            }
            if (result is TransactionResult.TooLarge) onTooLarge(guards, changes)
            // A new cache may not contain the changes yet, and answers to users must agree with the cached records.
            onResult(if (cacheAtSend === context.cache) result else TransactionResult.Unknown)
        }
    }

    private fun toChange(write: Write): Change {
        if (write.value == null) return Change(delete = write.key)
        return Change(put = write.key, value = write.value, lease = if (write.leased) session.lease else null)
    }

    private fun recordOutcome(
        sentUs: Micros,
        outcome: Outcome,
        result: TransactionResult,
    ) {
        when (result) {
            is TransactionResult.Committed, is TransactionResult.Conflict, TransactionResult.TooLarge -> statistics.recordServed(sentUs)
            TransactionResult.LeaseExpired -> session.onLeaseLost("refused")
            TransactionResult.Refused -> {
                backOffUntilUs = context.now + MIN_BACK_OFF + context.random.nextLong(BACK_OFF_JITTER)
                if (!isRateLimited(outcome)) statistics.recordFailed()
            }
            TransactionResult.Unknown -> statistics.recordFailed()
        }
    }

    private fun isRateLimited(outcome: Outcome): Boolean = outcome is Outcome.Answered && outcome.status == TOO_MANY_REQUESTS

    private fun onTooLarge(
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

        /** After a refusal no transaction is sent for this time plus a random jitter, so that controllers do not resume simultaneously. */
        const val MIN_BACK_OFF: Micros = 100 * MILLI
        const val BACK_OFF_JITTER: Micros = 100 * MILLI

        /** Maximum number of transactions whose answers are considered lost before they time out. */
        const val MAX_LOST_TRANSACTIONS = 4

        /** Age from which the answer of a transaction may be considered lost. */
        const val LATE_ANSWER_AGE: Micros = 400 * MILLI
    }
}
