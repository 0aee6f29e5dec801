package mintpick.differential

import mintpick.engine.runtime.Effect
import mintpick.engine.runtime.Event
import mintpick.net.Outcome

private const val MAX_TEXT_LENGTH = 400

/** The bytes as text, or their size and hash if they are binary; the hash distinguishes bodies of equal size. */
private fun ByteArray?.describe(): String {
    if (this == null) return "no body"
    val text = decodeToString()
    return if (text.all { !it.isISOControl() && it != '\uFFFD' }) text.take(MAX_TEXT_LENGTH) else "$size bytes, hash ${contentHashCode()}"
}

/** Describes this effect in one line of a difference report. */
internal fun Effect.describe(): String =
    when (this) {
        is Effect.Start ->
            "start id=$id ${call.method} ${call.path} to ${call.target} timeout_us=${call.timeoutUs} " +
                "type=${call.contentType} body=${call.body.describe()}"
        is Effect.Send ->
            "send to handle ${System.identityHashCode(reply)} status=${answer.status} retry_s=${answer.retryAfterS} " +
                "type=${answer.contentType} closes=${answer.closes} body=${answer.body.describe()}"
    }

/** Describes this event in one line of a difference report. */
internal fun Event.describe(): String =
    when (this) {
        is Event.Submit -> "submit $spec"
        is Event.Malformed -> "malformed ${id.text}: $reason"
        is Event.Poll -> "poll ${id.text}"
        is Event.Cancel -> "cancel ${id.text}"
        is Event.Report -> "heartbeat $report".take(MAX_TEXT_LENGTH)
        is Event.Hint -> "peer hint $hint".take(MAX_TEXT_LENGTH)
        is Event.StatusRequest -> "status request"
        is Event.CallDone -> "call done id=$id ${outcome.describe()}"
    }

private fun Outcome.describe(): String =
    when (this) {
        is Outcome.Answered -> "status=$status body=${body.describe()}"
        Outcome.NotSent -> "not sent"
        Outcome.Unanswered -> "unanswered"
    }
