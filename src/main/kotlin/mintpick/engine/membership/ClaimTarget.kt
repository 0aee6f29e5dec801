package mintpick.engine.membership

import mintpick.wire.Guard

/** A claim record to write or delete: of a shard, of a borrowed machine or of the leadership. */
internal data class ClaimTarget(
    val key: String,
    /** Last known version of the record, which must not have changed when the claim is committed; 0 if there is no record. */
    val version: Long,
) {
    /** Condition for the commit: the record still has [version]. */
    val guard: Guard get() = Guard(key, version)
}
