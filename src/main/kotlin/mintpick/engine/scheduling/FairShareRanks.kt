package mintpick.engine.scheduling

/** The teams' ranks by fair share. The team whose jobs are placed first has the lowest; equal teams share a rank. */
class FairShareRanks(
    private val byTeam: Map<String, Int>,
) {
    /** The rank of [team]; a team that is not in the budget tree comes last. */
    fun of(team: String): Int = byTeam[team] ?: Int.MAX_VALUE
}
