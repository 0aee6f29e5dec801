package mintpick.engine.cache

import mintpick.core.NodeId

/** A committed claim of a shard, of a borrowed machine or of the leadership. */
data class Claim(
    /** The controller that holds it. */
    val node: NodeId,
    /** Lease of the state service that the record is attached to; it ends with its holder's process. */
    val lease: Long,
    /** Version of the record: the fencing token of all commands that are given under it. */
    val version: Long,
)
