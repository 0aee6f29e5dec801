package mintpick.wire

import kotlinx.serialization.json.JsonArray
import kotlinx.serialization.json.JsonElement
import kotlinx.serialization.json.JsonNull
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonPrimitive
import kotlinx.serialization.json.doubleOrNull
import kotlinx.serialization.json.longOrNull

/**
 * Thrown for a malformed submission. The message names the field of the protocol.
 *
 * [id] is the job's id if it could be read. A job that was accepted remains accepted even if its submission is repeated in a
 * malformed form, and the id identifies such a repetition.
 */
class MalformedException(
    message: String,
    val id: String? = null,
    cause: Throwable? = null,
) : Exception(message, cause)

/** Maximum length of a name, in characters. */
private const val MAX_NAME_LENGTH = 200

/**
 * Parses the body of `POST /api/jobs`. The serializer alone would accept `"16"` as a number and 1e400 as a duration.
 * Therefore each field is validated explicitly before a [JobSpec] is built.
 */
object Submission {
    /** Maximum number of tasks of a job (`pieces`). */
    const val MAX_TASKS = 100_000
    private val ID = Regex("req-[0-9]{1,17}")

    /** Whether [text] has the form of a job id: `req-` and 1 to 17 digits. */
    fun isJobId(text: String): Boolean = ID.matches(text)

    /**
     * Parses the job specification in [body].
     *
     * @throws MalformedException if [body] is not a JSON object, or if a field is missing or invalid
     */
    fun parse(body: String): JobSpec {
        val root =
            try {
                decodeJson(JsonElement.serializer(), body)
            } catch (e: IllegalArgumentException) {
                val firstLine = e.message?.lineSequence()?.firstOrNull()
                throw MalformedException("not JSON: ${firstLine?.take(MAX_NAME_LENGTH)}", cause = e)
            }
        val fields = root as? JsonObject ?: throw MalformedException("not an object")
        return SubmissionFields(fields).spec()
    }
}

/** Reads and validates the fields of the submission [root]. */
private class SubmissionFields(
    private val root: JsonObject,
) {
    fun spec(): JobSpec {
        val id = name("id")
        if (!Submission.isJobId(id)) throw MalformedException("id: not a job id")
        return try {
            spec(id)
        } catch (e: MalformedException) {
            throw MalformedException(e.message.orEmpty(), id, e)
        }
    }

    private fun spec(id: String): JobSpec =
        JobSpec(
            id = id,
            jobClass = name("sort"),
            team = name("crew"),
            kind = choice("shape", KINDS),
            priority = choice("rank", PRIORITIES),
            tasks = count("pieces"),
            cpus = amount("vcpus"),
            gpus = amount("cards"),
            memoryGb = amount("mem_gb"),
            image = name("bundle"),
            imageGb = amount("pull_gb"),
            types = names("breeds"),
            zone = optional("plot")?.let { text("plot", it) },
            oneZone = flag("together"),
            spread = flag("spread"),
            spot = flag("windfall"),
            estimateS = amount("guess_s"),
            checkpointIntervalS = amount("mark_every_s"),
            checkpointDurationS = amount("mark_cost_s"),
            deadlineS = optional("due_s")?.let { number("due_s", it) },
            predecessors = predecessors(id),
        )

    private fun optional(field: String): JsonElement? = root[field]?.takeUnless { it is JsonNull }

    private fun required(field: String): JsonElement = optional(field) ?: throw MalformedException("$field: missing")

    private fun text(
        field: String,
        element: JsonElement,
    ): String {
        val text = (element as? JsonPrimitive)?.takeIf { it.isString }?.content
        if (text.isNullOrEmpty() || text.length > MAX_NAME_LENGTH) throw MalformedException("$field: not a name")
        return text
    }

    private fun number(
        field: String,
        element: JsonElement,
    ): Double {
        val value = (element as? JsonPrimitive)?.takeUnless { it.isString }?.doubleOrNull
        if (value == null || !value.isFinite() || value < 0 || value > MAX_AMOUNT) {
            throw MalformedException("$field: not an amount")
        }
        return value
    }

    private fun name(field: String) = text(field, required(field))

    private fun amount(field: String) = number(field, required(field))

    private fun count(field: String): Int {
        val primitive = (required(field) as? JsonPrimitive)?.takeUnless { it.isString }
        val value = primitive?.longOrNull
        val most = Submission.MAX_TASKS
        if (value == null || value !in 1..most) throw MalformedException("$field: not a count from 1 to $most")
        return value.toInt()
    }

    private fun flag(field: String): Boolean {
        val primitive = (required(field) as? JsonPrimitive)?.takeUnless { it.isString }
        return when (primitive?.content) {
            "true" -> true
            "false" -> false
            else -> throw MalformedException("$field: not true or false")
        }
    }

    private fun names(field: String): List<String>? {
        val element = optional(field) ?: return null
        val list = element as? JsonArray ?: throw MalformedException("$field: not a list")
        return list.map { text(field, it) }
    }

    private fun predecessors(id: String): List<String>? {
        val named = names("waits_on").orEmpty()
        named.forEach { if (!Submission.isJobId(it)) throw MalformedException("waits_on: not a job id") }
        if (id in named) throw MalformedException("waits_on: a job can't wait for itself")
        return JobIdList.of(named.distinct()).ifEmpty { null }
    }

    private fun <T> choice(
        field: String,
        values: Map<String, T>,
    ): T = values[name(field)] ?: throw MalformedException("$field: unknown value")

    private companion object {
        private const val MAX_AMOUNT = 1e9
        private val KINDS =
            mapOf(
                "array" to JobKind.ARRAY,
                "daemon" to JobKind.SERVICE,
                "ensemble" to JobKind.GANG,
            )
        private val PRIORITIES =
            mapOf(
                "prod" to Priority.PRODUCTION,
                "high" to Priority.HIGH,
                "normal" to Priority.NORMAL,
                "idle" to Priority.LOW,
            )
    }
}
