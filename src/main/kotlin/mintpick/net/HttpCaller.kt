package mintpick.net

import mintpick.core.MILLI
import org.slf4j.LoggerFactory
import java.io.ByteArrayOutputStream
import java.io.IOException
import java.io.InputStream
import java.net.HttpURLConnection
import java.net.URL
import java.util.concurrent.LinkedBlockingQueue
import java.util.concurrent.RejectedExecutionException
import java.util.concurrent.ThreadPoolExecutor
import java.util.concurrent.TimeUnit
import java.util.concurrent.atomic.AtomicInteger

/**
 * Makes outgoing calls on threads per kind of target, as many as it takes up to a bound. The JDK's own client is used:
 * the newer one costs more to start than a third of a core allows.
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
        var sent = false
        try {
            val connection = URL("http://${call.target.address}${call.path}").openConnection() as HttpURLConnection
            val timeoutMs = (call.timeoutUs / MILLI).toInt()
            connection.connectTimeout = minOf(timeoutMs, CONNECT_TIMEOUT_MS)
            connection.readTimeout = timeoutMs
            connection.requestMethod = call.method
            connection.useCaches = false
            connection.instanceFollowRedirects = false
            if (call.body != null) {
                connection.doOutput = true
                connection.setRequestProperty("Content-Type", call.contentType)
                // A fixed length keeps the client from quietly sending a request a second time.
                connection.setFixedLengthStreamingMode(call.body.size)
            }
            connection.connect()
            sent = true
            call.body?.let { body -> connection.outputStream.use { it.write(body) } }
            val status = connection.responseCode
            val stream = if (status < FIRST_ERROR) connection.inputStream else connection.errorStream
            return Outcome.Answered(status, stream?.use(::readAll) ?: ByteArray(0))
        } catch (e: IOException) {
            LOG.debug("call failed target={} path={} reason={}", call.target, call.path, e.toString())
            return if (sent) Outcome.Unanswered else Outcome.NotSent
        }
    }

    private fun readAll(stream: InputStream): ByteArray {
        val out = ByteArrayOutputStream()
        stream.copyTo(out)
        return out.toByteArray()
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
        private const val STATE_THREADS = 6
        private const val CLOUD_THREADS = 3
        private const val CORE_THREADS = 2
        private const val WORKER_THREADS = 48

        /** With an eighth of a fleet dead at once, each call to one of them takes its whole time-out. */
        private const val SUSPECT_THREADS = 32
        private const val PEER_THREADS = 2
        private const val QUEUE = 512
        private const val IDLE_S = 20L
        private const val STACK_BYTES = 256L * 1024
        private const val CONNECT_TIMEOUT_MS = 1000
        private const val FIRST_ERROR = 400
    }
}
