package mintpick.engine.state

import kotlinx.serialization.json.JsonElement
import mintpick.core.MILLI
import mintpick.core.Micros
import mintpick.core.SECOND
import mintpick.engine.runtime.EngineContext
import mintpick.engine.runtime.TokenBucket
import mintpick.store.Keys
import mintpick.store.StateProtocol
import mintpick.store.StateResult
import mintpick.store.TransactionResult
import mintpick.wire.Change
import mintpick.wire.EventPage
import mintpick.wire.Guard
import mintpick.wire.ItemPage
import mintpick.wire.NodeRecord
import mintpick.wire.Transaction
import mintpick.wire.WireJson
import org.HdrHistogram.Histogram
import org.slf4j.LoggerFactory

/** One planned write; [value] null drops the key. */
data class Write(
    val key: String,
    val value: JsonElement?,
    val leased: Boolean = false,
) {
    /** Size of the value as it is sent; worked out once. */
    val valueBytes: Int by lazy { value?.toString()?.length ?: 0 }
}

/**
 * This controller's standing with the state service: loads the records, joins with a lease, follows the
 * changes, and carries transactions, all within this controller's part of the request limits.
 */
class StateStoreClient(
    private val context: EngineContext,
    private val formats: FormatGate,
) {
    enum class Phase { LOADING, JOINING, SERVING }

    var phase = Phase.LOADING
        private set
    var lease: Long? = null
        private set

    /** When the state service last served a request of ours, measured when the request left. */
    var lastServedUs: Micros? = null
        private set

    /**
     * Everything that was committed before this time is in the replica: when the newest answered catch-up left. Null before
     * the first one. Unlike [lastServedUs] it does not move with lease renewals, which tell nothing of the records.
     */
    var recordsKnownUs: Micros? = null
        private set
    private var lastFailedUs: Micros = 0
    var servingSinceUs: Micros = 0
        private set

    private val protocol = StateProtocol(context.settings.state.toString())
    private val controllers = context.settings.peers.size + 1
    private val requests = TokenBucket(context.settings.limits.rps * SHARE / controllers, context.settings.limits.rps * SHARE / controllers)
    private val writes =
        TokenBucket(
            context.settings.limits.writeRps * WRITE_SHARE / controllers,
            context.settings.limits.writeRps * WRITE_SHARE / controllers,
        )
    private var busy = false
    private var followOpen = false
    private var leaseBusy = false
    private var catchUpBusy = false
    private var nextLoadUs: Micros = 0
    private var nextFollowUs: Micros = 0
    private var nextTouchUs: Micros = 0
    private var nextCatchUpUs: Micros = 0
    private var nextRefreshUs: Micros = 0
    private var backOffUntil: Micros = 0
    private var catchUpWaiters = ArrayList<(Boolean) -> Unit>()

    /** When each transaction left that has not been answered yet, by its number. */
    private val openSince = HashMap<Long, Micros>()
    private var lastTransaction = 0L

    /**
     * Transactions that may still be answered soon. One that is late, while the service has answered what left after it, has
     * lost its answer: it must not hold up others until it is given up, as long as calls are left for leases and questions.
     */
    val transactionsOpen: Int
        get() {
            val answerable = openSince.values.count { sent -> context.now - sent < ANSWER_LATE || (lastServedUs ?: 0) <= sent }
            return maxOf(answerable, openSince.size - MOST_LOST)
        }

    /** False from the first failure on until something is served again. */
    val reachable: Boolean get() = (lastServedUs ?: -1) >= lastFailedUs || context.now - (lastServedUs ?: 0) < GRACE

    val serving: Boolean get() = phase == Phase.SERVING

    /** The records have been read once, so that assignments are known even while joining again. */
    val hasLoaded: Boolean get() = phase != Phase.LOADING

    fun tick() {
        val now = context.now
        when (phase) {
            Phase.LOADING -> if (!busy && now >= nextLoadUs) load()
            Phase.JOINING -> if (!busy && now >= nextLoadUs) join()
            Phase.SERVING -> renew()
        }
        if (phase != Phase.LOADING && !followOpen && now >= nextFollowUs && requests.take(now, 1.0)) follow()
        refresh()
        startCatchUp()
    }

    /** Keeps [recordsKnownUs] recent while nobody asks: how long workers may be answered in an outage depends on it. */
    private fun refresh() {
        if (phase == Phase.LOADING || context.now < nextRefreshUs) return
        nextRefreshUs = context.now + REFRESH_EVERY
        if (context.now - (recordsKnownUs ?: 0) >= REFRESH_EVERY / 2) catchUpWaiters += { }
    }

    private fun recordsKnown(sentUs: Micros) {
        recordsKnownUs = maxOf(recordsKnownUs ?: 0, sentUs)
    }

    /** Transactions that the state service found too large; its limits may have been lowered further than was announced. */
    var tooLarge = 0L
        private set

    /** Latency of answered requests other than watches, in microseconds. */
    private val latency = Histogram(LATENCY_MAX, 2)

    fun latencyMs(): Map<String, Double> =
        listOf(50.0, 90.0, 99.0, 100.0).associate { "p${it.toInt()}" to latency.getValueAtPercentile(it).toDouble() / MILLI }

    private fun served(sentUs: Micros) {
        latency.recordValue((context.now - sentUs).coerceIn(1, LATENCY_MAX))
        lastServedUs = maxOf(lastServedUs ?: 0, sentUs)
    }

    private fun failed() {
        lastFailedUs = context.now
    }

    private fun note(
        sentUs: Micros,
        result: StateResult<*>,
    ) = if (result is StateResult.Failed) failed() else served(sentUs)

    /** How far the reading of the records has come: a request that fails is sent again, those before it are not. */
    private class Loading {
        var lastKey: String? = null
        var firstRevision: Long? = null
        var hasAllPages = false
    }

    private var loading = Loading()

    private fun load() = if (loading.hasAllPages) closeLoad() else loadPage()

    private fun loadPage() {
        busy = true
        val sent = context.now
        requests.force(sent, 1.0)
        context.call(protocol.page(loading.lastKey, PAGE)) { outcome ->
            val result = protocol.readPage(outcome)
            note(sent, result)
            busy = false
            if (result is StateResult.Ok) loaded(result.value) else nextLoadUs = context.now + RETRY
        }
    }

    private fun loaded(page: ItemPage) {
        page.items.forEach { context.cache.apply(it.key, it.value, it.version) }
        val firstRevision = loading.firstRevision ?: page.revision.also { loading.firstRevision = it }
        if (page.more && page.items.isNotEmpty()) {
            loading.lastKey = page.items.last().key
            return load()
        }
        // Pages are not one moment: the watch starts at the first page's revision and repeats what changed meanwhile.
        context.cache.reached(firstRevision)
        loading.hasAllPages = true
        if (loading.lastKey == null) endLoad() else load()
    }

    private fun endLoad() {
        phase = if (lease == null) Phase.JOINING else Phase.SERVING
        LOG.info("loaded revision={} jobs={}", context.cache.revision, context.cache.jobs.size)
    }

    /** With several pages nobody serves before that: a guard from a later page would hold although changes from before it are not known. */
    private fun closeLoad() {
        busy = true
        val sent = context.now
        requests.force(sent, 1.0)
        context.call(protocol.follow(context.cache.revision, 0)) { outcome ->
            val result = protocol.readEvents(outcome)
            note(sent, result)
            busy = false
            if (take(result)) endLoad() else nextLoadUs = context.now + RETRY
        }
    }

    private fun join() {
        busy = true
        val sent = context.now
        requests.force(sent, 1.0)
        context.call(protocol.grant(LEASE_TTL)) { outcome ->
            val result = protocol.readLease(outcome)
            note(sent, result)
            busy = false
            if (result is StateResult.Ok) {
                lease = result.value.lease
                nextTouchUs = sent + TOUCH_EVERY
                register(result.value.lease)
            } else {
                nextLoadUs = context.now + RETRY
            }
        }
    }

    private fun register(lease: Long) {
        busy = true
        val key = Keys.node(context.me.text)
        val record = NodeRecord(context.me.text, lease, context.wall)
        val write = Write(key, WireJson.encodeToJsonElement(NodeRecord.serializer(), record), leased = true)
        // Unguarded: whatever an earlier process of this name left behind is over.
        transact(emptyList(), listOfNotNull(write, formats.announcement())) { result ->
            busy = false
            if (result is TransactionResult.Committed) {
                // A load that began meanwhile serves at its own end.
                if (phase == Phase.JOINING) {
                    servingSinceUs = context.now
                    phase = Phase.SERVING
                }
                LOG.info("joined lease={} revision={}", lease, result.revision)
            } else {
                if (phase == Phase.JOINING) this.lease = null
                nextLoadUs = context.now + RETRY
            }
        }
    }

    private fun renew() {
        val lease = lease ?: return
        // A late write of an earlier registration may have hung our record on a lease that is over.
        if (!busy && context.cache.nodes[context.me]?.lease != lease && context.now >= nextLoadUs) {
            nextLoadUs = context.now + SECOND
            register(lease)
            return
        }
        if (leaseBusy || context.now < nextTouchUs) return
        leaseBusy = true
        val sent = context.now
        nextTouchUs = sent + TOUCH_EVERY
        requests.force(sent, 1.0)
        context.call(protocol.touch(lease)) { outcome ->
            leaseBusy = false
            val result = protocol.readTouch(outcome)
            note(sent, result)
            if (result is StateResult.Gone && this.lease == lease) leaseLost("expired")
            if (result is StateResult.Limited) nextTouchUs = context.now + RETRY
        }
    }

    private fun leaseLost(reason: String) {
        if (lease == null) return
        LOG.warn("lease lost lease={} reason={}", lease, reason)
        lease = null
        // A load goes on to its end, and joins then: following in the midst of it would empty the records once more.
        if (phase == Phase.SERVING) phase = Phase.JOINING
    }

    /** The process stood still: a lease that was not renewed within its time may be over, and what hangs on it taken. */
    fun onProcessPause() {
        if (context.now - (lastServedUs ?: 0) > LEASE_TTL) leaseLost("stood still")
    }

    private fun follow() {
        followOpen = true
        val copy = context.cache
        val sent = context.now
        context.call(protocol.follow(context.cache.revision, FOLLOW_WAIT)) { outcome ->
            if (copy === context.cache) {
                followOpen = false
                val result = protocol.readEvents(outcome)
                // A watch stays open through an outage, so only its answer says that the service serves.
                if (result is StateResult.Ok) lastServedUs = maxOf(lastServedUs ?: 0, context.now - MILLI) else note(sent, result)
                nextFollowUs = context.now + if (result is StateResult.Ok) FOLLOW_GAP else RETRY
                if (take(result)) recordsKnown(sent)
            }
        }
    }

    private fun take(result: StateResult<EventPage>): Boolean {
        if (result is StateResult.Gone) {
            LOG.warn("watch too old revision={}", context.cache.revision)
            context.resetCache()
            recordsKnownUs = null
            nextRefreshUs = 0
            phase = Phase.LOADING
            loading = Loading()
            followOpen = false
            return false
        }
        if (result !is StateResult.Ok) return false
        // In whichever order they are told, a job has to be known before its chunks.
        for (event in result.value.events.sortedBy { Keys.isChunk((it.put ?: it.delete).orEmpty()) }) {
            val key = event.put ?: event.delete ?: continue
            context.cache.apply(key, if (event.put != null) event.value else null, event.version)
        }
        context.cache.reached(result.value.revision)
        return true
    }

    /** Runs [then] with true once everything committed before this call is in the replica. */
    fun caughtUp(then: (Boolean) -> Unit) {
        if (!serving || !reachable) {
            then(false)
            return
        }
        catchUpWaiters += then
    }

    private fun startCatchUp() {
        if (catchUpBusy || catchUpWaiters.isEmpty() || context.now < nextCatchUpUs) return
        if (phase == Phase.LOADING) {
            catchUpWaiters.also { catchUpWaiters = ArrayList() }.forEach { it(false) }
            return
        }
        if (!requests.take(context.now, 1.0)) return
        catchUpBusy = true
        val waiters = catchUpWaiters
        catchUpWaiters = ArrayList()
        val sent = context.now
        val copy = context.cache
        nextCatchUpUs = sent + CATCH_UP_GAP
        context.call(protocol.follow(context.cache.revision, 0)) { outcome ->
            catchUpBusy = false
            val result = protocol.readEvents(outcome)
            note(sent, result)
            // From before the records were read anew it says nothing of the new copy.
            val ok = copy === context.cache && take(result)
            if (ok) recordsKnown(sent)
            waiters.forEach { it(ok) }
        }
    }

    /** Whether a transaction may leave, whatever others have used of the writes. */
    val mayWrite: Boolean get() = lease != null && context.now >= backOffUntil && requests.available(context.now) >= 1

    /** How many writes the limits allow now; transactions above it wait. */
    fun writesAllowed(): Int = if (mayWrite) writes.available(context.now).toInt() else 0

    /**
     * Sends a transaction. What it writes is in the replica when [then] hears that it was committed. If the records were
     * read anew meanwhile, which brings it or what came after it, [then] hears that the outcome is unknown.
     */
    fun transact(
        guards: List<Guard>,
        changes: List<Write>,
        then: (TransactionResult) -> Unit,
    ) {
        val lease = lease
        val wire =
            changes.map {
                if (it.value ==
                    null
                ) {
                    Change(delete = it.key)
                } else {
                    Change(put = it.key, value = it.value, lease = if (it.leased) lease else null)
                }
            }
        requests.force(context.now, 1.0)
        writes.force(context.now, changes.size.toDouble())
        val sent = context.now
        val number = ++lastTransaction
        openSince[number] = sent
        val copy = context.cache
        context.call(protocol.transact(Transaction(guards, wire))) { outcome ->
            openSince.remove(number)
            val result = protocol.readTransaction(outcome)
            when (result) {
                is TransactionResult.Committed -> {
                    served(sent)
                    changes.forEach { copy.apply(it.key, it.value, result.revision) }
                }
                is TransactionResult.Conflict -> served(sent)
                TransactionResult.LeaseGone -> leaseLost("refused")
                TransactionResult.TooLarge -> {
                    served(sent)
                    tooLarge++
                    val largest = changes.maxOfOrNull { it.valueBytes } ?: 0
                    LOG.error("transaction too large changes={} guards={} largest_value={}", changes.size, guards.size, largest)
                }
                TransactionResult.Refused -> {
                    backOffUntil = context.now + BACK_OFF + context.random.nextLong(BACK_OFF)
                    if ((outcome as? mintpick.net.Outcome.Answered)?.status != LIMITED) failed()
                }
                TransactionResult.Unknown -> failed()
            }
            // The new copy may not show it yet, and what is told of it must be in the records.
            then(if (copy === context.cache) result else TransactionResult.Unknown)
        }
    }

    companion object {
        private val LOG = LoggerFactory.getLogger(StateStoreClient::class.java)
        private const val LIMITED = 429

        /** Parts of the limits that controllers plan for; the rest is for leases and bursts. */
        private const val SHARE = 0.9
        private const val WRITE_SHARE = 1.0
        private const val PAGE = 500
        private const val LATENCY_MAX: Micros = 60 * SECOND
        private const val RETRY: Micros = 250 * MILLI
        private const val BACK_OFF: Micros = 100 * MILLI
        private const val GRACE: Micros = 300 * MILLI
        private const val MOST_LOST = 4
        private const val ANSWER_LATE: Micros = 400 * MILLI
        const val LEASE_TTL: Micros = 5 * SECOND
        private const val TOUCH_EVERY: Micros = SECOND
        private const val FOLLOW_WAIT: Micros = 10 * SECOND
        private const val FOLLOW_GAP: Micros = 120 * MILLI
        private const val CATCH_UP_GAP: Micros = 150 * MILLI
        private const val REFRESH_EVERY: Micros = SECOND
    }
}
