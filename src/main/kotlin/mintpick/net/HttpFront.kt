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

/** Takes the response to one request, from whatever thread and whenever it is there. */
typealias Respond = (Response) -> Unit

/** Handles a request without holding a thread until its answer is there. Called on several threads at once. */
typealias LaterHandler = (Request, Respond) -> Unit

/** The body of a request, or null if it is larger than any of the platform's interfaces accepts. */
fun Request.boundedBody(): ByteArray? {
    val bytes = body.payload
    if (bytes.remaining() > MAX_BODY_BYTES) return null
    return bytes.array().copyOfRange(bytes.position(), bytes.limit())
}

/** The answer as an http4k response, with the headers that it asks for. */
fun Answer.toResponse(): Response {
    var response = Response(Status(status, "")).header("Content-Type", contentType).body(MemoryBody(ByteBuffer.wrap(body)) as Body)
    if (retryAfterS != null) response = response.header("Retry-After", retryAfterS.toString())
    if (closes) response = response.header("Connection", "close")
    return response
}

/** An answer that says what is wrong: [message] is for people, [retryAfterS] seconds when to come back. */
fun errorAnswer(
    status: Int,
    message: String,
    retryAfterS: Int? = null,
): Answer = Answer.json(status, WireJson.encodeToString(ErrorAnswer.serializer(), ErrorAnswer(message)), retryAfterS)
