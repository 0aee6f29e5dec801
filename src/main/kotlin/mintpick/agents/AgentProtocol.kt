package mintpick.agents

import mintpick.core.MILLI
import mintpick.core.Micros
import mintpick.net.Call
import mintpick.net.Outcome
import mintpick.net.Target
import mintpick.wire.CommandBatch
import mintpick.wire.MachineReport
import mintpick.wire.Paths
import mintpick.wire.WireJson
import org.slf4j.LoggerFactory

/** Requests that go straight to workers' agents, and what their answers mean. Without state, for any thread. */
object AgentProtocol {
    private val LOG = LoggerFactory.getLogger(AgentProtocol::class.java)
    private const val TIMEOUT: Micros = 1_500 * MILLI
    private const val PROBE_TIMEOUT: Micros = 700 * MILLI
    private const val OK = 200
    private const val CONFLICT = 409

    /** What became of a request to a worker. */
    sealed interface Result {
        /** The commands were executed; [report] is the worker's state after them. */
        data class Executed(
            val report: MachineReport,
        ) : Result

        /** The fencing token or the agent epoch did not match: nothing was executed. [report] is null if the answer held none. */
        data class Refused(
            val report: MachineReport?,
        ) : Result

        /** The worker never received the request. */
        data object NotSent : Result

        /** No answer, or none that can be read: the commands may have been executed, or may be later. */
        data object Unknown : Result
    }

    /** The call that brings [batch] to the worker at [address]; a [suspect] has not answered lately. */
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

    /** The call that asks the worker at [address] for its report; nothing is executed. */
    fun inspect(
        address: String,
        suspect: Boolean = false,
    ): Call = Call(Target.Worker(address, suspect), "GET", Paths.INSPECT, timeoutUs = PROBE_TIMEOUT)

    /** The result of a call of [commands] or [inspect]. */
    fun read(outcome: Outcome): Result =
        when (outcome) {
            Outcome.NotSent -> Result.NotSent
            Outcome.Unanswered -> Result.Unknown
            is Outcome.Answered ->
                when (outcome.status) {
                    OK -> decode(outcome)?.let { Result.Executed(it) } ?: Result.Unknown
                    CONFLICT -> Result.Refused(decode(outcome))
                    else -> Result.Refused(null)
                }
        }

    /** The report in the answer, or null: what a worker sends must not fail the step that reads it. */
    private fun decode(answer: Outcome.Answered): MachineReport? =
        try {
            WireJson.decodeFromString(MachineReport.serializer(), answer.text())
        } catch (e: IllegalArgumentException) {
            // The decoder's own exception is one of these, as is a value that a record refuses.
            LOG.debug("worker answer malformed status={} bytes={}", answer.status, answer.body.size, e)
            null
        }
}
