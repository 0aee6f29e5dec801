package mintpick.engine.membership

import mintpick.wire.Guard

/** A record that is to be claimed: the shard's, the borrowed machine's or the leader's. */
internal data class ClaimTarget(
    val key: String,
    /** Its version as it is known, which must still stand when the claim is committed; 0: there is no such record. */
    val version: Long,
) {
    /** The condition under which the claim is committed. */
    val guard: Guard get() = Guard(key, version)
}
