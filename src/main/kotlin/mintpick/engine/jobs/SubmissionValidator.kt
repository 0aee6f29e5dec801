package mintpick.engine.jobs

import mintpick.config.PlatformFile
import mintpick.core.JobId
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

/** Whether a submission may be stored. */
sealed interface AdmissionResult {
    /** It may be stored. */
    data object Accepted : AdmissionResult

    /** It is refused for good: the job can never run. */
    data class Rejected(
        val reason: RejectionReason,
    ) : AdmissionResult

    /** It names predecessors, which a controller of an older version would ignore. */
    data object DependenciesNotSupportedYet : AdmissionResult

    /** The records of this controller do not show these predecessors. */
    data class UnknownPredecessors(
        val jobs: List<JobId>,
    ) : AdmissionResult
}

/** Why a job can never run. */
enum class RejectionReason(
    /** The text of the answer. */
    val text: String,
) {
    UNKNOWN_TEAM("unknown team"),
    NO_FITTING_MACHINE_TYPE("fits no allowed machine type"),
    TOO_LARGE_TO_STORE("needs more room than the state service has"),
    ABOVE_TEAM_LIMIT("needs more than the team's limit"),
}

/** Checks submissions against the settings, the machine types and what the records can hold. Event-loop thread only. */
class SubmissionValidator(
    private val context: EngineContext,
    private val formats: RecordFormatNegotiator,
    private val limits: TransactionLimits,
) {
    private val cache get() = context.cache

    /** Whether [spec] may be stored, as far as the records of this controller show it. */
    fun validate(spec: JobSpec): AdmissionResult {
        val reason = rejectionReason(spec)
        return when {
            reason != null -> AdmissionResult.Rejected(reason)
            spec.predecessors == null -> AdmissionResult.Accepted
            !formats.allowsDependencies -> AdmissionResult.DependenciesNotSupportedYet
            else -> checkPredecessors(spec)
        }
    }

    /** Whether the records of this controller show all predecessors of [spec]. */
    fun checkPredecessors(spec: JobSpec): AdmissionResult {
        val unknown = spec.predecessorIds.filterNot(cache::isKnown)
        return if (unknown.isEmpty()) AdmissionResult.Accepted else AdmissionResult.UnknownPredecessors(unknown)
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

    /** Whether the specification fits into as many records as one transaction can guard together. */
    private fun canBeStored(spec: JobSpec): Boolean {
        val nameCount = spec.predecessors.orEmpty().size + spec.types.orEmpty().size
        if (nameCount < MIN_NAMES_TO_MEASURE) return true
        val pieces = SpecPieces.split(spec, formats.maxValueBytes).size
        return if (formats.allowsDependencies) pieces < limits.maxGuards - 1 else pieces <= 1
    }

    /** Services and gangs need all their tasks at once, other jobs at least one. */
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
        /** A specification with fewer names always fits. */
        const val MIN_NAMES_TO_MEASURE = 50
    }
}
