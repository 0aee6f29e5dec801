package mintpick.core

import mintpick.wire.JobSpec

/**
 * What teams may still use under their limits, as one pass gives it out. [limits] names every team, with [UNLIMITED] for a
 * resource without a limit; [usedBy] is what a team uses before the pass.
 */
class TeamQuota(
    private val limits: Map<String, Resources>,
    private val usedBy: (String) -> Resources,
) {
    private val taken = HashMap<String, Resources>()

    /** How many more tasks of [spec] its team's limit allows; none for an unknown team. */
    fun tasks(spec: JobSpec): Int {
        val limit = limits[spec.team] ?: return 0
        return spec.demand.countIn(limit - usedBy(spec.team) - (taken[spec.team] ?: Resources.ZERO))
    }

    fun take(
        spec: JobSpec,
        count: Int,
    ) {
        taken.merge(spec.team, spec.demand * count.toDouble(), Resources::plus)
    }

    companion object {
        const val UNLIMITED = 1e15
    }
}
