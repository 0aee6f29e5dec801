package mintpick.agents

import mintpick.core.MILLI
import mintpick.core.MachineId
import mintpick.core.Micros
import mintpick.net.Call
import mintpick.net.Outcome
import mintpick.net.Target
import mintpick.wire.CommandBatch
import mintpick.wire.MachineReport
import mintpick.wire.Paths
import mintpick.wire.WireJson
import mintpick.wire.decodeJson
import org.slf4j.LoggerFactory

/** Builds the requests that controllers send directly to agents, and parses the answers. Stateless and thread-safe. */
object AgentProtocol {
    private val LOG = LoggerFactory.getLogger(AgentProtocol::class.java)
    private const val TIMEOUT: Micros = 1_500 * MILLI
    private const val PROBE_TIMEOUT: Micros = 700 * MILLI
    private const val OK = 200
    private const val CONFLICT = 409

    /** Result of a request to an agent. */
    sealed interface Result {
        /** The commands were executed; [report] is the agent's state after their execution. */
        data class Executed(
            val report: MachineReport,
        ) : Result

        /**
         * Nothing was executed, for example because the fencing token or the agent epoch did not match. [report] is the agent's state,
         * or null if the answer did not contain it.
         */
        data class Refused(
            val report: MachineReport?,
        ) : Result

        /** The agent did not receive the request and never will. */
        data object NotSent : Result

        /**
         * Another machine, [machine], has answered, because the address of the called one has been given to it. The called machine did
         * not answer; nothing in the answer is about it.
         */
        data class AnsweredByOther(
            val machine: String,
        ) : Result

        /** Unknown outcome: the request timed out or the answer is malformed. The commands may have been executed, or may be later. */
        data object Unknown : Result
    }

    /** Builds the call that sends [batch] to the agent at [address]. [suspect]: the agent has not answered recent calls. */
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

    /** Builds the call that requests the state of the agent at [address], without executing anything. */
    fun inspect(
        address: String,
        suspect: Boolean = false,
    ): Call = Call(Target.Worker(address, suspect), "GET", Paths.INSPECT, timeoutUs = PROBE_TIMEOUT)

    /** Converts the outcome of a call to [machine] built by [commands] or [inspect]. */
    fun read(
        outcome: Outcome,
        machine: MachineId,
    ): Result =
        when (outcome) {
            Outcome.NotSent -> Result.NotSent
            Outcome.Unanswered -> Result.Unknown
            is Outcome.Answered -> readAnswer(outcome, machine)
        }

    private fun readAnswer(
        answer: Outcome.Answered,
        machine: MachineId,
    ): Result {
        val report = if (answer.status == OK || answer.status == CONFLICT) decode(answer) else null
        return when {
            report != null && report.machine != machine.text -> Result.AnsweredByOther(report.machine)
            answer.status != OK -> Result.Refused(report)
            report != null -> Result.Executed(report)
            else -> Result.Unknown
        }
    }

    /** Parses the agent's state, or returns null: a malformed answer must not fail the event loop's step that reads it. */
    private fun decode(answer: Outcome.Answered): MachineReport? =
        try {
            decodeJson(MachineReport.serializer(), answer.text())
        } catch (e: IllegalArgumentException) {
            // Covers SerializationException and the checks in the constructors of the decoded classes.
            LOG.debug("agent answer malformed status={} bytes={}", answer.status, answer.body.size, e)
            null
        }
}
