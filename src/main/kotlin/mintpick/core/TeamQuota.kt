package mintpick.core

import mintpick.wire.JobSpec

/**
 * What teams may still use under their limits, as one pass gives it out. Pure: kept for the pass only.
 *
 * @param limits the limit of every team, with [UNLIMITED] for a resource without one
 * @param usedBy what a team uses before the pass
 */
class TeamQuota(
    private val limits: Map<String, Resources>,
    private val usedBy: (String) -> Resources,
) {
    private val reservedInPass = HashMap<String, Resources>()

    /** How many more tasks of [spec] its team's limit allows; none for an unknown team. */
    fun remainingTasks(spec: JobSpec): Int {
        val limit = limits[spec.team] ?: return 0
        val left = limit - usedBy(spec.team) - (reservedInPass[spec.team] ?: Resources.ZERO)
        return spec.demand.countIn(left)
    }

    /** Counts [count] tasks of [spec] as used for the rest of the pass. */
    fun reserve(
        spec: JobSpec,
        count: Int,
    ) {
        reservedInPass.merge(spec.team, spec.demand * count.toDouble(), Resources::plus)
    }

    companion object {
        /** More of any resource than a team can use. */
        const val UNLIMITED = 1e15
    }
}
