package mintpick.store

import io.kotest.property.Arb
import io.kotest.property.PropTestConfig
import io.kotest.property.arbitrary.byte
import io.kotest.property.arbitrary.byteArray
import io.kotest.property.arbitrary.int
import io.kotest.property.arbitrary.list
import io.kotest.property.arbitrary.string
import io.kotest.property.checkAll
import kotlinx.coroutines.runBlocking
import mintpick.core.Chunk
import mintpick.core.Job
import mintpick.core.JobId
import mintpick.core.JobRecordInfo
import mintpick.core.MachineId
import mintpick.core.Placement
import mintpick.testing.SampleJobs
import mintpick.wire.MachineRecord
import mintpick.wire.StoredStage
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import java.util.Base64
import java.util.BitSet
import java.util.SplittableRandom

class CompactRecordsTest {
    private val config = PropTestConfig(seed = 77)

    private val valueBytes = 2_000

    @Test
    fun `encoded names of any form decode to the same names`(): Unit =
        runBlocking {
            checkAll(config, Arb.list(Arb.string(0..12), 0..40), Arb.list(Arb.int(0..2_000_000_000), 0..40)) { arbitraryNames, numbers ->
                val names =
                    CompactNames.ordered(
                        (arbitraryNames + numbers.map { "host-$it" } + numbers.map { "host-%06d".format(it) }).toSet(),
                    )
                val writer = VarintWriter().also { CompactNames.write(names, it) }
                assertEquals(names, CompactNames.read(VarintReader(writer.toByteArray())))
            }
        }

    /** Worst case: a full chunk with each task on a different one of 30,000 machines, about half at attempt 41, with its job. */
    @Test
    fun `the largest job record fits into the smallest value limit`() {
        val random = SplittableRandom(3)
        repeat(50) {
            val machines = generateSequence { random.nextInt(30_000) }.distinct().take(Job.TASKS_PER_CHUNK).toList()
            val placed =
                machines.withIndex().associate { (task, n) ->
                    task to
                        Placement(MachineId("host-%06d".format(n)), 1 + random.nextInt(2) * 40)
                }
            val spec = SampleJobs.spec("req-123456789", "a team of some length", tasks = 100_000, estimateS = 123.456)
            val chunk = Chunk(0, Job.TASKS_PER_CHUNK, placed, BitSet(), emptyMap())
            val job = Job(JobId(spec.id), spec, StoredStage.OPEN, 1_700_000_000_000_000, JobRecordInfo(version = 7), mapOf(0 to chunk))
            val value = RecordCodec.jobJson(job, RecordFormat.COMPACT)
            assertTrue(value.toString().length <= valueBytes, "${value.toString().length} B")
            val decoded = RecordCodec.job(job.id, RecordCodec.decodeJob(value), 7, emptyMap())
            assertEquals(placed, decoded?.chunk(0)?.placed)
            assertTrue(
                RecordCodec.jobJson(job, RecordFormat.VERBOSE).toString().length > valueBytes,
                "the verbose record must exceed the limit",
            )
        }
    }

    @Test
    fun `decoding random bytes throws only exceptions for unreadable records`(): Unit =
        runBlocking {
            val rejected = ArrayList<Int>()
            checkAll(config, Arb.byteArray(Arb.int(0..60), Arb.byte())) { bytes ->
                val text = Base64.getEncoder().withoutPadding().encodeToString(bytes)
                runCatching { CompactChunk.decode(text, 64, 1) }.onFailure { assertUnreadable(it).also { rejected += 1 } }
                runCatching { CompactMachineList.decode(text) }.onFailure { assertUnreadable(it).also { rejected += 1 } }
            }
            assertTrue(rejected.size > 1_000, "${rejected.size} rejected")
        }

    /** Checks that [failure] is of a type that stands for an unreadable record. */
    private fun assertUnreadable(failure: Throwable) =
        assertTrue(failure is IllegalArgumentException || failure is ArithmeticException, failure.toString())

    @Test
    fun `encoded machines decode with the same kinds, retirement and addresses`(): Unit =
        runBlocking {
            checkAll(config, Arb.list(Arb.int(0..5_000), 0..150)) { numbers ->
                val machines =
                    numbers.toSet().associate { n ->
                        val record =
                            MachineRecord("type-${n % 3}", "zone-${n % 2}", n % 5 == 0, "10.1.${n / 250}.${n % 250}:${9000 + n % 2}")
                        MachineId("host-%06d".format(n)) to record.copy(retiring = mintpick.wire.Retiring.entries[n % 3])
                    }
                val value = RecordCodec.machineListJson(machines, RecordFormat.COMPACT)
                assertEquals(machines, RecordCodec.decodeMachineList(value))
            }
        }
}
