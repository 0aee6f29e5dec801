package mintpick.engine.state

import mintpick.core.MILLI
import mintpick.core.Micros
import mintpick.core.SECOND
import mintpick.store.Keys
import mintpick.store.StateResult
import mintpick.wire.EventPage
import org.slf4j.LoggerFactory

/**
 * Keeps the local cache up to date with the state service: by a long-poll watch, and by catch-ups, which are answered at
 * once and which all callers share that wait for one. Event-loop thread only.
 */
class WatchReader(
    private val connection: StateStoreConnection,
    private val session: StateStoreSession,
) {
    private val context = connection.context
    private val protocol = connection.protocol
    private val limits = connection.limits
    private val statistics = connection.statistics
    private var watchOpen = false
    private var nextWatchUs: Micros = 0
    private var catchUpInFlight = false
    private var nextCatchUpUs: Micros = 0
    private var nextRefreshUs: Micros = 0
    private var catchUpWaiters = ArrayList<(Boolean) -> Unit>()

    /**
     * Everything that was committed before this time is in the cache: when the newest answered catch-up or watch was sent.
     * Null before the first one, and after the cache was reset. Lease renewals do not move it: they say nothing of the
     * records.
     */
    var cacheAsOfUs: Micros? = null
        private set

    /** Opens the watch and sends the catch-up, each if it is due. */
    fun tick() {
        if (isWatchDue() && limits.tryAcquireRequest()) openWatch()
        refresh()
        startCatchUp()
    }

    /** Runs [onResult] with true once everything committed before this call is in the cache; with false if that can't be had now. */
    fun afterCatchUp(onResult: (Boolean) -> Unit) {
        if (!session.isServing || !statistics.isReachable) {
            onResult(false)
            return
        }
        catchUpWaiters += onResult
    }

    /**
     * Brings the events of an answered watch or catch-up into the cache; false if there are none to bring. A watch that the
     * service's log no longer reaches back to empties the cache, and the records are read anew.
     */
    fun apply(result: StateResult<EventPage>): Boolean {
        if (result is StateResult.Gone) resetCache()
        if (result !is StateResult.Ok) return false
        // In whichever order the events come, a job has to be known before its chunks.
        for (event in result.value.events.sortedBy { Keys.isChunk((it.put ?: it.delete).orEmpty()) }) {
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
        session.reload()
        watchOpen = false
    }

    private fun isWatchDue() = !session.isLoading && !watchOpen && context.now >= nextWatchUs

    private fun openWatch() {
        watchOpen = true
        val cacheAtSend = context.cache
        val sent = context.now
        context.call(protocol.watch(cacheAtSend.revision, WATCH_TIMEOUT)) { outcome ->
            // The watch of a cache that has been reset meanwhile is not counted as open any more.
            if (cacheAtSend === context.cache) onWatchAnswer(sent, protocol.readWatch(outcome))
        }
    }

    private fun onWatchAnswer(
        sentUs: Micros,
        result: StateResult<EventPage>,
    ) {
        watchOpen = false
        if (result is StateResult.Ok) statistics.recordWatchServed() else statistics.recordResult(sentUs, result)
        nextWatchUs = context.now + if (result is StateResult.Ok) WATCH_INTERVAL else StateStoreConnection.RETRY_DELAY
        if (apply(result)) advanceCacheAsOf(sentUs)
    }

    private fun advanceCacheAsOf(sentUs: Micros) {
        cacheAsOfUs = maxOf(cacheAsOfUs ?: 0, sentUs)
    }

    /** Keeps [cacheAsOfUs] recent while nobody asks: how long workers may be answered in an outage depends on it. */
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

    /** Those who wait for the next catch-up; who comes after that waits for the one after it. */
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
            // From before the records were read anew it says nothing of the new cache.
            val isCaughtUp = cacheAtSend === context.cache && apply(result)
            if (isCaughtUp) advanceCacheAsOf(sent)
            waiters.forEach { it(isCaughtUp) }
        }
    }

    private companion object {
        val LOG = LoggerFactory.getLogger(WatchReader::class.java)

        /** How long the service holds a watch open while nothing changes. */
        const val WATCH_TIMEOUT: Micros = 10 * SECOND

        /** From the answer of a watch to the next one. */
        const val WATCH_INTERVAL: Micros = 120 * MILLI

        /** From one catch-up to the next one, at least. */
        const val CATCH_UP_INTERVAL: Micros = 150 * MILLI

        /** How often a catch-up is added if the records are not recent. */
        const val REFRESH_INTERVAL: Micros = SECOND
    }
}
