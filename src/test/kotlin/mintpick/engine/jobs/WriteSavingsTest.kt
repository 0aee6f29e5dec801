package mintpick.engine.jobs

import io.kotest.property.Arb
import io.kotest.property.PropTestConfig
import io.kotest.property.arbitrary.double
import io.kotest.property.arbitrary.int
import io.kotest.property.checkAll
import kotlinx.coroutines.runBlocking
import mintpick.core.JobId
import mintpick.core.MILLI
import mintpick.core.Micros
import mintpick.core.SECOND
import mintpick.engine.runtime.EngineContext
import mintpick.engine.runtime.TokenBucket
import mintpick.engine.state.Write
import mintpick.engine.transactions.TransactionPart
import mintpick.testing.SampleJobs
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import java.util.SplittableRandom

/** Updates that need many writes beside a stream of small ones. */
class WriteSavingsTest {
    private val context = EngineContext(SampleJobs.settings(0), SplittableRandom(1))

    private fun advance(spanUs: Micros) = context.startStep(context.now + spanUs, 0)

    private fun part(
        job: JobId,
        writes: Int,
    ) = TransactionPart(job, emptySet(), List(writes) { Write("${job.text}/$it", null) })

    /** Guards against a large update that small ones starve, and against small ones that wait for a large one. */
    @Test
    fun `a large update is sent after a bounded time, and small updates are sent meanwhile`(): Unit =
        runBlocking {
            checkAll(PropTestConfig(seed = 31), Arb.double(1.0, 40.0), Arb.int(2..8)) { perSecond, size ->
                val bucket = TokenBucket(perSecond, maxOf(perSecond, 8.0)).apply { charge(context.now, maxOf(perSecond, 8.0)) }
                val savings = WriteSavings(context, perSecond)
                val large = part(JobId("req-000001"), size)
                val startUs = context.now
                val longestUs = (2 * size / perSecond * SECOND).toLong() + SECOND
                var smallSent = 0
                while (bucket.available(context.now) < size) {
                    savings.onDelayed(large, size)
                    val small = JobId("req-${context.now}")
                    if (bucket.available(context.now) >= 1 + savings.savedBeside(small)) {
                        bucket.take(context.now, 1.0)
                        smallSent++
                    }
                    advance(40 * MILLI)
                    assertTrue(context.now - startUs <= longestUs, "sent within $longestUs us")
                }
                val available = (context.now - startUs) * perSecond / SECOND
                assertTrue(smallSent >= (available / 2).toInt() - 1, "$smallSent small updates of $available writes")
            }
        }

    @Test
    fun `nothing is saved for an update that was sent or is not planned any more`() {
        val savings = WriteSavings(context, 10.0)
        val large = part(JobId("req-000001"), 8)
        val other = JobId("req-000002")
        savings.onDelayed(large, 8)
        advance(SECOND)
        assertEquals(5, savings.savedBeside(other))
        assertEquals(0, savings.savedBeside(other, precedence = true))
        assertEquals(0, savings.savedBeside(large.job))
        savings.onSent(large.job)
        assertEquals(0, savings.savedBeside(other))
        savings.onDelayed(large, 8)
        advance(4 * SECOND)
        assertEquals(0, savings.savedBeside(other))
    }

    /** Guards against submissions that wait for updates, and against an update that submissions hold back for ever. */
    @Test
    fun `writes are kept from parts with precedence only after the waiting update has waited for long`() {
        val savings = WriteSavings(context, 10.0)
        val large = part(JobId("req-000001"), 8)
        val submission = JobId("req-000002")
        val saved =
            List(8) {
                savings.onDelayed(large, 8)
                advance(SECOND)
                savings.savedBeside(submission, precedence = true)
            }
        assertEquals(listOf(0, 0, 0, 0, 0, 5, 8, 8), saved)
    }
}
