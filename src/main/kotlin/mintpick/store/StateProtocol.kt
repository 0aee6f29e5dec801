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
import org.slf4j.LoggerFactory

/** How a transaction ended. */
sealed interface TransactionResult {
    /** Executed, at [revision] of the state service. */
    data class Committed(
        val revision: Long,
    ) : TransactionResult

    /** Not executed: at [revision], the keys in [failed] did not have the versions that its guards named. */
    data class Conflict(
        val revision: Long,
        val failed: List<String>,
    ) : TransactionResult

    /** Not executed, nor ever will be; the same transaction may succeed later. */
    data object Refused : TransactionResult

    /** Not executed, nor ever will be: the lease that its writes were to be attached to has expired. */
    data object LeaseExpired : TransactionResult

    /** Not executed, nor ever will be: beyond a limit of size or number, or malformed. */
    data object TooLarge : TransactionResult

    /** Executed, not executed, or executed later: there was no answer, or none that can be read. */
    data object Unknown : TransactionResult
}

/** How any other request to the state service ended. */
sealed interface StateResult<out T> {
    /** Served, with this answer. */
    data class Ok<T>(
        val value: T,
    ) : StateResult<T>

    /** The service no longer has what was asked for: HTTP [status] 404 for a lease, 410 for the changes of a watch. */
    data class Gone(
        val status: Int,
    ) : StateResult<Nothing>

    /** Answered, but not executed: above a limit of the request rate. */
    data object RateLimited : StateResult<Nothing>

    /** Not served: not sent, not answered, an error of the service, or an answer that can't be read (which is logged). */
    data object Failed : StateResult<Nothing>
}

/**
 * The state service's requests, and what their answers mean. Times are microseconds of the steady clock; the protocol's are
 * milliseconds. A read function throws nothing: what can't be read is logged and counts as failed or unknown.
 */
class StateProtocol(
    address: String,
) {
    private val target = Target.State(address)
    private val urgent = Target.State(address, urgent = true)

    /** Reads at most [limit] records in the order of their keys, from the one after key [after] on; null: from the first. */
    fun page(
        after: String?,
        limit: Int,
    ): Call {
        val since = if (after == null) "" else "&since=$after"
        return Call(target, "GET", "/keys?under=${Keys.ROOT}$since&limit=$limit", timeoutUs = READ_TIMEOUT)
    }

    /**
     * Reads the changes after revision [since]. While there are none, the service holds its answer back for up to [waitUs];
     * with 0 it answers at once.
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
        Call(target, "POST", "/multi", encode(Transaction.serializer(), transaction), READ_TIMEOUT)

    /** Asks for a lease that expires [ttlUs] after its last renewal. */
    fun grant(ttlUs: Micros): Call =
        Call(urgent, "POST", "/leases", encode(LeaseRequest.serializer(), LeaseRequest(ttlUs / MILLI)), LEASE_TIMEOUT)

    /** Renews [lease]. */
    fun renew(lease: Long): Call = Call(urgent, "POST", "/leases/$lease/touch", ByteArray(0), LEASE_TIMEOUT)

    /** The answer to [page]. */
    fun readPage(outcome: Outcome): StateResult<ItemPage> = read(outcome, ItemPage.serializer())

    /** The answer to [watch]. */
    fun readWatch(outcome: Outcome): StateResult<EventPage> = read(outcome, EventPage.serializer())

    /** The answer to [grant]. */
    fun readLease(outcome: Outcome): StateResult<LeaseAnswer> = read(outcome, LeaseAnswer.serializer())

    /** The answer to [renew], whose body does not matter. */
    fun readRenewal(outcome: Outcome): StateResult<Unit> =
        when (outcome) {
            is Outcome.Answered -> failure(outcome.status) ?: StateResult.Ok(Unit)
            else -> StateResult.Failed
        }

    /** The answer to [transact]; only [TransactionResult.Unknown] leaves open whether it was executed. */
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
        "state answer unreadable status={} bytes={} reason={}",
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
    ): T = WireJson.decodeFromString(serializer, outcome.text())

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
        const val READ_TIMEOUT: Micros = 2_000 * MILLI
        const val CATCH_UP_TIMEOUT: Micros = 1_200 * MILLI
        const val LEASE_TIMEOUT: Micros = 1_000 * MILLI

        /** How long an answer may take beyond the time that the service holds it back. */
        const val WATCH_MARGIN: Micros = 3_000 * MILLI
    }
}
