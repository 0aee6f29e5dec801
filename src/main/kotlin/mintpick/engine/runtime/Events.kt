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
    /** Sends [answer] to who made the request. */
    fun answer(answer: Answer)
}

/** What reaches the event loop from outside. */
sealed interface Event {
    /** A user submits a job. */
    class Submit(
        val spec: JobSpec,
        val reply: ReplyTo,
    ) : Event

    /** A submission that breaks the format, for [reason], of a job that may have been accepted before. */
    class Malformed(
        val id: JobId,
        val reason: String,
        val reply: ReplyTo,
    ) : Event

    /** A user asks for the state of a job. */
    class Poll(
        val id: JobId,
        val reply: ReplyTo,
    ) : Event

    /** A user cancels a job. */
    class Cancel(
        val id: JobId,
        val reply: ReplyTo,
    ) : Event

    /** A worker's heartbeat with status; the answer carries its commands. */
    class Report(
        val report: MachineReport,
        val reply: ReplyTo,
    ) : Event

    /** Another controller sends its status; the answer is the status of this one. */
    class Hint(
        val hint: PeerHint,
        val reply: ReplyTo,
    ) : Event

    /** The status page is asked for. */
    class StatusRequest(
        val reply: ReplyTo,
    ) : Event

    /** Call [id], which an [Effect.Start] began, has ended. */
    class CallDone(
        val id: Long,
        val outcome: Outcome,
    ) : Event
}

/** What the engine wants done outside. */
sealed interface Effect {
    /** Answer a request. */
    class Send(
        val reply: ReplyTo,
        val answer: Answer,
    ) : Effect

    /** Start [call]; its outcome comes back as an [Event.CallDone] with the same [id]. */
    class Start(
        val id: Long,
        val call: Call,
    ) : Effect
}
