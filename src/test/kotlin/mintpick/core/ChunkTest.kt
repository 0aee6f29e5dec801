package mintpick.core

import mintpick.store.RecordCodec
import mintpick.store.RecordFormat
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertFalse
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import java.util.SplittableRandom

class ChunkTest {
    private val machines = (1..4).map { MachineId("host-$it") }

    @Test
    fun `random edits keep every task in one state, increase attempts, and survive encoding`() {
        val random = SplittableRandom(7)
        repeat(200) {
            var chunk = Chunk.empty(1 + random.nextInt(Job.TASKS_PER_CHUNK))
            val done = HashSet<Int>()
            val attempts = HashMap<Int, Int>()
            repeat(60) {
                val task = random.nextInt(chunk.size)
                val at = chunk.placed[task]
                when {
                    at == null && chunk.isWaiting(task) -> {
                        chunk = chunk.place(task, machines[random.nextInt(machines.size)])
                        val attempt = chunk.placed.getValue(task).attempt
                        assertTrue(attempt > (attempts[task] ?: 0), "attempts must increase")
                        attempts[task] = attempt
                    }
                    at != null && random.nextBoolean() -> chunk = chunk.requeue(task, at)
                    at != null -> {
                        chunk = chunk.finish(task)
                        done += task
                    }
                }
                assertEquals(done, (0 until chunk.size).filter(chunk::isDone).toSet())
                assertEquals(chunk.size, chunk.doneCount + chunk.placed.size + chunk.waiting().count())
                assertEquals(chunk.waitingCount, chunk.waiting().count())
            }
            for (format in RecordFormat.entries) {
                val again = RecordCodec.chunk(RecordCodec.decodeChunk(RecordCodec.chunkJson(chunk, format)), chunk.size, chunk.version)
                assertEquals(chunk.placed, again.placed)
                assertEquals(chunk.attempts, again.attempts)
                assertEquals(chunk.doneRanges(), again.doneRanges())
            }
        }
    }

    @Test
    fun `requeueing an older attempt has no effect`() {
        val first = Chunk.empty(2).place(0, machines[0])
        val old = first.placed.getValue(0)
        val second = first.requeue(0, old).place(0, machines[1])
        assertEquals(second.placed, second.requeue(0, old).placed)
        assertFalse(second.isWaiting(0))
    }
}
