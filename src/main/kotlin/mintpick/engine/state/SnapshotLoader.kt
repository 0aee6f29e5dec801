package mintpick.engine.state

import mintpick.core.MILLI
import mintpick.core.Micros
import mintpick.engine.cache.LocalCache
import mintpick.engine.runtime.ReadKind
import mintpick.store.StateResult
import mintpick.wire.ItemPage
import org.slf4j.LoggerFactory

/** Loads all records into the local cache page by page, and completes the load with a catch-up. Event-loop thread only. */
class SnapshotLoader(
    private val connection: StateStoreConnection,
    private val session: StateStoreSession,
    private val watchReader: WatchReader,
) {
    /** Progress of loading the records into [cache]. After a failure only the failed request is repeated. */
    private class Progress(
        val cache: LocalCache,
    ) {
        var startedUs: Micros? = null
        var lastKey: String? = null
        var firstRevision: Long? = null
        var hasAllPages = false
        var pages = 0
    }

    private val context = connection.context
    private val protocol = connection.protocol
    private var latest = Progress(context.cache)

    /** Progress of loading the current cache. After the cache was reset, the load restarts with the first page. */
    private val progress: Progress
        get() {
            if (latest.cache !== context.cache) latest = Progress(context.cache)
            return latest
        }

    /** Sends the next request of the load; each answer triggers the following one. After a failure, a later call tries again. */
    fun load() = if (progress.hasAllPages) catchUp() else loadPage()

    private fun loadPage() {
        session.onSetupRequestSent()
        val sentUs = context.now
        progress.startedUs = progress.startedUs ?: sentUs
        connection.request(protocol.page(progress.lastKey, PAGE_ITEMS), protocol::readPage) { result ->
            session.onSetupRequestEnded()
            context.metrics.recordRead(ReadKind.SNAPSHOT_PAGE, context.now - sentUs, result is StateResult.Ok)
            if (result is StateResult.Ok) onPage(result.value) else session.delaySetupRequest(StateStoreConnection.RETRY_DELAY)
        }
    }

    private fun onPage(page: ItemPage) {
        page.items.forEach { context.cache.apply(it.key, it.value, it.version) }
        val progress = progress
        progress.pages++
        val firstRevision = progress.firstRevision ?: page.revision
        progress.firstRevision = firstRevision
        if (page.hasMore && page.items.isNotEmpty()) {
            progress.lastKey = page.items.last().key
            load()
            return
        }
        // The pages have different revisions. The watch starts at that of the first page and repeats all later changes.
        context.cache.advanceTo(firstRevision)
        progress.hasAllPages = true
        val isSinglePage = progress.lastKey == null
        if (isSinglePage) finish() else load()
    }

    /**
     * Completes a load of several pages, which must not be used before: a guard on a record of a later page could hold although
     * changes committed before that record are still missing from the cache.
     */
    private fun catchUp() {
        session.onSetupRequestSent()
        connection.request(protocol.watch(context.cache.revision, 0), protocol::readWatch) { result ->
            session.onSetupRequestEnded()
            if (watchReader.apply(result)) finish() else session.delaySetupRequest(StateStoreConnection.RETRY_DELAY)
        }
    }

    private fun finish() {
        session.onLoaded()
        val tookMs = (context.now - (progress.startedUs ?: context.now)) / MILLI
        val cache = context.cache
        LOG.info("loaded revision={} jobs={} pages={} took_ms={}", cache.revision, cache.jobs.size, progress.pages, tookMs)
        if (cache.earlyChunkCount + cache.incompleteJobCount > 0) {
            LOG.warn("records incomplete chunks_without_job={} jobs_without_spec={}", cache.earlyChunkCount, cache.incompleteJobCount)
        }
    }

    private companion object {
        val LOG = LoggerFactory.getLogger(SnapshotLoader::class.java)

        /** Maximum number of records in one page. */
        const val PAGE_ITEMS = 500
    }
}
