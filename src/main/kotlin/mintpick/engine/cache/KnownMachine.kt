package mintpick.engine.cache

import mintpick.core.MachineId
import mintpick.wire.MachineRecord

/** A machine as its record shows it. */
data class KnownMachine(
    val id: MachineId,
    val record: MachineRecord,
    /** Stored by an earlier version, in a record of its own. */
    val legacy: Boolean = false,
)
