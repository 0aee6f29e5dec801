package mintpick.engine.state

import mintpick.core.MILLI
import mintpick.core.Micros
import mintpick.core.SECOND
import mintpick.engine.runtime.EngineContext
import mintpick.store.StateResult
import org.HdrHistogram.Histogram

/**
 * How requests to the state service ended: when it last served one, whether it is reachable, and how long answers took.
 * Times are microseconds of the steady clock. Event-loop thread only.
 */
class RequestStatistics(
    private val context: EngineContext,
) {
    /** When the newest served request was sent; null before the first one. */
    var lastServedUs: Micros? = null
        private set
    private var lastFailedUs: Micros = 0

    /** Latency of answered requests other than watches, in microseconds. */
    private val latency = Histogram(MAX_LATENCY, LATENCY_DIGITS)

    /** False from the first failure on until a request is served again; one served within the grace period keeps it true. */
    val isReachable: Boolean get() = (lastServedUs ?: -1) >= lastFailedUs || context.now - (lastServedUs ?: 0) < FAILURE_GRACE

    /** Latency in milliseconds by percentile, for the status page. */
    fun latencyMs(): Map<String, Double> = PERCENTILES.associate { "p${it.toInt()}" to latency.getValueAtPercentile(it).toDouble() / MILLI }

    /** A request that was sent at [sentUs] has been answered. */
    fun recordServed(sentUs: Micros) {
        latency.recordValue((context.now - sentUs).coerceIn(1, MAX_LATENCY))
        lastServedUs = maxOf(lastServedUs ?: 0, sentUs)
    }

    /** A watch has been answered: it stays open through an outage, so only its answer says that the service serves. */
    fun recordWatchServed() {
        lastServedUs = maxOf(lastServedUs ?: 0, context.now - MILLI)
    }

    /** A request has failed: it was not sent, not answered, or answered with an error. */
    fun recordFailed() {
        lastFailedUs = context.now
    }

    /** Records how a request that was sent at [sentUs] ended. A refusal counts as served: the service is there. */
    fun recordResult(
        sentUs: Micros,
        result: StateResult<*>,
    ) = if (result is StateResult.Failed) recordFailed() else recordServed(sentUs)

    private companion object {
        val PERCENTILES = listOf(50.0, 90.0, 99.0, 100.0)
        const val MAX_LATENCY: Micros = 60 * SECOND

        /** Significant decimal digits of a recorded latency. */
        const val LATENCY_DIGITS = 2

        /** A failure this soon after a served request does not make the service unreachable. */
        const val FAILURE_GRACE: Micros = 300 * MILLI
    }
}
