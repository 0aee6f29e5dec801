package mintpick.engine.state

import mintpick.engine.cache.LocalCache
import mintpick.store.StateResult
import mintpick.wire.ItemPage
import org.slf4j.LoggerFactory

/** Reads all records into the local cache, page by page, and closes the read with a catch-up. Event-loop thread only. */
class SnapshotLoader(
    private val connection: StateStoreConnection,
    private val session: StateStoreSession,
    private val watch: WatchReader,
) {
    /** How far the reading of the records into [cache] has come: a request that fails is sent again, those before it are not. */
    private class Progress(
        val cache: LocalCache,
    ) {
        var lastKey: String? = null
        var firstRevision: Long? = null
        var hasAllPages = false
    }

    private val context = connection.context
    private val protocol = connection.protocol
    private var latest = Progress(context.cache)

    /** The progress with the present cache: one that has been reset is filled from the first page on. */
    private val progress: Progress
        get() {
            if (latest.cache !== context.cache) latest = Progress(context.cache)
            return latest
        }

    /** Sends the next request of the load; further ones follow each answer. A failure is retried by a later call. */
    fun load() = if (progress.hasAllPages) catchUp() else loadPage()

    private fun loadPage() {
        session.setupRequestSent()
        connection.request(protocol.page(progress.lastKey, PAGE_ITEMS), protocol::readPage) { result ->
            session.setupRequestEnded()
            if (result is StateResult.Ok) onPage(result.value) else session.delaySetupRequest(StateStoreConnection.RETRY_DELAY)
        }
    }

    private fun onPage(page: ItemPage) {
        page.items.forEach { context.cache.apply(it.key, it.value, it.version) }
        val progress = progress
        val firstRevision = progress.firstRevision ?: page.revision
        progress.firstRevision = firstRevision
        if (page.more && page.items.isNotEmpty()) {
            progress.lastKey = page.items.last().key
            load()
            return
        }
        // Pages are not one moment: the watch starts at the first page's revision and repeats what changed meanwhile.
        context.cache.advanceTo(firstRevision)
        progress.hasAllPages = true
        val isSinglePage = progress.lastKey == null
        if (isSinglePage) finish() else load()
    }

    /** With several pages nobody serves before that: a guard from a later page would hold although changes from before it are not known. */
    private fun catchUp() {
        session.setupRequestSent()
        connection.request(protocol.watch(context.cache.revision, 0), protocol::readWatch) { result ->
            session.setupRequestEnded()
            if (watch.apply(result)) finish() else session.delaySetupRequest(StateStoreConnection.RETRY_DELAY)
        }
    }

    private fun finish() {
        session.loaded()
        LOG.info("loaded revision={} jobs={}", context.cache.revision, context.cache.jobs.size)
    }

    private companion object {
        val LOG = LoggerFactory.getLogger(SnapshotLoader::class.java)

        /** Most records of one page. */
        const val PAGE_ITEMS = 500
    }
}
