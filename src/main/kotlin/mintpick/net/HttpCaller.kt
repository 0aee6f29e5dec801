package mintpick.net

import mintpick.core.MILLI
import org.apache.hc.core5.http.HttpException
import org.slf4j.LoggerFactory
import java.io.IOException
import java.util.concurrent.LinkedBlockingQueue
import java.util.concurrent.RejectedExecutionException
import java.util.concurrent.ThreadPoolExecutor
import java.util.concurrent.TimeUnit
import java.util.concurrent.atomic.AtomicInteger

/**
 * Makes outgoing calls on threads per kind of target, as many as it takes up to a bound. Connections are kept and reused;
 * a call is never sent twice.
 */
class HttpCaller(
    private val done: (id: Long, outcome: Outcome) -> Unit,
) {
    private val state = GrowingPool("state", STATE_THREADS)
    private val urgent = GrowingPool("lease", 1)
    private val cloud = GrowingPool("cloud", CLOUD_THREADS)
    private val workers = GrowingPool("worker", WORKER_THREADS)
    private val suspects = GrowingPool("suspect", SUSPECT_THREADS)
    private val peers = GrowingPool("peer", PEER_THREADS)

    private val idle = IdleLines()

    fun start(
        id: Long,
        call: Call,
    ) {
        val pool =
            when (val target = call.target) {
                is Target.State -> if (target.urgent) urgent else state
                is Target.Cloud -> cloud
                is Target.Worker -> if (target.suspect) suspects else workers
                is Target.Peer -> peers
            }
        try {
            pool.execute { done(id, perform(call)) }
        } catch (e: RejectedExecutionException) {
            LOG.debug("call dropped path={} reason={}", call.path, e.message)
            done(id, Outcome.NotSent)
        }
    }

    private fun perform(call: Call): Outcome {
        val address = call.target.address
        var line: PooledConnection? = null
        var sent = false
        try {
            val open = idle.take(address) ?: PooledConnection.open(address, minOf(call.timeoutUs / MILLI, CONNECT_TIMEOUT_MS).toInt())
            line = open
            sent = true
            val answer = open.exchange(call)
            if (open.isKept) idle.give(address, open) else open.close()
            return answer
        } catch (e: IOException) {
            LOG.debug("call failed target={} path={} reason={}", call.target, call.path, e.toString())
        } catch (e: HttpException) {
            LOG.debug("call failed target={} path={} reason={}", call.target, call.path, e.toString())
        } catch (e: RuntimeException) {
            // Whoever waits for the outcome must hear of it: what is reserved for a call is held until then.
            LOG.warn("call failed target={} path={}", call.target, call.path, e)
        }
        line?.close()
        return if (sent) Outcome.Unanswered else Outcome.NotSent
    }

    /**
     * Grows while all its threads are busy, and only then lets calls wait: a dead machine holds a thread for a second.
     * The JDK's own pool lets calls wait first.
     */
    private class GrowingPool(
        name: String,
        threads: Int,
        private val waiting: WaitingCalls = WaitingCalls(),
    ) : ThreadPoolExecutor(minOf(CORE_THREADS, threads), threads, IDLE_S, TimeUnit.SECONDS, waiting, { task ->
            Thread(null, task, name, STACK_BYTES).apply { isDaemon = true }
        }) {
        private val open = AtomicInteger()

        init {
            waiting.mayGrow = { open.get() > poolSize && poolSize < maximumPoolSize }
            setRejectedExecutionHandler { task, _ ->
                if (!waiting.append(task)) {
                    open.decrementAndGet()
                    throw RejectedExecutionException("$name queue full")
                }
            }
        }

        override fun execute(task: Runnable) {
            open.incrementAndGet()
            super.execute(task)
        }

        override fun afterExecute(
            task: Runnable,
            thrown: Throwable?,
        ) {
            open.decrementAndGet()
        }
    }

    private class WaitingCalls : LinkedBlockingQueue<Runnable>(QUEUE) {
        var mayGrow: () -> Boolean = { false }

        override fun offer(task: Runnable): Boolean = if (mayGrow()) false else super.offer(task)

        fun append(task: Runnable): Boolean = super.offer(task)
    }

    companion object {
        private val LOG = LoggerFactory.getLogger(HttpCaller::class.java)

        /** Eight transactions, half of them without an answer, beside a watch, a lease's renewal and a catch-up. */
        private const val STATE_THREADS = 12
        private const val CLOUD_THREADS = 3
        private const val CORE_THREADS = 2
        private const val WORKER_THREADS = 48

        /** With an eighth of a fleet dead at once, each call to one of them takes its whole time-out. */
        private const val SUSPECT_THREADS = 32
        private const val PEER_THREADS = 2
        private const val QUEUE = 512
        private const val IDLE_S = 20L
        private const val STACK_BYTES = 256L * 1024
        private const val CONNECT_TIMEOUT_MS = 1000L
    }
}
