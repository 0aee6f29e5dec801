package mintpick.engine.jobs

import mintpick.config.PlatformFile
import mintpick.core.JobId
import mintpick.core.JobMemory
import mintpick.core.Resources
import mintpick.core.capacity
import mintpick.core.demand
import mintpick.core.isGang
import mintpick.core.isService
import mintpick.core.predecessorIds
import mintpick.engine.runtime.EngineContext
import mintpick.engine.state.RecordFormatNegotiator
import mintpick.engine.transactions.TransactionLimits
import mintpick.store.SpecPieces
import mintpick.wire.JobSpec

/** The result of validating a submission. */
sealed interface AdmissionResult {
    /** The submission may be stored. */
    data object Accepted : AdmissionResult

    /** The submission is refused permanently, because the job can never run. */
    data class Rejected(
        val reason: RejectionReason,
    ) : AdmissionResult

    /** The job has predecessors, but at least one controller may still run an older version, which ignores them. */
    data object DependenciesNotSupportedYet : AdmissionResult

    /** The open jobs of all controllers leave too little memory for the job; it may be submitted again later. */
    data object TooLittleMemory : AdmissionResult

    /** These predecessors are missing from the records cached by this controller. */
    data class UnknownPredecessors(
        val jobs: List<JobId>,
    ) : AdmissionResult
}

/** Why a job can never run. */
enum class RejectionReason(
    /** The text of the answer to the user. */
    val text: String,
) {
    UNKNOWN_TEAM("unknown team"),
    NO_FITTING_MACHINE_TYPE("fits no allowed machine type"),
    TOO_LARGE_TO_STORE("needs more room than the state service has"),
    ABOVE_TEAM_LIMIT("needs more than the team's limit"),
}

/** Validates submissions against the settings, the machine types and the size limits of records. Event-loop thread only. */
class SubmissionValidator(
    private val context: EngineContext,
    private val formats: RecordFormatNegotiator,
    private val limits: TransactionLimits,
) {
    private val cache get() = context.cache

    /**
     * Checks whether [spec] may be stored, according to the records cached by this controller. [pendingBytes] is the estimated memory
     * of its submissions that are not stored yet.
     */
    fun validate(
        spec: JobSpec,
        pendingBytes: Long,
    ): AdmissionResult {
        val reason = rejectionReason(spec)
        return when {
            reason != null -> AdmissionResult.Rejected(reason)
            !fitsInMemory(spec, pendingBytes) -> AdmissionResult.TooLittleMemory
            spec.predecessors == null -> AdmissionResult.Accepted
            !formats.allowsDependencies -> AdmissionResult.DependenciesNotSupportedYet
            else -> checkPredecessors(spec)
        }
    }

    /** Checks whether the records cached by this controller contain all predecessors of [spec]. */
    fun checkPredecessors(spec: JobSpec): AdmissionResult {
        val unknown = spec.predecessorIds.filterNot(cache::isKnown)
        return if (unknown.isEmpty()) AdmissionResult.Accepted else AdmissionResult.UnknownPredecessors(unknown)
    }

    /** Estimated memory that each controller needs for the job [spec] once it is stored, in bytes. */
    fun memoryOf(spec: JobSpec): Long {
        val unfinished = spec.predecessorIds.count { cache.finalJob(it) == null }
        return JobMemory.openJobBytes(spec) + unfinished * JobMemory.EDGE_BYTES.toLong()
    }

    /**
     * Whether the job [spec] fits in the memory that each controller has for open jobs, beside this controller's submissions of
     * [pendingBytes]. All controllers may store as much as this one before they see each other's jobs.
     */
    fun fitsInMemory(
        spec: JobSpec,
        pendingBytes: Long,
    ): Boolean {
        val controllers = context.settings.peers.size + 1
        val addedBytes = (pendingBytes + memoryOf(spec)) * controllers
        return cache.openJobBytes + addedBytes <= context.memory.openJobBytes
    }

    private fun rejectionReason(spec: JobSpec): RejectionReason? {
        val team = context.settings.teams.firstOrNull { it.name == spec.team }
        return when {
            team == null -> RejectionReason.UNKNOWN_TEAM
            !fitsAnyMachineType(spec) -> RejectionReason.NO_FITTING_MACHINE_TYPE
            !canBeStored(spec) -> RejectionReason.TOO_LARGE_TO_STORE
            exceedsLimit(spec, team) -> RejectionReason.ABOVE_TEAM_LIMIT
            else -> null
        }
    }

    private fun fitsAnyMachineType(spec: JobSpec): Boolean =
        cache.machineTypes.values.any { type ->
            (spec.types == null || type.name in spec.types) &&
                (spec.zone == null || spec.zone in type.zones) &&
                spec.demand.fits(type.capacity)
        }

    /** Whether the specification can be stored in records that one transaction can guard together. */
    private fun canBeStored(spec: JobSpec): Boolean {
        val nameCount = spec.predecessors.orEmpty().size + spec.types.orEmpty().size
        if (nameCount < MIN_NAMES_TO_MEASURE) return true
        val pieces = SpecPieces.split(spec, formats.maxValueBytes).size
        return if (formats.allowsDependencies) pieces < limits.maxGuards - 1 else pieces <= 1
    }

    /** Whether the job can never run within the team's limit. Services and gangs need all their tasks at once, other jobs at least one. */
    private fun exceedsLimit(
        spec: JobSpec,
        team: PlatformFile.TeamEntry,
    ): Boolean {
        val minimumDemand = if (spec.isService || spec.isGang) spec.demand * spec.tasks.toDouble() else spec.demand
        val exceedsCpus = team.cpusMax > 0 && minimumDemand.cpus > team.cpusMax + Resources.EPSILON
        val exceedsGpus = team.gpusMax > 0 && minimumDemand.gpus > team.gpusMax + Resources.EPSILON
        return exceedsCpus || exceedsGpus
    }

    private companion object {
        /** A specification with fewer names always fits, so its size is not computed. */
        const val MIN_NAMES_TO_MEASURE = 50
    }
}
