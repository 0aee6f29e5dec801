package mintpick.wire

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import kotlinx.serialization.json.JsonElement

/** One of `guards` of a [Transaction]: [key] must have [version] (`stamp`); 0: it must not exist. */
@Serializable
data class Guard(
    val key: String,
    @SerialName("stamp") val version: Long,
)

/**
 * One of `apply` of a [Transaction]: either a put of [value] under the key [put] (`write`, `v`), attached to [lease] (`tenure`)
 * if there is one, or the deletion of the key [delete] (`drop`).
 */
@Serializable
data class Change(
    @SerialName("write") val put: String? = null,
    @SerialName("v") val value: JsonElement? = null,
    @SerialName("tenure") val lease: Long? = null,
    @SerialName("drop") val delete: String? = null,
)

/** Body of `POST /multi`: the [changes] are applied in one revision if all [guards] hold (compare-and-swap). */
@Serializable
data class Transaction(
    @SerialName("guards") val guards: List<Guard>,
    @SerialName("apply") val changes: List<Change>,
)

/** The state service's answer to `POST /multi`: the [revision] (`ledger_rev`), and with 409 the keys whose guards [failed]. */
@Serializable
data class TransactionAnswer(
    @SerialName("ledger_rev") val revision: Long,
    val failed: List<String> = emptyList(),
)

/** One of `pairs` in an [ItemPage]; [version] (`stamp`) is the revision at which the key last changed. */
@Serializable
data class StoredItem(
    val key: String,
    @SerialName("v") val value: JsonElement,
    @SerialName("stamp") val version: Long,
)

/** The state service's answer to `GET /keys`: items ordered by key; with [hasMore] (`has_next`) others follow after the last. */
@Serializable
data class ItemPage(
    @SerialName("pairs") val items: List<StoredItem>,
    @SerialName("has_next") val hasMore: Boolean = false,
    @SerialName("ledger_rev") val revision: Long,
)

/** One of `log` in an [EventPage]: a put of [value] under the key [put] (`write`, `v`), or the deletion of [delete] (`drop`). */
@Serializable
data class StateEvent(
    @SerialName("write") val put: String? = null,
    @SerialName("drop") val delete: String? = null,
    @SerialName("v") val value: JsonElement? = null,
    @SerialName("stamp") val version: Long,
)

/** The state service's answer to `GET /follow`, which watches a prefix: what changed up to [revision] (`ledger_rev`). */
@Serializable
data class EventPage(
    @SerialName("ledger_rev") val revision: Long,
    @SerialName("log") val events: List<StateEvent> = emptyList(),
)

/** Body of `POST /leases`: a lease of [ttlMs] milliseconds. */
@Serializable
data class LeaseRequest(
    @SerialName("ttl_ms") val ttlMs: Long,
)

/** The state service's answer to `POST /leases`: the new [lease] (`tenure`). */
@Serializable
data class LeaseAnswer(
    @SerialName("tenure") val lease: Long,
)
