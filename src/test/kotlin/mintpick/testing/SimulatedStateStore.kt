package mintpick.testing

import kotlinx.serialization.json.JsonElement
import mintpick.core.Micros
import mintpick.wire.Change
import mintpick.wire.EventPage
import mintpick.wire.ItemPage
import mintpick.wire.LeaseAnswer
import mintpick.wire.LeaseRequest
import mintpick.wire.StateEvent
import mintpick.wire.StoredItem
import mintpick.wire.Transaction
import mintpick.wire.TransactionAnswer
import mintpick.wire.WireJson
import java.util.TreeMap

/** Simulates the state store as PROTOCOL describes it: consistent, with leases, transactions and a watch. */
class SimulatedStateStore {
    /** Limits of a value's size, of the changes in a transaction and of the changes per second. */
    data class StateLimits(
        val valueBytes: Int,
        val changes: Int,
        val changesPerSecond: Double,
    )

    private class Item(
        val value: JsonElement,
        val version: Long,
        val lease: Long?,
    )

    class HttpAnswer(
        val status: Int,
        val body: String,
    )

    private class Watch(
        val since: Long,
        val untilUs: Micros,
        val answer: (HttpAnswer) -> Unit,
    )

    var revision = 0L
        private set

    /** Outage: requests are answered with 503; open watches wait, and no lease expires. */
    var unavailable = false

    /** Watches that start before this revision are refused as compacted. */
    var oldestWatchableRevision = 0L

    /** Called after each transaction that was committed, or whose guards did not hold. */
    var onTransaction: (Transaction, isCommitted: Boolean) -> Unit = { _, _ -> }

    /** Order in which a watch delivers its events. */
    var eventOrder: (List<StateEvent>) -> List<StateEvent> = { it }

    /** Number of requests. */
    var requests = 0L
        private set

    /** Number of requested changes, as the rate limit counts them, and the size of all transactions. */
    var writes = 0L
        private set
    var bytesWritten = 0L
        private set

    /** Number of the latest changes that are kept for watches. */
    var retainedChanges = Int.MAX_VALUE

    /** Number of watches that were refused because they requested changes no longer kept. */
    var compactedWatches = 0
        private set

    /** Enforced limits; null: none. */
    var limits: StateLimits? = null

    /** Number of transactions refused for exceeding a limit, by limit: `value`, `changes`, `guards` or `rate`. */
    val refusals = HashMap<String, Int>()

    /** Length of the largest value stored so far. */
    var largestValue = 0
        private set
    private var changeBudget = 0.0
    private var budgetUpdatedAt: Micros = 0

    /** Requested changes by the second segment of the key, which is the kind of record. */
    val writesByKind = HashMap<String, Int>()
    private val items = TreeMap<String, Item>()
    private val log = ArrayList<StateEvent>()
    private val leases = HashMap<Long, Pair<Micros, Micros>>()
    private var lastLease = 0L
    private val watches = ArrayList<Watch>()

    fun tick(now: Micros) {
        limits?.let { changeBudget = minOf(it.changesPerSecond, changeBudget + (now - budgetUpdatedAt) * it.changesPerSecond / 1e6) }
        budgetUpdatedAt = now
        if (unavailable) {
            // Every lease starts over with its full duration when the outage ends.
            leases.replaceAll { _, (ttl, _) -> ttl to now + ttl }
            return
        }
        leases
            .filterValues { it.second <= now }
            .keys
            .toList()
            .forEach { expire(it) }
        val due = watches.filter { w -> now >= w.untilUs || log.any { it.version > w.since } }
        watches.removeAll(due)
        due.forEach { it.answer(events(it.since)) }
    }

    private fun expire(lease: Long) {
        leases.remove(lease)
        val keys = items.filterValues { it.lease == lease }.keys.toList()
        if (keys.isEmpty()) return
        revision++
        keys.forEach {
            items.remove(it)
            log += StateEvent(delete = it, version = revision)
        }
    }

    fun request(
        now: Micros,
        method: String,
        path: String,
        body: String,
        answer: (HttpAnswer) -> Unit,
    ) {
        val query =
            path.substringAfter('?', "").split('&').associate { it.substringBefore('=') to it.substringAfter('=', "") }
        val route = path.substringBefore('?')
        requests++
        if (route == "/multi") bytesWritten += body.length
        if (route == "/follow") {
            val wait = (query["wait_ms"]?.toLong() ?: 0) * 1000
            if (unavailable && wait == 0L) return answer(HttpAnswer(503, "{}"))
            if (log.size > retainedChanges && query.getValue("since").toLong() < log[log.size - retainedChanges].version - 1) {
                compactedWatches++
                return answer(HttpAnswer(410, "{}"))
            }
            if (query.getValue("since").toLong() < oldestWatchableRevision) return answer(HttpAnswer(410, "{}"))
            watches += Watch(query.getValue("since").toLong(), now + wait, answer)
            return
        }
        if (unavailable) return answer(HttpAnswer(503, "{}"))
        answer(
            when {
                route == "/keys" -> listKeys(query)
                route == "/multi" -> transact(WireJson.decodeFromString(Transaction.serializer(), body))
                route == "/leases" && method == "POST" ->
                    grant(
                        now,
                        WireJson.decodeFromString(LeaseRequest.serializer(), body).ttlMs * 1000,
                    )
                route.endsWith("/touch") -> renew(now, route.split('/')[2].toLong())
                else -> HttpAnswer(400, "{}")
            },
        )
    }

