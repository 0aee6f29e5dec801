package mintpick.wire

import kotlinx.serialization.DeserializationStrategy
import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json

/**
 * JSON configuration of all external interfaces and stored records. Unknown fields are ignored; null fields are omitted when
 * written and optional when read.
 */
val WireJson: Json =
    Json {
        ignoreUnknownKeys = true
        explicitNulls = false
        encodeDefaults = true
    }

/** Largest depth of nested arrays and objects in JSON from other programs; far more than any message or record needs. */
private const val MAX_JSON_DEPTH = 32

/**
 * Decodes the JSON in [text], which another program has sent.
 *
 * @throws SerializationException if [text] is malformed, or nested so deeply that decoding it could overflow the thread's stack
 * @throws IllegalArgumentException if a constructor of the decoded classes rejects a value
 */
fun <T> decodeJson(
    deserializer: DeserializationStrategy<T>,
    text: String,
): T {
    requireBoundedDepth(text)
    return WireJson.decodeFromString(deserializer, text)
}

/** Throws a [SerializationException] if arrays and objects in the JSON [text] are nested too deeply. Malformed JSON may pass. */
private fun requireBoundedDepth(text: String) {
    var depth = 0
    var isInString = false
    var index = 0
    while (index < text.length) {
        when (text[index]) {
            '"' -> isInString = !isInString
            '\\' -> if (isInString) index++
            '[', '{' -> if (!isInString) depth++
            ']', '}' -> if (!isInString) depth--
        }
        if (depth > MAX_JSON_DEPTH) throw SerializationException("nested more than $MAX_JSON_DEPTH deep at offset $index")
        index++
    }
}

/** Maximum size of a request body, for all interfaces. */
const val MAX_BODY_BYTES: Int = 64 * 1024

/** Paths that controllers serve to users and agents, and paths of the agents that controllers request. */
object Paths {
    /** Submissions. Paths below it serve polls and cancellations. */
    const val JOBS = "/api/jobs"

    /** The load balancer's health check. */
    const val HEALTH = "/up"

    /** Heartbeats of the agents. */
    const val HEARTBEAT = "/checkin"

    /** Served by an agent: direct commands. */
    const val COMMANDS = "/commands"

    /** Served by an agent: its current status on request. */
    const val INSPECT = "/inspect"
}
