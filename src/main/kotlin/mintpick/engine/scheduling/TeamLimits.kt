package mintpick.engine.scheduling

import mintpick.core.Resources
import mintpick.core.TeamQuota
import mintpick.engine.runtime.EngineContext

/** The maximum resources that each team may use at a time, from the settings. */
internal class TeamLimits(
    private val context: EngineContext,
) {
    private val limits =
        context.settings.teams.associate { team ->
            team.name to Resources(orUnlimited(team.cpusMax), orUnlimited(team.gpusMax), TeamQuota.UNLIMITED, TeamQuota.UNLIMITED)
        }

    /** Resources that teams may still use, according to the records. */
    fun quota(): TeamQuota = TeamQuota(limits, context.cache::usedBy)

    /** A limit of 0 in the platform's settings means that there is none. */
    private fun orUnlimited(limit: Double): Double = if (limit > 0) limit else TeamQuota.UNLIMITED
}
