package mintpick.engine.cache

import mintpick.core.NodeId

/** A committed claim on a shard, a borrowed machine or the leadership. */
data class Claim(
    /** The controller that owns the claim. */
    val node: NodeId,
    /** Lease of the state store that the record is attached to. It expires after its owner's process has ended. */
    val lease: Long,
    /** Version of the record, used as the fencing token of all commands that are issued under the claim. */
    val version: Long,
)
