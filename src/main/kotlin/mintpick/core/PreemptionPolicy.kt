package mintpick.core

import mintpick.wire.Priority

/** A job that found no room, as what asks running tasks to make way for it. */
data class Claimant(
    val team: String,
    val priority: Priority,
    /** Paid for by its team's guarantee. */
    val funded: Boolean,
    val teamOverShare: Boolean,
)

/** A running task as a possible victim. */
data class Occupant(
    val team: String,
    val priority: Priority,
    /** Paid for by its team's guarantee. */
    val funded: Boolean,
    /** Its minimum runtime is over. */
    val expired: Boolean,
    val teamOverShare: Boolean,
)

/** Why a task is preempted; [text] is for the log. */
enum class PreemptionReason(
    val text: String,
) {
    /** Unallocated work makes way for a higher priority. */
    HIGHER_PRIORITY("priority"),

    /** Unallocated work makes way for what another team's guarantee pays for. */
    OTHER_TEAMS_GUARANTEE("guarantee"),

    /** Funded work past its minimum runtime, of a team over its share, makes way for a higher priority of one that is not. */
    EXPIRED_OVER_SHARE("expired-over-share"),
}

/**
 * Who yields to whom. From "Ai2 replaces GPU priority scheduling with time budgets and fair share": funded time is protected
 * for its minimum runtime, and unallocated time is stopped by any funded request. That expired work yields only from a team
 * over share to one that is not is the project's own.
 */
object PreemptionPolicy {
    /** Whether [occupant] has to make way for [claimant]. */
    fun yields(
        occupant: Occupant,
        claimant: Claimant,
    ): Boolean = reason(occupant, claimant) != null

    /**
     * Why [occupant] has to make way for [claimant]; null if it does not.
     *
     * Unallocated work yields to any funded request; funded work only after its window, and only if its team is over share
     * while the claimant's is not. Both only where the platform's rules let work be stopped: for a higher priority, or for
     * another team's guarantee.
     */
    fun reason(
        occupant: Occupant,
        claimant: Claimant,
    ): PreemptionReason? {
        val isHigher = claimant.priority < occupant.priority
        // Exception: services go before batch work even where no team has a guarantee to fund them with.
        val isEntitled = claimant.funded || (claimant.priority == Priority.PRODUCTION && isHigher)
        if (!isEntitled) return null
        if (occupant.funded) {
            val isExposed = occupant.expired && occupant.teamOverShare && !claimant.teamOverShare
            return if (isExposed && isHigher) PreemptionReason.EXPIRED_OVER_SHARE else null
        }
        return when {
            isHigher -> PreemptionReason.HIGHER_PRIORITY
            claimant.funded && claimant.team != occupant.team -> PreemptionReason.OTHER_TEAMS_GUARANTEE
            else -> null
        }
    }
}
