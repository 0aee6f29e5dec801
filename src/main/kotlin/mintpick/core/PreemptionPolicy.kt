package mintpick.core

import mintpick.wire.Priority

/** A job without free capacity, as a possible preemptor of running tasks. */
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
    /** Whether the task has run for its minimum runtime. */
    val isPastMinimumRuntime: Boolean,
    /** Whether its team has used more than its share. */
    val isTeamOverShare: Boolean,
)

/** Why a task is preempted; [text] is written to the log. */
enum class PreemptionReason(
    val text: String,
) {
    /** Unallocated work is preempted for work of a higher priority. */
    HIGHER_PRIORITY("priority"),

    /** Unallocated work is preempted for work within another team's guarantee. */
    OTHER_TEAMS_GUARANTEE("guarantee"),

    /** Funded work past its minimum runtime, of a team over its share, is preempted for higher-priority work of a team that is not over. */
    EXPIRED_OVER_SHARE("expired-over-share"),
}

/**
 * Decides which work is preempted for which. From "Ai2 replaces GPU priority scheduling with time budgets and fair share": funded
 * work is protected for its minimum runtime, and funded requests preempt unallocated work. A funded request may preempt unallocated
 * work if it has a higher priority or belongs to another team; production work of higher priority may do so even if it is not
 * funded. One rule is this project's own: past its minimum runtime, funded work is preempted only if its team is over its share and
 * the preemptor's team is not.
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
     * The preemptor must be funded, or be production work of higher priority than the victim. Funded work is preempted only after
     * its minimum runtime, and only if its team is over its share and the preemptor's team is not. In addition, the platform's rules
     * must allow the preemption: for a higher priority or, in the case of unallocated work, for another team's guarantee.
     */
    fun reason(
        victim: RunningTask,
        preemptor: Preemptor,
    ): PreemptionReason? {
        val isHigher = preemptor.priority < victim.priority
        // Exception: services preempt batch work even if no guarantee funds them.
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
