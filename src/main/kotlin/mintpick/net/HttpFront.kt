package mintpick.net

import mintpick.wire.ErrorAnswer
import mintpick.wire.MAX_BODY_BYTES
import mintpick.wire.WireJson
import org.http4k.core.Body
import org.http4k.core.MemoryBody
import org.http4k.core.Request
import org.http4k.core.Response
import org.http4k.core.Status
import java.nio.ByteBuffer

/** Sends the response to one request. May be called from any thread and at any time after the request. */
typealias Respond = (Response) -> Unit

/** Handles a request asynchronously, without occupying a thread until its response is available. Called concurrently. */
typealias LaterHandler = (Request, Respond) -> Unit

/** Returns the body of a request, or null if it exceeds [MAX_BODY_BYTES], the most that any of the platform's interfaces accepts. */
fun Request.boundedBody(): ByteArray? {
    val bytes = body.payload
    if (bytes.remaining() > MAX_BODY_BYTES) return null
    return bytes.array().copyOfRange(bytes.position(), bytes.limit())
}

/** Converts the answer to an http4k response, including its `Retry-After` and `Connection` headers. */
fun Answer.toResponse(): Response {
    var response = Response(Status(status, "")).header("Content-Type", contentType).body(MemoryBody(ByteBuffer.wrap(body)) as Body)
    if (retryAfterS != null) response = response.header("Retry-After", retryAfterS.toString())
    if (closes) response = response.header("Connection", "close")
    return response
}

/** Builds an error answer. [message] is meant for people; [retryAfterS] is the number of seconds to wait before a retry. */
fun errorAnswer(
    status: Int,
    message: String,
    retryAfterS: Int? = null,
): Answer = refusal(status, message, retryAfterS, reason = message)

/** Builds an error answer like [errorAnswer] that is counted in the log under [reason], one of few texts. */
internal fun refusal(
    status: Int,
    message: String,
    retryAfterS: Int?,
    reason: String,
): Answer = Answer.refusal(status, WireJson.encodeToString(ErrorAnswer.serializer(), ErrorAnswer(message)), retryAfterS, reason)
