package mintpick.wire

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import kotlinx.serialization.json.JsonElement

/** Precondition of a [Transaction], one of `guards`: [key] must have [version] (`stamp`); 0: the key must not exist. */
@Serializable
data class Guard(
    val key: String,
    @SerialName("stamp") val version: Long,
)

/**
 * Change in a [Transaction], one of `apply`. Either stores [value] (`v`) under the key [put] (`write`), attached to [lease]
 * (`tenure`) unless that is null, or deletes the key [delete] (`drop`).
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

/** The state store's answer to `POST /multi`: the [revision] (`ledger_rev`), and with 409 the keys whose guards [failed]. */
@Serializable
data class TransactionAnswer(
    @SerialName("ledger_rev") val revision: Long,
    val failed: List<String> = emptyList(),
)

/** Key and value, one of `pairs` in an [ItemPage]; [version] (`stamp`) is the revision at which the key last changed. */
@Serializable
data class StoredItem(
    val key: String,
    @SerialName("v") val value: JsonElement,
    @SerialName("stamp") val version: Long,
)

/** The state store's answer to `GET /keys`: a page of items ordered by key. [hasMore] (`has_next`): another page follows. */
@Serializable
data class ItemPage(
    @SerialName("pairs") val items: List<StoredItem>,
    @SerialName("has_next") val hasMore: Boolean = false,
    @SerialName("ledger_rev") val revision: Long,
)

/** Event, one of `log` in an [EventPage]: [value] (`v`) was stored under the key [put] (`write`), or [delete] (`drop`) was deleted. */
@Serializable
data class StateEvent(
    @SerialName("write") val put: String? = null,
    @SerialName("drop") val delete: String? = null,
    @SerialName("v") val value: JsonElement? = null,
    @SerialName("stamp") val version: Long,
)

/** The state store's answer to `GET /follow`, which watches a prefix: the changes up to [revision] (`ledger_rev`). */
@Serializable
data class EventPage(
    @SerialName("ledger_rev") val revision: Long,
    @SerialName("log") val events: List<StateEvent> = emptyList(),
)

/** Body of `POST /leases`: requests a lease that expires after [ttlMs] milliseconds without renewal. */
@Serializable
data class LeaseRequest(
    @SerialName("ttl_ms") val ttlMs: Long,
)

/** The state store's answer to `POST /leases`: the new [lease] (`tenure`). */
@Serializable
data class LeaseAnswer(
    @SerialName("tenure") val lease: Long,
)
