package mintpick.wire

import io.kotest.property.Arb
import io.kotest.property.PropTestConfig
import io.kotest.property.arbitrary.int
import io.kotest.property.arbitrary.list
import io.kotest.property.arbitrary.long
import io.kotest.property.arbitrary.map
import io.kotest.property.arbitrary.pair
import io.kotest.property.checkAll
import kotlinx.coroutines.runBlocking
import mintpick.testing.SampleJobs
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertNull
import org.junit.jupiter.api.Assertions.assertSame
import org.junit.jupiter.api.Test

class JobIdListTest {
    private val config = PropTestConfig(seed = 12)

    /** Ids of 1 to 17 digits, many of them with leading zeros. */
    private val ids =
        Arb.pair(Arb.long(0L..99_999_999_999_999_999), Arb.int(1..17)).map { (number, digits) ->
            "req-" + number.toString().padStart(17, '0').take(digits)
        }

    @Test
    fun `ids survive being packed, and different ids have different numbers`(): Unit =
        runBlocking {
            checkAll(config, Arb.list(ids, 0..50)) { list ->
                assertEquals(list, JobIdList.of(list).toList())
                assertEquals(list.distinct().size, list.map { PackedJobId.pack(it) }.distinct().size)
            }
        }

    @Test
    fun `a specification is written in the same form whether its ids are packed or not`(): Unit =
        runBlocking {
            checkAll(config, Arb.list(ids, 1..50)) { list ->
                val spec = SampleJobs.spec().copy(predecessors = list)
                val text = WireJson.encodeToString(JobSpec.serializer(), spec)
                val read = WireJson.decodeFromString(JobSpec.serializer(), text)
                assertEquals(spec, read)
                assertEquals(text, WireJson.encodeToString(JobSpec.serializer(), read))
            }
        }

    @Test
    fun `texts that are not job ids stay as they are`() {
        for (text in listOf("", "req-", "req-1a", "req--1", "job-1", "req-" + "1".repeat(18), "req-\u0661")) {
            assertNull(PackedJobId.pack(text), text)
            val list = listOf("req-1", text)
            assertSame(list, JobIdList.of(list))
        }
    }
}
