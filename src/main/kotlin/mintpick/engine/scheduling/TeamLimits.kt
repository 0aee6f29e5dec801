package mintpick.engine.scheduling

import mintpick.core.Resources
import mintpick.core.TeamQuota
import mintpick.engine.runtime.EngineContext

/** The most that each team may use at a time, from the settings. */
internal class TeamLimits(
    private val context: EngineContext,
) {
    private val limits =
        context.settings.teams.associate { team ->
            team.name to Resources(orUnlimited(team.cpusMax), orUnlimited(team.gpusMax), TeamQuota.UNLIMITED)
        }

    /** What teams may still use as the records stand. */
    fun quota(): TeamQuota = TeamQuota(limits, context.cache::usedBy)

    /** The platform's files say 0 where there is no limit. */
    private fun orUnlimited(limit: Double): Double = if (limit > 0) limit else TeamQuota.UNLIMITED
}
