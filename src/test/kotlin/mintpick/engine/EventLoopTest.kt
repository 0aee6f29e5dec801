package mintpick.engine

import mintpick.config.Operators
import mintpick.core.JobId
import mintpick.core.SECOND
import mintpick.engine.runtime.Event
import mintpick.net.Answer
import mintpick.net.Call
import mintpick.testing.SampleJobs
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import java.util.SplittableRandom
import java.util.concurrent.LinkedBlockingQueue
import java.util.concurrent.TimeUnit
import java.util.concurrent.atomic.AtomicInteger
import java.util.concurrent.atomic.AtomicLong

/** The event loop with a simulated monotonic clock that advances by [jumpUs] each time it is read. */
class EventLoopTest {
    private val clockUs = AtomicLong(SECOND)
    private val jumpUs = AtomicLong(0)
    private val calls = AtomicInteger()
    private val answers = LinkedBlockingQueue<Answer>()
    private val engine = Engine(SampleJobs.settings(), Operators(), SplittableRandom(1))
    private val eventLoop =
        EventLoop(engine, { _: Long, _: Call -> calls.incrementAndGet() }, { clockUs.getAndAdd(jumpUs.get()) }, { clockUs.get() })

    private fun poll(): Answer {
        val thread = Thread { runCatching { eventLoop.run() } }
        eventLoop.put(Event.Poll(JobId("req-000001")) { answers.put(it) })
        thread.start()
        try {
            return checkNotNull(answers.poll(10, TimeUnit.SECONDS)) { "no answer" }
        } finally {
            thread.interrupt()
            thread.join()
        }
    }

    @Test
    fun `calls are started while the step is recent by the clock`() {
        assertEquals(503, poll().status)
        assertTrue(calls.get() > 0, "the records are requested")
    }

    @Test
    fun `after a pause during a step no call is started and requests are answered with a retry delay`() {
        jumpUs.set(5 * SECOND)
        val answer = poll()
        assertEquals(503, answer.status)
        assertEquals(1, answer.retryAfterS)
        assertEquals(0, calls.get())
    }
}
