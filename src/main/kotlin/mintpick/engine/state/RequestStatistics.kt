package mintpick.engine.state

import mintpick.core.MILLI
import mintpick.core.Micros
import mintpick.core.SECOND
import mintpick.engine.runtime.EngineContext
import mintpick.store.StateResult
import org.HdrHistogram.Histogram

/**
 * Outcomes of requests to the state store: when it last served one, whether it is reachable, and the latency of its answers.
 * Times are microseconds of the monotonic clock. Event-loop thread only.
 */
class RequestStatistics(
    private val context: EngineContext,
) {
    /** Send time of the newest served request; null before the first one. */
    var lastServedUs: Micros? = null
        private set
    private var lastFailedUs: Micros = 0

    /** Latency of answered requests other than watches, in microseconds. */
    private val latency = Histogram(MAX_LATENCY, LATENCY_DIGITS)

    /**
     * False from the first failure until a request is served again. It stays true while the newest served request was sent
     * within the grace period.
     */
    val isReachable: Boolean get() = (lastServedUs ?: -1) >= lastFailedUs || context.now - (lastServedUs ?: 0) < FAILURE_GRACE

    /** Latency in milliseconds by percentile, for the status page. */
    fun latencyMs(): Map<String, Double> = PERCENTILES.associate { "p${it.toInt()}" to latency.getValueAtPercentile(it).toDouble() / MILLI }

    /** Records that a request sent at [sentUs] was answered. */
    fun recordServed(sentUs: Micros) {
        latency.recordValue((context.now - sentUs).coerceIn(1, MAX_LATENCY))
        lastServedUs = maxOf(lastServedUs ?: 0, sentUs)
    }

    /**
     * Records that a watch was answered. A watch stays open during an outage, so only the time of its answer shows that the
     * state store is available.
     */
    fun recordWatchServed() {
        lastServedUs = maxOf(lastServedUs ?: 0, context.now - MILLI)
    }

    /** Records that a request failed: it was not sent, not answered, or answered with an error. */
    fun recordFailed() {
        lastFailedUs = context.now
    }

    /** Records the outcome of a request sent at [sentUs]. A refusal counts as served, since it shows that the store is available. */
    fun recordResult(
        sentUs: Micros,
        result: StateResult<*>,
    ) = if (result is StateResult.Failed) recordFailed() else recordServed(sentUs)

    private companion object {
        val PERCENTILES = listOf(50.0, 90.0, 99.0, 100.0)
        const val MAX_LATENCY: Micros = 60 * SECOND

        /** Significant decimal digits of a recorded latency. */
        const val LATENCY_DIGITS = 2

        /** A failure this soon after a served request does not make the state store unreachable. */
        const val FAILURE_GRACE: Micros = 300 * MILLI
    }
}
