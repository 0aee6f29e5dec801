package mintpick.engine.state

/**
 * Which record holds which part of a controller's use by team: each piece holds some time slots of some teams, as many as
 * fit into a value, and slots of a window share no piece with older ones. Only the pieces of the present slot change.
 */
class UsageLayout(
    private val teams: Int,
    windowSlots: Int,
    valueBytes: Double,
) {
    /** Numbers of the teams, in the order of the settings, and of the slots that a piece holds. */
    data class Piece(
        val number: Int,
        val teams: IntRange,
        val slots: LongRange,
    )

    private val teamsPerPiece = minOf(maxOf(1, teams), maxOf(1, ((valueBytes - HEAD_BYTES - SLOT_BYTES) / SHARE_BYTES).toInt()))
    private val slotsPerPiece = maxOf(1, ((valueBytes - HEAD_BYTES) / (SLOT_BYTES + teamsPerPiece * SHARE_BYTES)).toInt())
    private val ranges = (teams + teamsPerPiece - 1) / teamsPerPiece
    private val groups = (windowSlots + slotsPerPiece - 1) / slotsPerPiece + SPARE_GROUPS

    /** The pieces that [slot] is kept in, one for each range of teams. */
    fun piecesOf(slot: Long): List<Piece> {
        val group = slot / slotsPerPiece
        val slots = group * slotsPerPiece until (group + 1) * slotsPerPiece
        val first = 1 + (group % groups).toInt() * ranges
        return List(ranges) { range ->
            val from = range * teamsPerPiece
            Piece(first + range, from until minOf(teams, from + teamsPerPiece), slots)
        }
    }

    private companion object {
        /** Field names, the time and brackets. */
        const val HEAD_BYTES = 80

        /** A slot's number with quotes, colon, brackets and comma. */
        const val SLOT_BYTES = 18

        /** Up to a million share-seconds with three decimals, and a comma. */
        const val SHARE_BYTES = 12

        /** So that a piece is used again only when all its slots have left the window. */
        const val SPARE_GROUPS = 2
    }
}
