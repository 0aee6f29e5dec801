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
import mintpick.wire.decodeJson
import org.slf4j.LoggerFactory

/**
 * Builds requests to the cloud at the given address (`host:port`) and parses its answers. Makes no calls itself. Immutable and
 * thread-safe.
 */
class CloudProtocol(
    address: String,
) {
    /** Result of a request to the cloud. */
    sealed interface Result<out T> {
        /** The request took effect; [value] is the cloud's answer. */
        data class Ok<T>(
            val value: T,
        ) : Result<T>

        /** The cloud currently has no machine of the requested type; nothing was rented. */
        data object NoCapacity : Result<Nothing>

        /** The request was refused or failed, without effect. */
        data object Refused : Result<Nothing>

        /** Unknown outcome: the request timed out or the answer is malformed. The request may have taken effect. */
        data object Unknown : Result<Nothing>
    }

    private val target = Target.Cloud(address)

    /** Requests the machine types that can be rented; the answer is parsed by [readTypes]. */
    fun types() = Call(target, "GET", "/machine_types", timeoutUs = TIMEOUT)

    /** Requests the page of rented machines that starts after the machine [after], or the first page; parsed by [readList]. */
    fun list(after: String?): Call {
        val since = if (after == null) "" else "since=$after&"
        return Call(target, "GET", "/rentals?${since}limit=$PAGE_SIZE", timeoutUs = TIMEOUT)
    }

    /** Rents up to [MAX_MACHINES_PER_RENTAL] machines; the answer is parsed by [readRent]. */
    fun rent(request: RentalRequest) = Call(target, "POST", "/rentals", encode(RentalRequest.serializer(), request), TIMEOUT)

    /** Releases up to [MAX_MACHINES_PER_RELEASE] machines by name; the answer is parsed by [readRelease]. */
    fun release(machines: List<String>) =
        Call(target, "POST", "/rentals/release", encode(MachineNames.serializer(), MachineNames(machines)), TIMEOUT)

    /** Parses the answer to [types]. */
    fun readTypes(outcome: Outcome): Result<MachineTypes> = read(outcome, MachineTypes.serializer())

    /** Parses the answer to [list]. */
    fun readList(outcome: Outcome): Result<MachineListPage> = read(outcome, MachineListPage.serializer())

    /** Parses the answer to [rent]: the names of the rented machines. */
    fun readRent(outcome: Outcome): Result<MachineNames> = read(outcome, MachineNames.serializer())

    /** Returns the result of [release]. The body of the answer is ignored. */
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

    /** A malformed answer does not tell whether the request took effect, so its result is [Result.Unknown]. */
    private fun <T> decode(
        answer: Outcome.Answered,
        serializer: KSerializer<T>,
    ): Result<T> =
        try {
            Result.Ok(decodeJson(serializer, answer.text()))
        } catch (e: IllegalArgumentException) {
            // Covers SerializationException and the checks in the constructors of the decoded classes.
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

        /** Largest number of machines in one rental request. */
        const val MAX_MACHINES_PER_RENTAL = 50

        /** Largest number of machines in one release request. */
        const val MAX_MACHINES_PER_RELEASE = 100
    }
}
