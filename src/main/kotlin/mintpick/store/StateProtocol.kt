package mintpick.store

import kotlinx.serialization.KSerializer
import kotlinx.serialization.SerializationException
import mintpick.core.MILLI
import mintpick.core.Micros
import mintpick.net.Call
import mintpick.net.Outcome
import mintpick.net.Target
import mintpick.wire.EventPage
import mintpick.wire.ItemPage
import mintpick.wire.LeaseAnswer
import mintpick.wire.LeaseRequest
import mintpick.wire.Transaction
import mintpick.wire.TransactionAnswer
import mintpick.wire.WireJson
import mintpick.wire.decodeJson
import org.slf4j.LoggerFactory

/** How a transaction ended. */
sealed interface TransactionResult {
    /** Executed at [revision] of the state store. */
    data class Committed(
        val revision: Long,
    ) : TransactionResult

    /** Not executed: at [revision], the keys in [failed] did not have the versions that the guards require. */
    data class Conflict(
        val revision: Long,
        val failed: List<String>,
    ) : TransactionResult

    /** Not executed, and this request never will be; sending the same transaction again may succeed. */
    data object Refused : TransactionResult

    /** Not executed, and never will be: the lease that its writes are attached to has expired. */
    data object LeaseExpired : TransactionResult

    /** Not executed, and never will be: it exceeds a limit of size or number, or is malformed. */
    data object TooLarge : TransactionResult

    /** Unknown outcome: no readable answer was received. The transaction may have been executed, or may still be executed. */
    data object Unknown : TransactionResult
}

/** How any other request to the state store ended. */
sealed interface StateResult<out T> {
    /** Successful; [value] is the answer. */
    data class Ok<T>(
        val value: T,
    ) : StateResult<T>

    /** The state store no longer has the requested item: HTTP [status] 404 for a lease, 410 for the changes of a watch. */
    data class Gone(
        val status: Int,
    ) : StateResult<Nothing>

    /** Rejected without being executed, because it exceeds a limit of the request rate. */
    data object RateLimited : StateResult<Nothing>

    /** Failed: not sent, timed out, answered with an error, or answered unreadably (which is logged). */
    data object Failed : StateResult<Nothing>
}

/**
 * Builds requests to the state store and interprets their answers. Times are in microseconds, those of the protocol in
 * milliseconds. Functions that read an answer do not throw: an unreadable answer is logged, and the result is
 * [StateResult.Failed] or [TransactionResult.Unknown].
 */
