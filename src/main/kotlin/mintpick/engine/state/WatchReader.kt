package mintpick.engine.state

import mintpick.core.MILLI
import mintpick.core.Micros
import mintpick.core.SECOND
import mintpick.engine.runtime.ReadKind
import mintpick.store.StateResult
import mintpick.wire.EventPage
import org.slf4j.LoggerFactory

/**
 * Keeps the local cache up to date with the state store by a long-poll watch and by catch-ups. A catch-up is a watch request
 * that is answered immediately; all callers that wait for the next catch-up share one request. Event-loop thread only.
 */
class WatchReader(
    private val connection: StateStoreConnection,
    private val session: StateStoreSession,
) {
    private val context = connection.context
    private val protocol = connection.protocol
    private val limits = connection.limits
    private val statistics = connection.statistics
    private var isWatchOpen = false
    private var nextWatchUs: Micros = 0
    private var catchUpInFlight = false
    private var nextCatchUpUs: Micros = 0
    private var nextRefreshUs: Micros = 0
    private var catchUpWaiters = ArrayList<(Boolean) -> Unit>()

    /**
     * All changes committed before this time are in the cache: it is the send time of the newest answered catch-up or watch.
     * Null before the first one, and after the cache was reset. Lease renewals do not advance it, since their answers contain
     * no records.
     */
    var cacheAsOfUs: Micros? = null
        private set

    /** Opens the watch and sends the catch-up if they are due. */
    fun tick() {
        if (isWatchDue() && limits.tryAcquireRequest()) openWatch()
        refresh()
        startCatchUp()
    }

    /** Calls [onResult] with true once all changes committed before this call are in the cache, or with false if that is impossible now. */
    fun afterCatchUp(onResult: (Boolean) -> Unit) {
        if (!session.isServing || !statistics.isReachable) {
            onResult(false)
            return
        }
        catchUpWaiters += onResult
    }

    /**
     * Applies the events of an answered watch or catch-up to the cache. Returns false if the request did not succeed. If the
     * state store's log no longer reaches back to the requested revision, the cache is reset and all records are loaded again.
     */
    fun apply(result: StateResult<EventPage>): Boolean {
        if (result is StateResult.Gone) resetCache()
        if (result !is StateResult.Ok) return false
        for (event in result.value.events) {
            val key = event.put ?: event.delete ?: continue
            val value = if (event.put != null) event.value else null
            context.cache.apply(key, value, event.version)
        }
        context.cache.advanceTo(result.value.revision)
        return true
    }

    private fun resetCache() {
        LOG.warn("watch compacted, reloading revision={}", context.cache.revision)
        context.resetCache()
        cacheAsOfUs = null
        nextRefreshUs = 0
        session.onCacheReset()
        isWatchOpen = false
    }

    private fun isWatchDue() = !session.isLoading && !isWatchOpen && context.now >= nextWatchUs

    private fun openWatch() {
        isWatchOpen = true
        val cacheAtSend = context.cache
        val sent = context.now
        context.call(protocol.watch(cacheAtSend.revision, WATCH_TIMEOUT)) { outcome ->
            // If the cache was reset in the meantime, this watch no longer counts as the open one.
            if (cacheAtSend === context.cache) onWatchAnswer(sent, protocol.readWatch(outcome))
        }
    }

    private fun onWatchAnswer(
        sentUs: Micros,
        result: StateResult<EventPage>,
    ) {
        isWatchOpen = false
        context.metrics.recordRead(ReadKind.WATCH, context.now - sentUs, result is StateResult.Ok)
        if (result is StateResult.Ok) statistics.recordWatchServed() else statistics.recordResult(sentUs, result)
        nextWatchUs = context.now + if (result is StateResult.Ok) WATCH_INTERVAL else StateStoreConnection.RETRY_DELAY
        if (apply(result)) advanceCacheAsOf(sentUs)
    }

    private fun advanceCacheAsOf(sentUs: Micros) {
        cacheAsOfUs = maxOf(cacheAsOfUs ?: 0, sentUs)
    }

    /** Keeps [cacheAsOfUs] recent while no caller requests a catch-up: it limits how long agents are answered during an outage. */
    private fun refresh() {
        if (session.isLoading || context.now < nextRefreshUs) return
        nextRefreshUs = context.now + REFRESH_INTERVAL
        val isRecent = context.now - (cacheAsOfUs ?: 0) < REFRESH_INTERVAL / 2
        if (!isRecent) catchUpWaiters += { }
    }

    private fun startCatchUp() {
        if (catchUpInFlight || catchUpWaiters.isEmpty() || context.now < nextCatchUpUs) return
        if (session.isLoading) {
            takeWaiters().forEach { it(false) }
            return
        }
        if (limits.tryAcquireRequest()) sendCatchUp(takeWaiters())
    }

    /** Removes and returns the callers that wait for the next catch-up. Later callers wait for the following one. */
    private fun takeWaiters(): List<(Boolean) -> Unit> {
        val waiters = catchUpWaiters
        catchUpWaiters = ArrayList()
        return waiters
    }

    private fun sendCatchUp(waiters: List<(Boolean) -> Unit>) {
        catchUpInFlight = true
        val sent = context.now
        val cacheAtSend = context.cache
        nextCatchUpUs = sent + CATCH_UP_INTERVAL
        context.call(protocol.watch(cacheAtSend.revision, 0)) { outcome ->
            catchUpInFlight = false
            val result = protocol.readWatch(outcome)
            statistics.recordResult(sent, result)
            context.metrics.recordRead(ReadKind.CATCH_UP, context.now - sent, result is StateResult.Ok)
            // An answer to a request from before a reset does not apply to the new cache.
            val isCaughtUp = cacheAtSend === context.cache && apply(result)
            if (isCaughtUp) advanceCacheAsOf(sent)
            waiters.forEach { it(isCaughtUp) }
        }
    }

    private companion object {
        val LOG = LoggerFactory.getLogger(WatchReader::class.java)

        /** How long the state store keeps a watch open while nothing changes. */
        const val WATCH_TIMEOUT: Micros = 10 * SECOND

        /** Time from the answer of a watch to the next watch. */
        const val WATCH_INTERVAL: Micros = 120 * MILLI

        /** Minimum time from one catch-up to the next. */
        const val CATCH_UP_INTERVAL: Micros = 150 * MILLI

        /** How often a catch-up is requested if the cache is not recent. */
        const val REFRESH_INTERVAL: Micros = SECOND
    }
}
