package mintpick.engine.state

import mintpick.core.ceilDiv

/**
 * Assigns a controller's usage by team to records (pieces). Each piece contains as many time slots and teams as fit into a value
 * of [valueBytes]. A piece is reused only after all of its slots have left the window, and only the pieces of the current slot
 * change. There are [teams] teams, and usage is summed over a window of [windowSlots] slots.
 */
class UsageLayout(
    private val teams: Int,
    windowSlots: Int,
    valueBytes: Double,
) {
    /** A piece with its number, its slots, and the indexes of its teams in the order of the settings. */
    data class Piece(
        val number: Int,
        val teams: IntRange,
        val slots: LongRange,
    )

    private val teamsPerPiece = teamsThatFit(valueBytes)
    private val slotsPerPiece = slotsThatFit(valueBytes)
    private val teamRangeCount = ceilDiv(teams, teamsPerPiece)
    private val slotGroupCount = ceilDiv(windowSlots, slotsPerPiece) + SPARE_SLOT_GROUPS

    /** Number of teams whose shares of one slot fit into a value: at least one, at most all. */
    private fun teamsThatFit(valueBytes: Double): Int {
        val fitting = ((valueBytes - HEAD_BYTES - SLOT_BYTES) / SHARE_BYTES).toInt()
        return minOf(maxOf(1, teams), maxOf(1, fitting))
    }

    private fun slotsThatFit(valueBytes: Double): Int {
        val slotBytes = SLOT_BYTES + teamsPerPiece * SHARE_BYTES
        return maxOf(1, ((valueBytes - HEAD_BYTES) / slotBytes).toInt())
    }

    /** The pieces that contain [slot], one for each range of teams. */
    fun piecesOf(slot: Long): List<Piece> {
        val group = slot / slotsPerPiece
        val slots = group * slotsPerPiece until (group + 1) * slotsPerPiece
        val first = 1 + (group % slotGroupCount).toInt() * teamRangeCount
        return List(teamRangeCount) { range ->
            val from = range * teamsPerPiece
            Piece(first + range, from until minOf(teams, from + teamsPerPiece), slots)
        }
    }

    private companion object {
        /** Field names, the time and brackets of a record. */
        const val HEAD_BYTES = 80

        /** A slot number with quotes, colon, brackets and comma. */
        const val SLOT_BYTES = 18

        /** Up to a million share-seconds with three decimals, and a comma. */
        const val SHARE_BYTES = 12

        /** Ensures that a piece is reused only after all of its slots have left the window. */
        const val SPARE_SLOT_GROUPS = 2
    }
}
