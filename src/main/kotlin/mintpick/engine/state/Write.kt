package mintpick.engine.state

import kotlinx.serialization.json.JsonElement

/**
 * One write of a transaction: [value] is stored under [key], or the key is deleted if [value] is null. A [leased] value is
 * attached to this controller's lease and is deleted when the lease ends.
 *
 * With [isCachedOnCommit] the write is in the local cache as soon as its commit is known. Otherwise it is there only once it has
 * been read back with all changes before it, so that its cached version proves that they have been read too.
 */
data class Write(
    val key: String,
    val value: JsonElement?,
    val leased: Boolean = false,
    val isCachedOnCommit: Boolean = true,
) {
    /** Length of the encoded value; 0 for a deletion. Encoded only once, because callers read it several times. */
    val valueBytes: Int by lazy { value?.toString()?.length ?: 0 }
}