    /** Version of [key]; 0 if there is no record. */
    fun version(key: String): Long = items[key]?.version ?: 0

    /** All keys with their values as text. */
    fun keys(): List<Pair<String, String>> = items.map { it.key to it.value.value.toString() }

    private fun listKeys(query: Map<String, String>): HttpAnswer {
        val after = query["since"].orEmpty()
        val limit = query["limit"]?.toInt() ?: 1000
        val prefix = query["under"].orEmpty()
        val found =
            items
                .tailMap(after, false)
                .filterKeys { it.startsWith(prefix) }
                .entries
                .take(limit + 1)
        var bytes = 0
        val page =
            found
                .take(limit)
                .map { StoredItem(it.key, it.value.value, it.value.version) }
                .takeWhile { item ->
                    bytes += item.value.toString().length + item.key.length + ITEM_OVERHEAD_BYTES
                    bytes <= MAX_PAGE_BYTES
                }
        return HttpAnswer(200, WireJson.encodeToString(ItemPage.serializer(), ItemPage(page, found.size > page.size, revision)))
    }

    private fun events(since: Long) =
        HttpAnswer(200, WireJson.encodeToString(EventPage.serializer(), EventPage(revision, eventOrder(log.filter { it.version > since }))))

    private fun grant(
        now: Micros,
        ttl: Micros,
    ): HttpAnswer {
        leases[++lastLease] = ttl to now + ttl
        return HttpAnswer(200, WireJson.encodeToString(LeaseAnswer.serializer(), LeaseAnswer(lastLease)))
    }

    private fun renew(
        now: Micros,
        lease: Long,
    ): HttpAnswer {
        val (ttl, _) = leases[lease] ?: return HttpAnswer(404, "{}")
        leases[lease] = ttl to now + ttl
        return HttpAnswer(200, "{}")
    }

    fun transact(transaction: Transaction): HttpAnswer {
        refuse(transaction)?.let { return it }
        writes += transaction.changes.size
        transaction.changes.forEach { writesByKind.merge((it.put ?: it.delete).orEmpty().split('/').getOrElse(1) { "" }, 1, Int::plus) }
        val failed = transaction.guards.filter { (items[it.key]?.version ?: 0) != it.version }.map { it.key }
        if (failed.isNotEmpty()) {
            onTransaction(transaction, false)
            return HttpAnswer(
                409,
                WireJson.encodeToString(TransactionAnswer.serializer(), TransactionAnswer(revision, failed)),
            )
        }
        if (transaction.changes.any { it.lease != null && it.lease !in leases }) return HttpAnswer(400, """{"error":"no such lease"}""")
        if (transaction.changes.isNotEmpty()) revision++
        transaction.changes.forEach(::apply)
        onTransaction(transaction, true)
        return HttpAnswer(200, WireJson.encodeToString(TransactionAnswer.serializer(), TransactionAnswer(revision)))
    }

    private fun refuse(transaction: Transaction): HttpAnswer? {
        val limits = limits ?: return null
        val largest =
            transaction.changes.maxOfOrNull {
                it.value
                    ?.toString()
                    ?.encodeToByteArray()
                    ?.size ?: 0
            } ?: 0
        val reason =
            when {
                largest > limits.valueBytes -> "value"
                transaction.changes.size > limits.changes -> "changes"
                transaction.guards.size > limits.changes * GUARDS_PER_CHANGE -> "guards"
                changeBudget < transaction.changes.size -> "rate"
                else -> null
            }
        if (reason == null) {
            changeBudget -= transaction.changes.size
            return null
        }
        refusals.merge(reason, 1, Int::plus)
        return HttpAnswer(if (reason == "rate") 429 else 400, """{"error":"$reason"}""")
    }

    private fun apply(change: Change) {
        val put = change.put
        val value = change.value
        if (put != null && value != null) {
            largestValue = maxOf(largestValue, value.toString().length)
            items[put] = Item(value, revision, change.lease)
            log += StateEvent(put = put, value = value, version = revision)
        }
        change.delete?.let {
            items.remove(it)
            log += StateEvent(delete = it, version = revision)
        }
    }

    private companion object {
        const val GUARDS_PER_CHANGE = 4

        /** The protocol's limit of a page of items. */
        const val MAX_PAGE_BYTES = 512 * 1024

        /** Names and numbers around the key and the value of an item. */
        const val ITEM_OVERHEAD_BYTES = 48
    }
}
