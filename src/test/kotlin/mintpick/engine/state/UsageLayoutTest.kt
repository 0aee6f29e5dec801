package mintpick.engine.state

import io.kotest.property.Arb
import io.kotest.property.PropTestConfig
import io.kotest.property.arbitrary.int
import io.kotest.property.arbitrary.long
import io.kotest.property.checkAll
import kotlinx.coroutines.runBlocking
import mintpick.wire.UsageRecord
import mintpick.wire.WireJson
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test

class UsageLayoutTest {
    /** For any number of teams and slots, each team's usage is stored once, and no piece is too large or overwritten within the window. */
    @Test
    fun `usage by team is stored in pieces that fit into a value for any number of teams`(): Unit =
        runBlocking {
            checkAll(
                PropTestConfig(seed = 8, iterations = 200),
                Arb.int(1..3000),
                Arb.int(2..200),
                Arb.long(0L..40_000_000L),
            ) { teams, windowSlots, firstSlot ->
                val layout = UsageLayout(teams, windowSlots, 2_000.0)
                val slotsByPiece = HashMap<Int, LongRange>()
                for (slot in firstSlot until firstSlot + windowSlots) {
                    val pieces = layout.piecesOf(slot)
                    assertEquals((0 until teams).toList(), pieces.flatMap { it.teams })
                    for (piece in pieces) {
                        assertTrue(slot in piece.slots && piece.number > 0)
                        val firstSlots = slotsByPiece.getOrPut(piece.number) { piece.slots }
                        assertEquals(piece.slots, firstSlots, "a piece is not reused within the window")
                    }
                }
                val piece = layout.piecesOf(firstSlot).first()
                val full = piece.slots.associate { "$it" to piece.teams.map { 999_999.999 } }
                val record = UsageRecord(1_700_000_000_000_000, full, piece.teams.first)
                val size = WireJson.encodeToString(UsageRecord.serializer(), record).length
                assertTrue(size <= 2_000, "$size B")
            }
        }
}
