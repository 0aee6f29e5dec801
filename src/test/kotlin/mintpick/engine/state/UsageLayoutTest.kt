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
    /** Any number of teams and slots: each use is kept once, by pieces that fit, and none is overwritten within the window. */
    @Test
    fun `use by team is kept in pieces that fit into a value, whatever the number of teams`(): Unit =
        runBlocking {
            checkAll(
                PropTestConfig(seed = 8, iterations = 200),
                Arb.int(1..3000),
                Arb.int(2..200),
                Arb.long(0L..40_000_000L),
            ) { teams, window, at ->
                val layout = UsageLayout(teams, window, 2_000.0)
                val owners = HashMap<Int, LongRange>()
                for (slot in at until at + window) {
                    val pieces = layout.piecesOf(slot)
                    assertEquals((0 until teams).toList(), pieces.flatMap { it.teams })
                    for (piece in pieces) {
                        assertTrue(slot in piece.slots && piece.number > 0)
                        assertEquals(piece.slots, owners.getOrPut(piece.number) { piece.slots }, "a piece with slots of a window")
                    }
                }
                val piece = layout.piecesOf(at).first()
                val full = piece.slots.associate { "$it" to piece.teams.map { 999_999.999 } }
                val record = UsageRecord(1_700_000_000_000_000, full, piece.teams.first)
                val size = WireJson.encodeToString(UsageRecord.serializer(), record).length
                assertTrue(size <= 2_000, "$size B")
            }
        }
}
