package mintpick.net

import mintpick.core.MILLI
import org.apache.hc.core5.http.HttpException
import org.slf4j.LoggerFactory
import java.io.IOException
import java.util.concurrent.RejectedExecutionException

/**
 * Limits of an [HttpCaller].
 *
 * @param agentCalls calls to agents in progress
 * @param suspectAgentCalls calls in progress to agents that have not answered recently
 * @param keptConnections connections to all targets that are kept for further calls
 * @param maxAnswerBytes longest body of an answer in bytes; a longer one is not kept
 */
class CallLimits(
    val agentCalls: Int,
    val suspectAgentCalls: Int,
    val keptConnections: Int,
    val maxAnswerBytes: Int,
)

/**
 * Makes outgoing calls, with a bounded thread pool for each kind of target. Connections are reused. A call is never sent twice.
 * Thread-safe.
 *
 * @param onOutcome receives the outcome of each accepted call once, on a pool thread; it may block
 * @param open opens a connection to an address within a number of milliseconds
 */
class HttpCaller internal constructor(
    private val limits: CallLimits,
    private val onOutcome: (id: Long, outcome: Outcome) -> Unit,
    private val open: (address: String, timeoutMs: Int) -> PooledConnection,
) {
    constructor(limits: CallLimits, onOutcome: (id: Long, outcome: Outcome) -> Unit) : this(limits, onOutcome, PooledConnection::open)

    private val state = GrowingPool("state", STATE_THREADS)
    private val urgentState = GrowingPool("lease", 1)
    private val cloud = GrowingPool("cloud", CLOUD_THREADS)
    private val agents = GrowingPool("worker", limits.agentCalls)
    private val suspectAgents = GrowingPool("suspect", limits.suspectAgentCalls)
    private val peers = GrowingPool("peer", PEER_THREADS)

    private val idle = IdleConnections(limits.keptConnections)

    /**
     * Queues [call] and returns without waiting for anything. Its outcome is passed on together with [id]. Returns false if the queue is
     * full or [stop] was called: the call is not sent, and no outcome is passed on.
     */
    fun start(
        id: Long,
        call: Call,
    ): Boolean =
        try {
            poolOf(call.target).execute { performAndComplete(id, call) }
            true
        } catch (e: RejectedExecutionException) {
            LOG.debug("call dropped target={} path={} reason={}", call.target, call.path, e.message)
            false
        }

    /** Returns a text for the log with the number of calls in progress or queued, and of connections kept for reuse. */
    fun connectionReport(): String = "calls=${pools().sumOf { it.unfinishedTasks }} kept=${idle.size}"

    private fun pools() = listOf(state, urgentState, cloud, agents, suspectAgents, peers)

    /** Stops the threads and closes idle connections. Queued calls are dropped without an outcome. Must be called only once. */
    internal fun stop() {
        pools().forEach { it.shutdownNow() }
        idle.close()
    }

    private fun poolOf(target: Target): GrowingPool =
        when (target) {
            is Target.State -> if (target.urgent) urgentState else state
            is Target.Cloud -> cloud
            is Target.Worker -> if (target.suspect) suspectAgents else agents
            is Target.Peer -> peers
        }

    private fun performAndComplete(
        id: Long,
        call: Call,
    ) {
        try {
            onOutcome(id, perform(call))
        } catch (e: InterruptedException) {
            // The pool was stopped, so the outcome is no longer needed.
            LOG.debug("outcome dropped path={}", call.path, e)
            Thread.currentThread().interrupt()
        }
    }

    private fun perform(call: Call): Outcome {
        var connection: PooledConnection? = null
        try {
            val used = idle.acquire(call.target.address) ?: connect(call)
            connection = used
            val answer = used.exchange(call, limits.maxAnswerBytes)
            if (used.isReusable) idle.release(call.target.address, used) else used.close()
            return answer
        } catch (e: IOException) {
            logFailure(call, e)
        } catch (e: HttpException) {
            logFailure(call, e)
        } catch (e: RuntimeException) {
            // Still reported as an outcome, because resources reserved for a call are released only when its outcome arrives.
            LOG.warn("call failed target={} path={}", call.target, call.path, e)
        } catch (e: OutOfMemoryError) {
            // An answer can be larger than the free memory. Without an outcome, its receiver would wait for it for ever.
            LOG.error("answer too large for the memory target={} path={}", call.target, call.path, e)
        }
        connection?.close()
        // Once a connection exists, the request may have been sent, whatever failed afterwards.
        return if (connection != null) Outcome.Unanswered else Outcome.NotSent
    }

    private fun connect(call: Call): PooledConnection {
        val timeoutMs = minOf(call.timeoutUs / MILLI, CONNECT_TIMEOUT_MS)
        return open(call.target.address, timeoutMs.toInt())
    }

    /** At debug level only: a dead machine or a network partition fails hundreds of calls, and the engine receives each outcome. */
    private fun logFailure(
        call: Call,
        cause: Exception,
    ) = LOG.debug("call failed target={} path={} reason={}", call.target, call.path, cause.toString())

    companion object {
        private val LOG = LoggerFactory.getLogger(HttpCaller::class.java)

        /** Enough for eight transactions, half of which time out, beside a watch, a lease renewal and a reload of missed changes. */
        private const val STATE_THREADS = 12
        private const val CLOUD_THREADS = 3
        private const val PEER_THREADS = 2
        private const val CONNECT_TIMEOUT_MS = 1000L
    }
}
