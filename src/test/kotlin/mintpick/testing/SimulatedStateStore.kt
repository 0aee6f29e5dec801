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

/** Stand-in for the state service: consistent, with leases, transactions and a watch, as PROTOCOL describes it. */
class SimulatedStateStore {
    /** What one transaction and one second may carry. */
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

    class Http(
        val status: Int,
        val body: String,
    )

    private class Watch(
        val since: Long,
        val untilUs: Micros,
        val answer: (Http) -> Unit,
    )

    var revision = 0L
        private set
    var out = false

    /** Watches that begin before this revision are too old for the log. */
    var oldestWatch = 0L

    /** In which order a watch tells its changes. */
    var order: (List<StateEvent>) -> List<StateEvent> = { it }

    /** What was asked of it, as the limits count. */
    var requests = 0L
        private set
    var writes = 0L
        private set
    var bytesWritten = 0L
        private set

    /** How many of the latest changes a watch can still be told. */
    var keptChanges = Int.MAX_VALUE

    /** Watches that asked for changes no longer kept. */
    var tooOld = 0
        private set

    /** Limits of size and rate; null: none. */
    var limits: StateLimits? = null

    /** Requests refused for a limit, by what it was, and the largest value that was stored. */
    val refused = HashMap<String, Int>()
    var largestValue = 0
        private set
    private var changesLeft = 0.0
    private var changesAt: Micros = 0
    val writesByKind = HashMap<String, Int>()
    private val items = TreeMap<String, Item>()
    private val log = ArrayList<StateEvent>()
    private val leases = HashMap<Long, Pair<Micros, Micros>>()
    private var lastLease = 0L
    private val watches = ArrayList<Watch>()

    fun tick(now: Micros) {
        limits?.let { changesLeft = minOf(it.changesPerSecond, changesLeft + (now - changesAt) * it.changesPerSecond / 1e6) }
        changesAt = now
        if (out) {
            // Every lease has its full time again once the outage is over.
            leases.replaceAll { _, (ttl, _) -> ttl to now + ttl }
            return
        }
        leases
            .filterValues { it.second <= now }
            .keys
            .toList()
            .forEach { end(it) }
        val due = watches.filter { w -> now >= w.untilUs || log.any { it.version > w.since } }
        watches.removeAll(due)
        due.forEach { it.answer(events(it.since)) }
    }

    private fun end(lease: Long) {
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
        answer: (Http) -> Unit,
    ) {
        val query =
            path.substringAfter('?', "").split('&').associate { it.substringBefore('=') to it.substringAfter('=', "") }
        val route = path.substringBefore('?')
        requests++
        if (route == "/multi") bytesWritten += body.length
        if (route == "/follow") {
            val wait = (query["wait_ms"]?.toLong() ?: 0) * 1000
            if (out && wait == 0L) return answer(Http(503, "{}"))
            if (log.size > keptChanges && query.getValue("since").toLong() < log[log.size - keptChanges].version - 1) {
                tooOld++
                return answer(Http(410, "{}"))
            }
            if (query.getValue("since").toLong() < oldestWatch) return answer(Http(410, "{}"))
            watches += Watch(query.getValue("since").toLong(), now + wait, answer)
            return
        }
        if (out) return answer(Http(503, "{}"))
        answer(
            when {
                route == "/keys" -> page(query)
                route == "/multi" -> transact(WireJson.decodeFromString(Transaction.serializer(), body))
                route == "/leases" && method == "POST" ->
                    grant(
                        now,
                        WireJson.decodeFromString(LeaseRequest.serializer(), body).ttlMs * 1000,
                    )
                route.endsWith("/touch") -> touch(now, route.split('/')[2].toLong())
                else -> Http(400, "{}")
            },
        )
    }

    /** Keys with their values as text. */
    fun keys(): List<Pair<String, String>> = items.map { it.key to it.value.value.toString() }

    private fun page(query: Map<String, String>): Http {
        val after = query["since"].orEmpty()
        val limit = query["limit"]?.toInt() ?: 1000
        val prefix = query["under"].orEmpty()
        val found =
            items
                .tailMap(after, false)
                .filterKeys { it.startsWith(prefix) }
                .entries
                .take(limit + 1)
        val page = found.take(limit).map { StoredItem(it.key, it.value.value, it.value.version) }
        return Http(200, WireJson.encodeToString(ItemPage.serializer(), ItemPage(page, found.size > limit, revision)))
    }

    private fun events(since: Long) =
        Http(200, WireJson.encodeToString(EventPage.serializer(), EventPage(revision, order(log.filter { it.version > since }))))

    private fun grant(
        now: Micros,
        ttl: Micros,
    ): Http {
        leases[++lastLease] = ttl to now + ttl
        return Http(200, WireJson.encodeToString(LeaseAnswer.serializer(), LeaseAnswer(lastLease)))
    }

    private fun touch(
        now: Micros,
        lease: Long,
    ): Http {
        val (ttl, _) = leases[lease] ?: return Http(404, "{}")
        leases[lease] = ttl to now + ttl
        return Http(200, "{}")
    }

    fun transact(transaction: Transaction): Http {
        refusal(transaction)?.let { return it }
        writes += transaction.changes.size
        transaction.changes.forEach { writesByKind.merge((it.put ?: it.delete).orEmpty().split('/').getOrElse(1) { "" }, 1, Int::plus) }
        val failed = transaction.guards.filter { (items[it.key]?.version ?: 0) != it.version }.map { it.key }
        if (failed.isNotEmpty()) {
            return Http(
                409,
                WireJson.encodeToString(TransactionAnswer.serializer(), TransactionAnswer(revision, failed)),
            )
        }
        if (transaction.changes.any { it.lease != null && it.lease !in leases }) return Http(400, """{"error":"no such lease"}""")
        if (transaction.changes.isNotEmpty()) revision++
        transaction.changes.forEach(::apply)
        return Http(200, WireJson.encodeToString(TransactionAnswer.serializer(), TransactionAnswer(revision)))
    }

    private fun refusal(transaction: Transaction): Http? {
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
                changesLeft < transaction.changes.size -> "rate"
                else -> null
            }
        if (reason == null) {
            changesLeft -= transaction.changes.size
            return null
        }
        refused.merge(reason, 1, Int::plus)
        return Http(if (reason == "rate") 429 else 400, """{"error":"$reason"}""")
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
    }
}
