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

/** How a transaction ended. */
sealed interface TransactionResult {
    data class Committed(
        val revision: Long,
    ) : TransactionResult

    data class Conflict(
        val revision: Long,
        val failed: List<String>,
    ) : TransactionResult

    /** Not executed, nor ever will be. */
    data object Refused : TransactionResult

    data object LeaseGone : TransactionResult

    /** Not executed, nor ever will be: beyond a limit of size or number, or malformed. */
    data object TooLarge : TransactionResult

    /** Executed, not executed, or executed later. */
    data object Unknown : TransactionResult
}

/** How any other request to the state service ended. */
sealed interface StateResult<out T> {
    data class Ok<T>(
        val value: T,
    ) : StateResult<T>

    /** The service answered and said no: 404 for a lease, 410 for a watch. */
    data class Gone(
        val status: Int,
    ) : StateResult<Nothing>

    /** Served, but above a limit. */
    data object Limited : StateResult<Nothing>

    data object Failed : StateResult<Nothing>
}

/** The state service's requests and answers. */
class StateProtocol(
    address: String,
) {
    private val target = Target.State(address)
    private val urgent = Target.State(address, urgent = true)

    fun page(
        after: String?,
        limit: Int,
    ): Call {
        val since = if (after == null) "" else "&since=$after"
        return Call(target, "GET", "/keys?under=${Keys.ROOT}$since&limit=$limit", timeoutUs = READ_TIMEOUT)
    }

    fun follow(
        since: Long,
        waitUs: Micros,
    ): Call =
        Call(
            target,
            "GET",
            "/follow?under=${Keys.ROOT}&since=$since&wait_ms=${waitUs / MILLI}",
            timeoutUs = waitUs + if (waitUs > 0) FOLLOW_MARGIN else CATCH_UP_TIMEOUT,
        )

    fun transact(transaction: Transaction): Call =
        Call(target, "POST", "/multi", encode(Transaction.serializer(), transaction), READ_TIMEOUT)

    fun grant(ttlUs: Micros): Call =
        Call(urgent, "POST", "/leases", encode(LeaseRequest.serializer(), LeaseRequest(ttlUs / MILLI)), LEASE_TIMEOUT)

    fun touch(lease: Long): Call = Call(urgent, "POST", "/leases/$lease/touch", ByteArray(0), LEASE_TIMEOUT)

    fun readPage(outcome: Outcome): StateResult<ItemPage> = read(outcome, ItemPage.serializer())

    fun readEvents(outcome: Outcome): StateResult<EventPage> = read(outcome, EventPage.serializer())

    fun readLease(outcome: Outcome): StateResult<LeaseAnswer> = read(outcome, LeaseAnswer.serializer())

    /** A renewal's body does not matter. */
    fun readTouch(outcome: Outcome): StateResult<Unit> =
        when (outcome) {
            is Outcome.Answered -> failure(outcome.status) ?: StateResult.Ok(Unit)
            else -> StateResult.Failed
        }

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
                BAD_REQUEST -> if ("lease" in outcome.text()) TransactionResult.LeaseGone else TransactionResult.TooLarge
                else -> TransactionResult.Refused
            }
        } catch (_: SerializationException) {
            TransactionResult.Unknown
        }

    private fun <T> read(
        outcome: Outcome,
        serializer: KSerializer<T>,
    ): StateResult<T> {
        if (outcome !is Outcome.Answered) return StateResult.Failed
        return failure(outcome.status) ?: try {
            StateResult.Ok(decode(outcome, serializer))
        } catch (_: SerializationException) {
            StateResult.Failed
        } catch (_: IllegalArgumentException) {
            StateResult.Failed
        }
    }

    private fun failure(status: Int): StateResult<Nothing>? =
        when (status) {
            OK -> null
            NOT_FOUND, GONE -> StateResult.Gone(status)
            TOO_MANY -> StateResult.Limited
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

    companion object {
        private const val OK = 200
        private const val BAD_REQUEST = 400
        private const val NOT_FOUND = 404
        private const val CONFLICT = 409
        private const val GONE = 410
        private const val TOO_MANY = 429
        private const val READ_TIMEOUT: Micros = 2_000 * MILLI
        private const val CATCH_UP_TIMEOUT: Micros = 1_200 * MILLI
        private const val LEASE_TIMEOUT: Micros = 1_000 * MILLI
        private const val FOLLOW_MARGIN: Micros = 3_000 * MILLI
    }
}
