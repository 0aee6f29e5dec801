package mintpick.engine.scheduling

/** The teams' ranks by fair share, the team to be served first lowest; equals share a rank. */
class FairShareRanks(
    private val byTeam: Map<String, Int>,
) {
    /** The rank of [team]; a team without a share comes last. */
    fun of(team: String): Int = byTeam[team] ?: Int.MAX_VALUE
}
