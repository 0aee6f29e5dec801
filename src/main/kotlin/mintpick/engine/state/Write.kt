package mintpick.engine.state

import kotlinx.serialization.json.JsonElement

/**
 * One planned write of a transaction: [value] is stored under [key], or the key is deleted if it is null. A [leased]
 * value is attached to this controller's lease and deleted with it.
 */
data class Write(
    val key: String,
    val value: JsonElement?,
    val leased: Boolean = false,
) {
    /** Length of the value as it is sent, 0 for a deletion; encoded once, since callers ask several times. */
    val valueBytes: Int by lazy { value?.toString()?.length ?: 0 }
}