class StateProtocol(
    address: String,
) {
    private val target = Target.State(address)
    private val urgent = Target.State(address, urgent = true)

    /** Reads at most [limit] records in the order of their keys, starting after key [after]; null: from the first key. */
    fun page(
        after: String?,
        limit: Int,
    ): Call {
        val since = if (after == null) "" else "&since=$after"
        return Call(target, "GET", "/keys?under=${Keys.ROOT}$since&limit=$limit", timeoutUs = REQUEST_TIMEOUT)
    }

    /**
     * Reads the changes after revision [since]. If there are none yet, the state store delays its answer by up to [waitUs];
     * with 0 it answers immediately.
     */
    fun watch(
        since: Long,
        waitUs: Micros,
    ): Call {
        val timeoutUs = if (waitUs > 0) waitUs + WATCH_MARGIN else CATCH_UP_TIMEOUT
        val path = "/follow?under=${Keys.ROOT}&since=$since&wait_ms=${waitUs / MILLI}"
        return Call(target, "GET", path, timeoutUs = timeoutUs)
    }

    /** Executes [transaction] if its guards hold. */
    fun transact(transaction: Transaction): Call =
        Call(target, "POST", "/multi", encode(Transaction.serializer(), transaction), REQUEST_TIMEOUT)

    /** Requests a lease that expires [ttlUs] after its last renewal. */
    fun grant(ttlUs: Micros): Call =
        Call(urgent, "POST", "/leases", encode(LeaseRequest.serializer(), LeaseRequest(ttlUs / MILLI)), LEASE_TIMEOUT)

    /** Renews [lease]. */
    fun renew(lease: Long): Call = Call(urgent, "POST", "/leases/$lease/touch", ByteArray(0), LEASE_TIMEOUT)

    /** Reads the answer to [page]. */
    fun readPage(outcome: Outcome): StateResult<ItemPage> = read(outcome, ItemPage.serializer())

    /**
     * Reads the answer to [watch]. The state store does not limit its length; one that is too long for the memory counts as one whose
     * changes are no longer available, since reading all records by pages needs less memory.
     */
    fun readWatch(outcome: Outcome): StateResult<EventPage> {
        if (outcome is Outcome.Answered && outcome.isTooLong) {
            LOG.warn("watch answer too long for the memory, loading all records instead")
            return StateResult.Gone(GONE)
        }
        return read(outcome, EventPage.serializer())
    }

    /** Reads the answer to [grant]. */
    fun readLease(outcome: Outcome): StateResult<LeaseAnswer> = read(outcome, LeaseAnswer.serializer())

    /** Reads the answer to [renew], of which only the status is used. */
    fun readRenewal(outcome: Outcome): StateResult<Unit> =
        when (outcome) {
            is Outcome.Answered -> failure(outcome.status) ?: StateResult.Ok(Unit)
            else -> StateResult.Failed
        }

    /** Reads the answer to [transact]; only [TransactionResult.Unknown] means that the transaction may or may not be executed. */
    fun readTransaction(outcome: Outcome): TransactionResult =
        when (outcome) {
            Outcome.NotSent -> TransactionResult.Refused
            Outcome.Unanswered -> TransactionResult.Unknown
            is Outcome.Answered -> transactionAnswer(outcome)
        }

    private fun transactionAnswer(outcome: Outcome.Answered): TransactionResult =
        try {
            when (outcome.status) {
                OK -> TransactionResult.Committed(decode(outcome, TransactionAnswer.serializer()).revision)
                CONFLICT -> decode(outcome, TransactionAnswer.serializer()).let { TransactionResult.Conflict(it.revision, it.failed) }
                BAD_REQUEST -> if ("lease" in outcome.text()) TransactionResult.LeaseExpired else TransactionResult.TooLarge
                else -> TransactionResult.Refused
            }
        } catch (e: SerializationException) {
            logUnreadable(outcome, e)
            TransactionResult.Unknown
        }

    private fun <T> read(
        outcome: Outcome,
        serializer: KSerializer<T>,
    ): StateResult<T> {
        if (outcome !is Outcome.Answered) return StateResult.Failed
        failure(outcome.status)?.let { return it }
        return try {
            StateResult.Ok(decode(outcome, serializer))
        } catch (e: IllegalArgumentException) {
            logUnreadable(outcome, e)
            StateResult.Failed
        }
    }

    private fun logUnreadable(
        outcome: Outcome.Answered,
        cause: IllegalArgumentException,
    ) = LOG.debug(
        "state store answer unreadable status={} bytes={} reason={}",
        outcome.status,
        outcome.body.size,
        cause.message?.lineSequence()?.first(),
    )

    private fun failure(status: Int): StateResult<Nothing>? =
        when (status) {
            OK -> null
            NOT_FOUND, GONE -> StateResult.Gone(status)
            TOO_MANY_REQUESTS -> StateResult.RateLimited
            else -> StateResult.Failed
        }

    private fun <T> decode(
        outcome: Outcome.Answered,
        serializer: KSerializer<T>,
    ): T = decodeJson(serializer, outcome.text())

    private fun <T> encode(
        serializer: KSerializer<T>,
        value: T,
    ): ByteArray = WireJson.encodeToString(serializer, value).encodeToByteArray()

    private companion object {
        val LOG = LoggerFactory.getLogger(StateProtocol::class.java)
        const val OK = 200
        const val BAD_REQUEST = 400
        const val NOT_FOUND = 404
        const val CONFLICT = 409
        const val GONE = 410
        const val TOO_MANY_REQUESTS = 429
        const val REQUEST_TIMEOUT: Micros = 2_000 * MILLI
        const val CATCH_UP_TIMEOUT: Micros = 1_200 * MILLI
        const val LEASE_TIMEOUT: Micros = 1_000 * MILLI

        /** Time to wait for an answer in addition to the time by which the state store may delay it. */
        const val WATCH_MARGIN: Micros = 3_000 * MILLI
    }
}
