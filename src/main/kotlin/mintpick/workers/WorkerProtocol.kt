package mintpick.workers

import kotlinx.serialization.SerializationException
import mintpick.core.MILLI
import mintpick.core.Micros
import mintpick.net.Call
import mintpick.net.Outcome
import mintpick.net.Target
import mintpick.wire.CommandBatch
import mintpick.wire.MachineReport
import mintpick.wire.Paths
import mintpick.wire.WireJson

/** Requests sent straight to workers. */
object WorkerProtocol {
    private const val TIMEOUT: Micros = 1_500 * MILLI
    private const val PROBE_TIMEOUT: Micros = 700 * MILLI
    private const val OK = 200
    private const val CONFLICT = 409

    sealed interface Result {
        data class Executed(
            val report: MachineReport,
        ) : Result

        /** Token or session did not match: nothing was executed. */
        data class Dropped(
            val report: MachineReport?,
        ) : Result

        data object NotSent : Result

        data object Unanswered : Result
    }

    fun commands(
        address: String,
        batch: CommandBatch,
        suspect: Boolean = false,
    ): Call =
        Call(
            Target.Worker(address, suspect),
            "POST",
            Paths.COMMANDS,
            WireJson.encodeToString(CommandBatch.serializer(), batch).encodeToByteArray(),
            TIMEOUT,
        )

    fun inspect(
        address: String,
        suspect: Boolean = false,
    ): Call = Call(Target.Worker(address, suspect), "GET", Paths.INSPECT, timeoutUs = PROBE_TIMEOUT)

    fun read(outcome: Outcome): Result =
        when (outcome) {
            Outcome.NotSent -> Result.NotSent
            Outcome.Unanswered -> Result.Unanswered
            is Outcome.Answered ->
                when (outcome.status) {
                    OK -> decode(outcome)?.let { Result.Executed(it) } ?: Result.Unanswered
                    CONFLICT -> Result.Dropped(decode(outcome))
                    else -> Result.Dropped(null)
                }
        }

    private fun decode(outcome: Outcome.Answered): MachineReport? =
        try {
            WireJson.decodeFromString(MachineReport.serializer(), outcome.text())
        } catch (_: SerializationException) {
            null
        } catch (_: IllegalArgumentException) {
            null
        }
}
