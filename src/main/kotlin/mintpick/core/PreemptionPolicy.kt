package mintpick.core

import mintpick.wire.Priority

/** What decides whether one job's running task makes way for another job's waiting one. */
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
    val funded: Boolean,
    /** Its minimum runtime is over. */
    val expired: Boolean,
    val teamOverShare: Boolean,
)

/** Who yields to whom. */
object PreemptionPolicy {
    /**
     * Unallocated work yields to any funded request; funded work only after its window, and only if its
     * team is over share while the claimant's is not. Both only where the platform's rules let work be
     * stopped: for a higher priority, or for another team's guarantee.
     */
    fun yields(
        occupant: Occupant,
        claimant: Claimant,
    ): Boolean {
        val higher = claimant.priority < occupant.priority
        val owed = claimant.funded && !occupant.funded && claimant.team != occupant.team
        // Exception: services go before batch work even where no team has a guarantee to fund them with.
        val entitled = claimant.funded || (claimant.priority == Priority.PRODUCTION && higher)
        return when {
            !entitled -> false
            !occupant.funded -> higher || owed
            else -> occupant.expired && occupant.teamOverShare && !claimant.teamOverShare && higher
        }
    }
}
