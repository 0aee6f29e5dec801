package mintpick.wire

import io.kotest.property.Arb
import io.kotest.property.PropTestConfig
import io.kotest.property.arbitrary.arbitrary
import io.kotest.property.arbitrary.boolean
import io.kotest.property.arbitrary.double
import io.kotest.property.arbitrary.element
import io.kotest.property.arbitrary.int
import io.kotest.property.arbitrary.string
import io.kotest.property.checkAll
import kotlinx.coroutines.runBlocking
import kotlinx.serialization.json.JsonNull
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonPrimitive
import mintpick.testing.SampleJobs
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertThrows
import org.junit.jupiter.api.Test

class SubmissionTest {
    private val config = PropTestConfig(seed = 20_260)

    private val specs: Arb<JobSpec> =
        arbitrary {
            JobSpec(
                "req-%06d".format(Arb.int(0..9_999_999).bind()),
                Arb.string(1..12).bind(),
                "team",
                Arb.element(JobKind.entries).bind(),
                Arb.element(Priority.entries).bind(),
                Arb.int(1..Submission.MAX_TASKS).bind(),
                Arb.double(0.0..512.0, includeNonFiniteEdgeCases = false).bind(),
                0.0,
                Arb.double(0.0..512.0, includeNonFiniteEdgeCases = false).bind(),
                "img",
                1.5,
                if (Arb.boolean().bind()) listOf("a", "b") else null,
                if (Arb.boolean().bind()) "zone" else null,
                Arb.boolean().bind(),
                Arb.boolean().bind(),
                Arb.boolean().bind(),
                12.5,
                0.0,
                0.0,
                if (Arb.boolean().bind()) 90.0 else null,
                if (Arb.boolean().bind()) listOf("req-1", "req-000002") else null,
            )
        }

    @Test
    fun `an encoded specification parses to the same specification`(): Unit =
        runBlocking {
            checkAll(config, specs) { spec ->
                assertEquals(spec, Submission.parse(WireJson.encodeToString(JobSpec.serializer(), spec)))
            }
        }

    @Test
    fun `the error names a field of the wrong type, and a missing required field is rejected`(): Unit =
        runBlocking {
            val optional = setOf("breeds", "plot", "due_s", "waits_on")
            checkAll(config, specs) { spec ->
                val whole = WireJson.encodeToJsonElement(JobSpec.serializer(), spec) as JsonObject
                for (field in whole.keys) {
                    val broken = JsonObject(whole + (field to JsonObject(emptyMap())))
                    val error = assertThrows(MalformedException::class.java) { Submission.parse(broken.toString()) }
                    assertEquals(field, error.message?.substringBefore(':'))
                    if (field in optional) continue
                    assertThrows(MalformedException::class.java) { Submission.parse(JsonObject(whole - field).toString()) }
                    assertThrows(MalformedException::class.java) { Submission.parse(JsonObject(whole + (field to JsonNull)).toString()) }
                }
            }
        }

    @Test
    fun `numbers must be numbers within range`() {
        val whole = WireJson.encodeToJsonElement(JobSpec.serializer(), SampleJobs.spec()) as JsonObject
        val bad =
            listOf(
                "pieces" to JsonPrimitive("3"),
                "pieces" to JsonPrimitive(0),
                "pieces" to JsonPrimitive(100_001),
                "pieces" to JsonPrimitive(1.5),
                "vcpus" to JsonPrimitive(-1),
                "vcpus" to JsonPrimitive("8.0"),
                "guess_s" to JsonPrimitive(1e300),
                "id" to JsonPrimitive("job-1"),
                "id" to JsonPrimitive("req-12345678901234567890"),
                "together" to JsonPrimitive("true"),
                "rank" to JsonPrimitive("urgent"),
            )
        for ((field, value) in bad) {
            val error =
                assertThrows(
                    MalformedException::class.java,
                    { Submission.parse(JsonObject(whole + (field to value)).toString()) },
                    "$field=$value",
                )
            assertEquals(field, error.message?.substringBefore(':'))
        }
        assertThrows(MalformedException::class.java) { Submission.parse(whole.toString().replace("\"vcpus\":2.0", "\"vcpus\":1e999")) }
    }

    private fun withPredecessors(value: String): JobSpec {
        val whole = WireJson.encodeToJsonElement(JobSpec.serializer(), SampleJobs.spec("req-000009")) as JsonObject
        return Submission.parse(JsonObject(whole + ("waits_on" to WireJson.parseToJsonElement(value))).toString())
    }

    @Test
    fun `predecessors are deduplicated, and an empty list or null means none`() {
        assertEquals(listOf("req-1", "req-000002"), withPredecessors("""["req-1","req-000002","req-1"]""").predecessors)
        assertEquals(null, withPredecessors("[]").predecessors)
        assertEquals(null, withPredecessors("null").predecessors)
        for (bad in listOf("\"req-1\"", "[7]", "[null]", "[\"job-1\"]", "[\"req-\"]", "[\"req-000009\"]", "{}", "[[]]", "true")) {
            val error = assertThrows(MalformedException::class.java, { withPredecessors(bad) }, bad)
            assertEquals("waits_on" to "req-000009", error.message?.substringBefore(':') to error.id, bad)
        }
    }

    @Test
    fun `text that is not a JSON object is rejected`(): Unit =
        runBlocking {
            checkAll(config, Arb.string(0..60)) { text ->
                assertThrows(MalformedException::class.java) { Submission.parse(text) }
            }
            listOf("[]", "null", "7", "{", "{}", "\"x\"").forEach {
                assertThrows(MalformedException::class.java) { Submission.parse(it) }
            }
        }
}
