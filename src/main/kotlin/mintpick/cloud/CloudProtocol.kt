package mintpick.cloud

import kotlinx.serialization.KSerializer
import kotlinx.serialization.SerializationException
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

/** The cloud's requests and answers. */
class CloudProtocol(
    address: String,
) {
    sealed interface Result<out T> {
        data class Ok<T>(
            val value: T,
        ) : Result<T>

        data object NoCapacity : Result<Nothing>

        /** Refused or failed without effect. */
        data object Refused : Result<Nothing>

        /** No answer: it may have taken effect. */
        data object Unknown : Result<Nothing>
    }

    private val target = Target.Cloud(address)

    fun types() = Call(target, "GET", "/machine_types", timeoutUs = TIMEOUT)

    fun list(after: String?) = Call(target, "GET", "/rentals?${if (after == null) "" else "since=$after&"}limit=$PAGE", timeoutUs = TIMEOUT)

    fun rent(request: RentalRequest) = Call(target, "POST", "/rentals", encode(RentalRequest.serializer(), request), TIMEOUT)

    fun release(machines: List<String>) =
        Call(target, "POST", "/rentals/release", encode(MachineNames.serializer(), MachineNames(machines)), TIMEOUT)

    fun readTypes(outcome: Outcome): Result<MachineTypes> = read(outcome, MachineTypes.serializer())

    fun readList(outcome: Outcome): Result<MachineListPage> = read(outcome, MachineListPage.serializer())

    fun readRent(outcome: Outcome): Result<MachineNames> = read(outcome, MachineNames.serializer())

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

    private fun <T> decode(
        outcome: Outcome.Answered,
        serializer: KSerializer<T>,
    ): Result<T> =
        try {
            Result.Ok(WireJson.decodeFromString(serializer, outcome.text()))
        } catch (_: SerializationException) {
            Result.Unknown
        } catch (_: IllegalArgumentException) {
            Result.Unknown
        }

    private fun <T> encode(
        serializer: KSerializer<T>,
        value: T,
    ): ByteArray = WireJson.encodeToString(serializer, value).encodeToByteArray()

    companion object {
        private const val OK = 200
        private const val UNAVAILABLE = 503
        private const val PAGE = 500
        private const val TIMEOUT: Micros = 3_000 * MILLI

        /** Most machines that one rental may ask for, and one release may name. */
        const val MAX_RENT = 50
        const val MAX_RELEASE = 100
    }
}
