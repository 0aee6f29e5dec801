package mintpick.wire

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** `shape` of a submission (`POST /api/jobs`): how the tasks of a job belong together. */
@Serializable
enum class JobKind {
    /** Independent tasks, each runs to completion. */
    @SerialName("array")
    ARRAY,

    /** Replicas, which run until the job is cancelled. */
    @SerialName("daemon")
    SERVICE,

    /** Tasks that only run together. Not described for today's deployments: see docs/questions.md. */
    @SerialName("ensemble")
    GANG,
}

/** `rank` of a submission (`POST /api/jobs`), from the most to the least urgent. */
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

/**
 * Body of `POST /api/jobs`, and the same form within the job's own record. [Submission] reads it from a user's request.
 *
 * [cpus], [gpus] and [memoryGb] are what each task takes; a name that ends in S is a duration in seconds, and
 * [deadlineS] counts from the submission. [checkpointIntervalS] is 0 for tasks that never save, [estimateS] is 0 for services.
 */
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
    @SerialName("mark_every_s") val checkpointIntervalS: Double,
    @SerialName("mark_cost_s") val checkpointDurationS: Double,
    @SerialName("due_s") val deadlineS: Double? = null,
    /** Jobs that must be done before any task of this one starts, each once; null: none. */
    @SerialName("waits_on") val predecessors: List<String>? = null,
)

/** `stage` of a job in answers to users; what is stored is a [StoredStage]. */
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

/** Answer to a submission (`POST /api/jobs`) or a cancellation (`POST /api/jobs/{id}/cancel`). */
@Serializable
data class JobAnswer(
    val id: String,
    @SerialName("stage") val stage: JobStage,
)

/** Answer to a poll (`GET /api/jobs/{id}`); [done] and [running] are counts of tasks. */
@Serializable
data class JobStatus(
    val id: String,
    @SerialName("stage") val stage: JobStage,
    val done: Int,
    val running: Int,
)

/** Body of every answer to users, workers and controllers that is a refusal; [error] says what was wrong. */
@Serializable
data class ErrorAnswer(
    val error: String,
)
