package mintpick.cloud

import kotlinx.serialization.KSerializer
import mintpick.core.MILLI
import mintpick.core.Micros
import mintpick.net.Call
import mintpick.net.Outcome
import mintpick.net.Target
import mintpick.wire.MachineListPage
import mintpick.wire.MachineNames
import mintpick.wire.MachineTypes
import mintpick.wire.RentalRequest
import mintpick.wire.WireJson
import org.slf4j.LoggerFactory

/**
 * Requests to the cloud at an address, `host:port`, and what its answers mean. Immutable, for any thread; makes no calls itself.
 */
class CloudProtocol(
    address: String,
) {
    /** What became of a request to the cloud. */
    sealed interface Result<out T> {
        /** It took effect; [value] is what the cloud answered. */
        data class Ok<T>(
            val value: T,
        ) : Result<T>

        /** The cloud has no machine of that type now: nothing was rented. */
        data object NoCapacity : Result<Nothing>

        /** Refused or failed without effect. */
        data object Refused : Result<Nothing>

        /** No answer, or none that can be read: it may have taken effect. */
        data object Unknown : Result<Nothing>
    }

    private val target = Target.Cloud(address)

    /** Asks for the machine types that can be rented; read by [readTypes]. */
    fun types() = Call(target, "GET", "/machine_types", timeoutUs = TIMEOUT)

    /** Asks for the page of rented machines that follows the machine [after], or for the first; read by [readList]. */
    fun list(after: String?): Call {
        val since = if (after == null) "" else "since=$after&"
        return Call(target, "GET", "/rentals?${since}limit=$PAGE_SIZE", timeoutUs = TIMEOUT)
    }

    /** Rents up to [MAX_MACHINES_PER_RENTAL] machines; read by [readRent]. */
    fun rent(request: RentalRequest) = Call(target, "POST", "/rentals", encode(RentalRequest.serializer(), request), TIMEOUT)

    /** Returns up to [MAX_MACHINES_PER_RELEASE] machines by name; read by [readRelease]. */
    fun release(machines: List<String>) =
        Call(target, "POST", "/rentals/release", encode(MachineNames.serializer(), MachineNames(machines)), TIMEOUT)

    /** The result of [types]. */
    fun readTypes(outcome: Outcome): Result<MachineTypes> = read(outcome, MachineTypes.serializer())

    /** The result of [list]. */
    fun readList(outcome: Outcome): Result<MachineListPage> = read(outcome, MachineListPage.serializer())

    /** The result of [rent]: the names of the machines that were rented. */
    fun readRent(outcome: Outcome): Result<MachineNames> = read(outcome, MachineNames.serializer())

    /** The result of [release]. */
    fun readRelease(outcome: Outcome): Result<Unit> =
        when (outcome) {
            Outcome.NotSent -> Result.Refused
            Outcome.Unanswered -> Result.Unknown
            is Outcome.Answered -> if (outcome.status == OK) Result.Ok(Unit) else Result.Refused
        }

    private fun <T> read(
        outcome: Outcome,
        serializer: KSerializer<T>,
    ): Result<T> =
        when (outcome) {
            Outcome.NotSent -> Result.Refused
            Outcome.Unanswered -> Result.Unknown
            is Outcome.Answered ->
                when {
                    outcome.status == OK -> decode(outcome, serializer)
                    outcome.status == UNAVAILABLE && "capacity" in outcome.text() -> Result.NoCapacity
                    else -> Result.Refused
                }
        }

    /** What a malformed answer says is not known, nor whether the request took effect. */
    private fun <T> decode(
        answer: Outcome.Answered,
        serializer: KSerializer<T>,
    ): Result<T> =
        try {
            Result.Ok(WireJson.decodeFromString(serializer, answer.text()))
        } catch (e: IllegalArgumentException) {
            // The decoder's own exception is one of these, as is a value that a record refuses.
            LOG.debug("cloud answer malformed type={} bytes={}", serializer.descriptor.serialName, answer.body.size, e)
            Result.Unknown
        }

    private fun <T> encode(
        serializer: KSerializer<T>,
        value: T,
    ): ByteArray = WireJson.encodeToString(serializer, value).encodeToByteArray()

    companion object {
        private val LOG = LoggerFactory.getLogger(CloudProtocol::class.java)
        private const val OK = 200
        private const val UNAVAILABLE = 503
        private const val PAGE_SIZE = 500
        private const val TIMEOUT: Micros = 3_000 * MILLI

        /** Most machines that one rental may ask for. */
        const val MAX_MACHINES_PER_RENTAL = 50

        /** Most machines that one release may name. */
        const val MAX_MACHINES_PER_RELEASE = 100
    }
}
