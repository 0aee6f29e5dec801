package mintpick.core

import mintpick.wire.JobSpec

/**
 * Remaining resources of each team under its limit during one planning pass.
 *
 * @param limits the limits of every team; [UNLIMITED] for a resource without a limit
 * @param usedBy resources that a team uses at the start of the pass
 */
class TeamQuota(
    private val limits: Map<String, Resources>,
    private val usedBy: (String) -> Resources,
) {
    private val reservedInPass = HashMap<String, Resources>()

    /** How many more tasks of [spec] the limit of its team allows; 0 for an unknown team. */
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
        /** Larger than any amount that a team can use. */
        const val UNLIMITED = 1e15
    }
}
