package mintpick.differential

import mintpick.engine.runtime.Effect
import mintpick.engine.runtime.Event
import mintpick.net.Outcome

private const val LONGEST = 400

/** Bytes that are no text are shown by their hash, so that two of one length are told apart. */
private fun ByteArray?.shown(): String {
    if (this == null) return "no body"
    val text = decodeToString()
    return if (text.all { !it.isISOControl() && it != '\uFFFD' }) text.take(LONGEST) else "$size bytes, hash ${contentHashCode()}"
}

/** One line about this effect, for reports. */
internal fun Effect.shown(): String =
    when (this) {
        is Effect.Start ->
            "start id=$id ${call.method} ${call.path} to ${call.target} timeout_us=${call.timeoutUs} " +
                "type=${call.contentType} body=${call.body.shown()}"
        is Effect.Send ->
            "send to handle ${System.identityHashCode(reply)} status=${answer.status} retry_s=${answer.retryAfterS} " +
                "type=${answer.contentType} closes=${answer.closes} body=${answer.body.shown()}"
    }

/** One line about this event, for reports. */
internal fun Event.shown(): String =
    when (this) {
        is Event.Submit -> "submit $spec"
        is Event.Malformed -> "malformed ${id.text}: $reason"
        is Event.Poll -> "poll ${id.text}"
        is Event.Cancel -> "cancel ${id.text}"
        is Event.Report -> "report $report".take(LONGEST)
        is Event.Hint -> "hint $hint".take(LONGEST)
        is Event.StatusRequest -> "inspect"
        is Event.CallDone -> "call done id=$id ${outcome.shown()}"
    }

private fun Outcome.shown(): String =
    when (this) {
        is Outcome.Answered -> "status=$status body=${body.shown()}"
        Outcome.NotSent -> "not sent"
        Outcome.Unanswered -> "unanswered"
    }
