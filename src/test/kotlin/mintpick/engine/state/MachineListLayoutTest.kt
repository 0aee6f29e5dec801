package mintpick.engine.state

import io.kotest.property.Arb
import io.kotest.property.PropTestConfig
import io.kotest.property.arbitrary.enum
import io.kotest.property.arbitrary.int
import io.kotest.property.checkAll
import kotlinx.coroutines.runBlocking
import mintpick.core.MachineId
import mintpick.store.RecordCodec
import mintpick.store.RecordFormat
import mintpick.wire.MachineRecord
import mintpick.wire.Retiring
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test

class MachineListLayoutTest {
    private fun id(n: Int) = MachineId("host-%06d".format(n))

    private fun record(n: Int) = MachineRecord("type-${n % 2}", "zone-${n % 3}", n % 5 == 0, "10.1.${n / 250}.${n % 250}:9000")

    private fun MachineListLayout.all() = changedPieces(Int.MAX_VALUE, Int.MAX_VALUE)

    @Test
    fun `each machine is listed exactly once in pieces that fit into a value, and all can be marked as retiring`(): Unit =
        runBlocking {
            checkAll(
                PropTestConfig(seed = 5, iterations = 24),
                Arb.int(1..2000),
                Arb.int(8..32),
                Arb.enum<RecordFormat>(),
            ) { count, kilobytes, format ->
                val limit = kilobytes * 1000.0 / if (format == RecordFormat.COMPACT) COMPACT_LIMIT_DIVISOR else 1
                val pieces = MachineListLayout(emptyMap(), limit, format)
                (0 until count).forEach { pieces.add(id(it), record(it)) }
                (0 until count).forEach { assertTrue(pieces.markRetiring(id(it), Retiring.DRAIN), "$it of $count in $kilobytes") }
                val written = pieces.all()
                val listed = written.values.flatMap { RecordCodec.decodeMachineList(it.value).entries }
                assertEquals(
                    (0 until count).associate { id(it) to record(it).copy(retiring = Retiring.DRAIN) },
                    listed.associate { it.toPair() },
                )
                assertEquals(count, listed.size)
                written.values.forEach { assertTrue(it.value.toString().length <= limit, "${it.value.toString().length} of $limit") }
            }
        }

    @Test
    fun `machines stay in their pieces, free space is reused and unchanged pieces are not written`() {
        val before =
            MachineListLayout(
                emptyMap(),
                16_000.0,
                RecordFormat.VERBOSE,
            ).apply { (0 until 500).forEach { add(id(it), record(it)) } }.all()
        val stored = before.mapValues { it.value.machines }
        assertTrue(stored.size in 2..4, "${stored.size} pieces")
        val pieces = MachineListLayout(stored, 16_000.0, RecordFormat.VERBOSE)
        val second = stored.getValue(1).keys.take(20)
        second.forEach(pieces::remove)
        (1000 until 1020).forEach { pieces.add(id(it), record(it)) }
        val after = pieces.all()
        assertTrue(0 !in after.keys, "the first piece is unchanged")
        assertEquals(second.toSet(), after.getValue(1).removed)
        after.forEach { (number, piece) -> assertTrue(piece.machines.keys.containsAll(stored[number].orEmpty().keys - second.toSet())) }
    }

    @Test
    fun `pieces stored under larger limits are split in one transaction without losing a machine`() {
        val before =
            MachineListLayout(
                emptyMap(),
                32_000.0,
                RecordFormat.VERBOSE,
            ).apply { (0 until 400).forEach { add(id(it), record(it)) } }
        val stored = before.all().mapValues { it.value.machines }
        assertEquals(1, stored.size)
        val pieces = MachineListLayout(stored, 2_000.0, RecordFormat.COMPACT)
        assertTrue(pieces.markRetiring(id(7), Retiring.NOW))
        val written = pieces.changedPieces(5, Int.MAX_VALUE)
        assertTrue(written.size in 2..5, "${written.size} pieces")
        written.values.forEach { assertTrue(it.value.toString().length <= 2_000, "${it.value.toString().length} B") }
        val listed = written.values.flatMap { RecordCodec.decodeMachineList(it.value).entries }
        assertEquals(400, listed.size)
        assertEquals(stored.getValue(0).keys, listed.mapTo(HashSet()) { it.key })
        assertEquals(listOf(id(7)), listed.filter { it.value.retiring == Retiring.NOW }.map { it.key })
        assertTrue(pieces.guardedNumbers.containsAll(written.keys), "every written piece is guarded")
    }

    @Test
    fun `a write is guarded by all pieces and by the next new piece`() {
        assertEquals(setOf(0), MachineListLayout(emptyMap(), 16_000.0, RecordFormat.VERBOSE).guardedNumbers)
        val pieces =
            MachineListLayout(
                emptyMap(),
                16_000.0,
                RecordFormat.VERBOSE,
            ).apply { (0 until 500).forEach { add(id(it), record(it)) } }
        assertEquals((0..pieces.all().size).toSet(), pieces.guardedNumbers)
    }

    @Test
    fun `a write stays within the limits of a transaction but always contains the first changed piece`() {
        val pieces =
            MachineListLayout(
                emptyMap(),
                16_000.0,
                RecordFormat.VERBOSE,
            ).apply { (0 until 1000).forEach { add(id(it), record(it)) } }
        assertEquals(2, pieces.changedPieces(2, Int.MAX_VALUE).size)
        assertEquals(1, pieces.changedPieces(16, 100).size)
    }

    private companion object {
        /** The compact format is intended for limits that are an eighth of those the verbose format needs. */
        const val COMPACT_LIMIT_DIVISOR = 8
    }
}
