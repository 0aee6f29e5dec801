package mintpick.engine

import mintpick.config.Operators
import mintpick.core.JobId
import mintpick.core.Micros
import mintpick.core.SECOND
import mintpick.engine.runtime.Effect
import mintpick.engine.runtime.Event
import mintpick.net.Answer
import mintpick.net.Call
import mintpick.net.CallLimits
import mintpick.net.HttpCaller
import mintpick.net.Target
import mintpick.testing.SampleJobs
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import java.io.IOException
import java.util.SplittableRandom
import java.util.concurrent.CountDownLatch
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
        EventLoop(engine, { _: Long, _: Call -> calls.incrementAndGet() > 0 }, { clockUs.getAndAdd(jumpUs.get()) }, { clockUs.get() })

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

    /** Starts [count] calls in the first step and answers every poll; [outcomes] counts the outcomes that it has received. */
    private class CallingEngine(
        private val count: Int,
    ) : StateMachine {
        val outcomes = AtomicInteger()
        private var isStarted = false
        override val isUp = true
        override val reasonForDown: String? = null

        override fun step(
            now: Micros,
            wallClockUs: Micros,
            events: List<Event>,
        ): List<Effect> {
            outcomes.addAndGet(events.count { it is Event.CallDone })
            val answers = events.filterIsInstance<Event.Poll>().map { Effect.Send(it.reply, Answer.json(200, "{}")) }
            val call = Call(Target.Worker("127.0.0.1:1"), "GET", "/inspect", timeoutUs = SECOND)
            val starts = if (isStarted) emptyList() else (1L..count).map { Effect.Start(it, call) }
            isStarted = true
            return starts + answers
        }

        override fun takeReport() = ""
    }

    /**
     * Guards against an event loop that waits for ever for space in its own queue: the outcomes of calls that could not be queued were put
     * there by the only thread that takes them out.
     */
    @Test
    fun `a step that starts more calls than the queues hold does not stop the event loop`() {
        val engine = CallingEngine(count = 4_000)
        val isOpen = CountDownLatch(1)
        lateinit var loop: EventLoop
        val limits = CallLimits(agentCalls = 48, suspectAgentCalls = 32, keptConnections = 8, maxAnswerBytes = 100_000)
        val caller =
            HttpCaller(limits, { id, outcome -> loop.put(Event.CallDone(id, outcome)) }, { _, _ ->
                isOpen.await()
                throw IOException("refused")
            })
        loop = EventLoop(engine, caller::start, { System.nanoTime() / 1_000 }, { 0 })
        val thread = Thread { runCatching { loop.run() } }.apply { isDaemon = true }
        thread.start()
        try {
            loop.put(Event.Poll(JobId("req-000001")) { answers.put(it) })
            assertEquals(200, answers.poll(10, TimeUnit.SECONDS)?.status)
            isOpen.countDown()
            val deadlineNs = System.nanoTime() + 20_000_000_000
            while (engine.outcomes.get() < 4_000 && System.nanoTime() < deadlineNs) Thread.sleep(10)
            assertEquals(4_000, engine.outcomes.get(), "outcomes")
        } finally {
            thread.interrupt()
            caller.stop()
        }
    }
}
