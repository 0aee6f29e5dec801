package mintpick.wire

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import kotlinx.serialization.json.JsonArray
import kotlinx.serialization.json.JsonElement
import kotlinx.serialization.json.JsonNull
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonPrimitive
import kotlinx.serialization.json.doubleOrNull
import kotlinx.serialization.json.longOrNull

@Serializable
enum class JobKind {
    @SerialName("array")
    ARRAY,

    @SerialName("daemon")
    SERVICE,

    /** Tasks that only run together. Not described for today's deployments: see docs/questions.md. */
    @SerialName("ensemble")
    GANG,
}

/** Priorities from the most to the least urgent. */
@Serializable
enum class Priority {
    @SerialName("prod")
    PRODUCTION,

    @SerialName("high")
    HIGH,

    @SerialName("normal")
    NORMAL,

    @SerialName("idle")
    LOW,
}

/** What a user asks for, as it is submitted and as it is kept. */
@Serializable
data class JobSpec(
    val id: String,
    @SerialName("sort") val jobClass: String,
    @SerialName("crew") val team: String,
    @SerialName("shape") val kind: JobKind,
    @SerialName("rank") val priority: Priority,
    @SerialName("pieces") val tasks: Int,
    @SerialName("vcpus") val cpus: Double,
    @SerialName("cards") val gpus: Double,
    @SerialName("mem_gb") val memoryGb: Double,
    @SerialName("bundle") val image: String,
    @SerialName("pull_gb") val imageGb: Double,
    @SerialName("breeds") val types: List<String>? = null,
    @SerialName("plot") val zone: String? = null,
    @SerialName("together") val oneZone: Boolean,
    @SerialName("spread") val spread: Boolean,
    @SerialName("windfall") val spot: Boolean,
    @SerialName("guess_s") val estimateS: Double,
    @SerialName("mark_every_s") val checkpointS: Double,
    @SerialName("mark_cost_s") val saveS: Double,
    @SerialName("due_s") val deadlineS: Double? = null,
    /** Jobs that must be done before any task of this one starts, each once; null: none. */
    @SerialName("waits_on") val predecessors: List<String>? = null,
)

@Serializable
enum class JobStage {
    @SerialName("queued")
    QUEUED,

    @SerialName("running")
    RUNNING,

    @SerialName("done")
    DONE,

    @SerialName("withdrawn")
    CANCELLED,
}

/** The answer to a submission or a cancellation. */
@Serializable
data class JobAnswer(
    val id: String,
    @SerialName("stage") val stage: JobStage,
)

/** The answer to a poll. */
@Serializable
data class JobStatus(
    val id: String,
    @SerialName("stage") val stage: JobStage,
    val done: Int,
    val running: Int,
)

@Serializable
data class ErrorAnswer(
    val error: String,
)

/** A submission that breaks the format; [message] names the field, [id] the job as far as that could be read. */
class MalformedException(
    message: String,
    val id: String? = null,
) : Exception(message)

/**
 * Reads submissions. The serializer alone would take `"16"` for a number and 1e400 for a duration,
 * so every field is checked by hand before it becomes a [JobSpec].
 */
object Submission {
    const val MAX_TASKS = 100_000
    private const val MAX_NAME = 200
    private const val MAX_AMOUNT = 1e9
    private val ID = Regex("req-[0-9]{1,17}")

    fun isJobId(text: String): Boolean = ID.matches(text)

    fun parse(body: String): JobSpec {
        val root =
            try {
                WireJson.parseToJsonElement(body)
            } catch (e: IllegalArgumentException) {
                throw MalformedException("not JSON: ${e.message?.lineSequence()?.firstOrNull()?.take(MAX_NAME)}")
            }
        return Fields(root as? JsonObject ?: throw MalformedException("not an object")).spec()
    }

    private class Fields(
        private val root: JsonObject,
    ) {
        fun spec(): JobSpec {
            val id = name("id")
            if (!isJobId(id)) throw MalformedException("id: not a job id")
            return try {
                spec(id)
            } catch (e: MalformedException) {
                throw MalformedException(e.message.orEmpty(), id)
            }
        }

        private fun spec(id: String): JobSpec =
            JobSpec(
                id = id,
                jobClass = name("sort"),
                team = name("crew"),
                kind = choice("shape", mapOf("array" to JobKind.ARRAY, "daemon" to JobKind.SERVICE, "ensemble" to JobKind.GANG)),
                priority =
                    choice(
                        "rank",
                        mapOf(
                            "prod" to Priority.PRODUCTION,
                            "high" to Priority.HIGH,
                            "normal" to Priority.NORMAL,
                            "idle" to Priority.LOW,
                        ),
                    ),
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
                checkpointS = amount("mark_every_s"),
                saveS = amount("mark_cost_s"),
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
            if (text.isNullOrEmpty() || text.length > MAX_NAME) throw MalformedException("$field: not a name")
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
            if (value == null || value !in 1..MAX_TASKS) throw MalformedException("$field: not a count from 1 to $MAX_TASKS")
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
            return (element as? JsonArray ?: throw MalformedException("$field: not a list")).map { text(field, it) }
        }

        private fun predecessors(id: String): List<String>? {
            val named = names("waits_on").orEmpty()
            named.forEach { if (!isJobId(it)) throw MalformedException("waits_on: not a job id") }
            if (id in named) throw MalformedException("waits_on: a job can't wait for itself")
            return named.distinct().ifEmpty { null }
        }

        private fun <T> choice(
            field: String,
            values: Map<String, T>,
        ): T = values[name(field)] ?: throw MalformedException("$field: unknown value")
    }
}
