package mintpick.engine.membership

import mintpick.core.MachineId
import mintpick.store.Keys

/** A claim record to write or delete. */
internal sealed interface ClaimTarget {
    /** Key of the record. */
    val key: String

    /** Last known version of the record, which must not have changed when the claim is committed; 0 if there is no record. */
    val version: Long

    /** The claim of [shard], which controls its machines except those with a borrow claim. */
    data class Shard(
        val shard: Int,
        override val version: Long,
    ) : ClaimTarget {
        override val key: String get() = Keys.shard(shard)
    }

    /** The claim of the borrowed [machine]. */
    data class Borrow(
        val machine: MachineId,
        override val version: Long,
    ) : ClaimTarget {
        override val key: String get() = Keys.borrow(machine.text)
    }

    /** The claim of the leadership, which controls no machine. */
    data class Leader(
        override val version: Long,
    ) : ClaimTarget {
        override val key: String get() = Keys.LEADER
    }
}
