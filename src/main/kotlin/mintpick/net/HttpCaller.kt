package mintpick.net

import mintpick.core.MILLI
import org.apache.hc.core5.http.HttpException
import org.slf4j.LoggerFactory
import java.io.IOException
import java.util.concurrent.RejectedExecutionException

/**
 * Makes outgoing calls on threads per kind of target, as many as it takes up to a bound. Connections are kept and reused;
 * a call is never sent twice. Any thread may start calls.
 *
 * @param onOutcome takes each call's outcome, once; on one of the pool's threads, or on the caller's own if the call was rejected
 */
class HttpCaller(
    private val onOutcome: (id: Long, outcome: Outcome) -> Unit,
) {
    private val state = GrowingPool("state", STATE_THREADS)
    private val urgentState = GrowingPool("lease", 1)
    private val cloud = GrowingPool("cloud", CLOUD_THREADS)
    private val agents = GrowingPool("worker", AGENT_THREADS)
    private val suspectAgents = GrowingPool("suspect", SUSPECT_AGENT_THREADS)
    private val peers = GrowingPool("peer", PEER_THREADS)

    private val idle = IdleConnections()

    /**
     * Makes [call] and passes its outcome on with [id]; never waits for the network. If too many calls wait already, the
     * outcome is [Outcome.NotSent], before this returns.
     */
    fun start(
        id: Long,
        call: Call,
    ) {
        try {
            poolOf(call.target).execute { performAndComplete(id, call) }
        } catch (e: RejectedExecutionException) {
            LOG.debug("call dropped target={} path={} reason={}", call.target, call.path, e.message)
            onOutcome(id, Outcome.NotSent)
        }
    }

    /** Ends the threads and closes idle connections. Calls that have not begun are dropped without an outcome. Any thread, once. */
    internal fun stop() {
        listOf(state, urgentState, cloud, agents, suspectAgents, peers).forEach { it.shutdownNow() }
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
            // The pool was stopped: nobody waits for the outcome any more.
            LOG.debug("outcome dropped path={}", call.path, e)
            Thread.currentThread().interrupt()
        }
    }

    private fun perform(call: Call): Outcome {
        var connection: PooledConnection? = null
        try {
            val open = idle.acquire(call.target.address) ?: connect(call)
            connection = open
            val answer = open.exchange(call)
            if (open.isReusable) idle.release(call.target.address, open) else open.close()
            return answer
        } catch (e: IOException) {
            logFailure(call, e)
        } catch (e: HttpException) {
            logFailure(call, e)
        } catch (e: RuntimeException) {
            // Whoever waits for the outcome must hear of it: what is reserved for a call is held until then.
            LOG.warn("call failed target={} path={}", call.target, call.path, e)
        }
        connection?.close()
        // With a connection the request may have left, whatever failed after that.
        return if (connection != null) Outcome.Unanswered else Outcome.NotSent
    }

    private fun connect(call: Call): PooledConnection {
        val timeoutMs = minOf(call.timeoutUs / MILLI, CONNECT_TIMEOUT_MS)
        return PooledConnection.open(call.target.address, timeoutMs.toInt())
    }

    /** At debug level only: a dead machine or a network partition fails calls by the hundred, and the engine hears of each. */
    private fun logFailure(
        call: Call,
        cause: Exception,
    ) = LOG.debug("call failed target={} path={} reason={}", call.target, call.path, cause.toString())

    companion object {
        private val LOG = LoggerFactory.getLogger(HttpCaller::class.java)

        /** Eight transactions, half of them without an answer, beside a watch, a lease's renewal and a catch-up. */
        private const val STATE_THREADS = 12
        private const val CLOUD_THREADS = 3
        private const val AGENT_THREADS = 48

        /** With an eighth of a fleet dead at once, each call to one of them takes its whole time-out. */
        private const val SUSPECT_AGENT_THREADS = 32
        private const val PEER_THREADS = 2
        private const val CONNECT_TIMEOUT_MS = 1000L
    }
}
