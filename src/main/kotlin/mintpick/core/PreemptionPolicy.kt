package mintpick.core

import mintpick.wire.Priority

/** A job that found no free capacity, as the preemptor of running tasks. */
data class Preemptor(
    val team: String,
    val priority: Priority,
    /** Whether its team's guarantee pays for it. */
    val isFunded: Boolean,
    /** Whether its team has used more than its share. */
    val isTeamOverShare: Boolean,
)

/** A running task as a possible victim of preemption. */
data class RunningTask(
    val team: String,
    val priority: Priority,
    /** Whether its team's guarantee pays for it. */
    val isFunded: Boolean,
    /** Whether its minimum runtime is over. */
    val isPastMinimumRuntime: Boolean,
    /** Whether its team has used more than its share. */
    val isTeamOverShare: Boolean,
)

/** Why a task is preempted; [text] is for the log. */
enum class PreemptionReason(
    val text: String,
) {
    /** Unallocated work is preempted for a higher priority. */
    HIGHER_PRIORITY("priority"),

    /** Unallocated work is preempted for what another team's guarantee pays for. */
    OTHER_TEAMS_GUARANTEE("guarantee"),

    /** Funded work past its minimum runtime, of a team over its share, is preempted for a higher priority of one that is not. */
    EXPIRED_OVER_SHARE("expired-over-share"),
}

/**
 * Which work is preempted for which. From "Ai2 replaces GPU priority scheduling with time budgets and fair share": funded time is protected
 * for its minimum runtime, and unallocated time is preempted by any funded request. That expired work is preempted only
 * if its team is over share and the preemptor's is not is the project's own rule.
 */
object PreemptionPolicy {
    /** Whether [victim] is preempted for [preemptor]. */
    fun isPreempted(
        victim: RunningTask,
        preemptor: Preemptor,
    ): Boolean = reason(victim, preemptor) != null

    /**
     * Why [victim] is preempted for [preemptor]; null if it is not.
     *
     * Unallocated work is preempted for any funded request; funded work only after its minimum runtime, and only if its team is
     * over share while the preemptor's is not. Both only where the platform's rules allow preemption: for a higher priority, or for
     * another team's guarantee.
     */
    fun reason(
        victim: RunningTask,
        preemptor: Preemptor,
    ): PreemptionReason? {
        val isHigher = preemptor.priority < victim.priority
        // Exception: services go before batch work even where no team has a guarantee to fund them with.
        val isEntitled = preemptor.isFunded || (preemptor.priority == Priority.PRODUCTION && isHigher)
        if (!isEntitled) return null
        if (victim.isFunded) {
            val isExposed = victim.isPastMinimumRuntime && victim.isTeamOverShare && !preemptor.isTeamOverShare
            return if (isExposed && isHigher) PreemptionReason.EXPIRED_OVER_SHARE else null
        }
        return when {
            isHigher -> PreemptionReason.HIGHER_PRIORITY
            preemptor.isFunded && preemptor.team != victim.team -> PreemptionReason.OTHER_TEAMS_GUARANTEE
            else -> null
        }
    }
}
