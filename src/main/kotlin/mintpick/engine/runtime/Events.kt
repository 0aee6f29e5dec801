package mintpick.engine.runtime

import mintpick.core.JobId
import mintpick.net.Answer
import mintpick.net.Call
import mintpick.net.Outcome
import mintpick.wire.JobSpec
import mintpick.wire.MachineReport
import mintpick.wire.PeerHint

/** Handle for answering a request. The engine answers each handle exactly once. */
fun interface ReplyTo {
    /** Sends [answer] to the sender of the request. */
    fun answer(answer: Answer)
}

/** Kinds of events whose waiting times are reported separately. */
enum class EventKind { USER_REQUEST, HEARTBEAT, PEER_HINT, CALL_OUTCOME, STATUS_REQUEST }

/** The kind of this event. */
val Event.kind: EventKind
    get() =
        when (this) {
            is Event.Submit, is Event.Malformed, is Event.Poll, is Event.Cancel -> EventKind.USER_REQUEST
            is Event.Report -> EventKind.HEARTBEAT
            is Event.Hint -> EventKind.PEER_HINT
            is Event.CallDone -> EventKind.CALL_OUTCOME
            is Event.StatusRequest -> EventKind.STATUS_REQUEST
        }

/** An input to the event loop. */
sealed interface Event {
    /** A user submits a job. */
    class Submit(
        val spec: JobSpec,
        val reply: ReplyTo,
    ) : Event

    /** A submission with an invalid format, described by [reason]. The job [id] may have been accepted before. */
    class Malformed(
        val id: JobId,
        val reason: String,
        val reply: ReplyTo,
    ) : Event

    /** A user requests the state of a job. */
    class Poll(
        val id: JobId,
        val reply: ReplyTo,
    ) : Event

    /** A user cancels a job. */
    class Cancel(
        val id: JobId,
        val reply: ReplyTo,
    ) : Event

    /** An agent's heartbeat; the answer carries the commands for it. */
    class Report(
        val report: MachineReport,
        val reply: ReplyTo,
    ) : Event

    /** A hint from a peer; the answer is the hint of this controller. */
    class Hint(
        val hint: PeerHint,
        val reply: ReplyTo,
    ) : Event

    /** An operator requests the status page. */
    class StatusRequest(
        val reply: ReplyTo,
    ) : Event

    /** Call [id], started by an [Effect.Start], has ended with [outcome]. */
    class CallDone(
        val id: Long,
        val outcome: Outcome,
    ) : Event
}

/** An output of the engine, performed by the event loop. */
sealed interface Effect {
    /** Sends [answer] to the sender of a request. */
    class Send(
        val reply: ReplyTo,
        val answer: Answer,
    ) : Effect

    /** Starts [call]; its outcome is returned as an [Event.CallDone] with the same [id]. */
    class Start(
        val id: Long,
        val call: Call,
    ) : Effect
}
