package mintpick.wire

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** Kind of a job (`shape` of a submission, `POST /api/jobs`): how its tasks relate to each other. */
@Serializable
enum class JobKind {
    /** Independent tasks, each of which runs to completion. */
    @SerialName("array")
    ARRAY,

    /** Replicas that run until the job is cancelled. */
    @SerialName("daemon")
    SERVICE,

    /** Tasks that only run together. Not specified for current deployments, see docs/questions.md. */
    @SerialName("ensemble")
    GANG,
}

/** Priority of a job (`rank` of a submission, `POST /api/jobs`), from the highest to the lowest. */
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
 * Specification of a job: body of `POST /api/jobs`, and part of the job's record. [Submission] parses it from a user's request.
 *
 * [cpus], [gpus] and [memoryGb] are the resources of each task. Properties whose names end in S are durations in seconds;
 * [deadlineS] counts from the submission. [checkpointIntervalS] is 0 for tasks without checkpoints, [checkpointDurationS] is
 * the time that saving a checkpoint takes, and [estimateS] is 0 for services.
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
    /** Jobs that must be done before any task of this one starts, without duplicates; null if there are none. */
    @SerialName("waits_on") @Serializable(JobIdListSerializer::class) val predecessors: List<String>? = null,
)

/** Stage of a job in answers to users (`stage`). Job records hold a [StoredStage] instead. */
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

/** Body of an answer that rejects a request of a user, an agent or a controller; [error] is the reason. */
@Serializable
data class ErrorAnswer(
    val error: String,
)
