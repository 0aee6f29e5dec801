package mintpick.engine.runtime

import mintpick.core.JobId
import mintpick.net.Answer
import mintpick.net.Call
import mintpick.net.Outcome
import mintpick.wire.JobSpec
import mintpick.wire.MachineReport
import mintpick.wire.PeerHint

/** Where an answer goes. The engine answers each handle exactly once. */
fun interface ReplyTo {
    fun answer(answer: Answer)
}

/** What reaches the owner of all state. */
sealed interface Event {
    class Submit(
        val spec: JobSpec,
        val reply: ReplyTo,
    ) : Event

    /** A submission that breaks the format, of a job that may have been accepted before. */
    class Malformed(
        val id: JobId,
        val reason: String,
        val reply: ReplyTo,
    ) : Event

    class Poll(
        val id: JobId,
        val reply: ReplyTo,
    ) : Event

    class Cancel(
        val id: JobId,
        val reply: ReplyTo,
    ) : Event

    class Report(
        val report: MachineReport,
        val reply: ReplyTo,
    ) : Event

    class Hint(
        val hint: PeerHint,
        val reply: ReplyTo,
    ) : Event

    class Inspect(
        val reply: ReplyTo,
    ) : Event

    class CallDone(
        val id: Long,
        val outcome: Outcome,
    ) : Event
}

/** What the engine wants done outside. */
sealed interface Effect {
    class Send(
        val reply: ReplyTo,
        val answer: Answer,
    ) : Effect

    class Start(
        val id: Long,
        val call: Call,
    ) : Effect
}
