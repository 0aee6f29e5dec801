package mintpick.engine.cache

import mintpick.core.MachineId
import mintpick.wire.MachineRecord

/** A machine, as described by its record. */
data class KnownMachine(
    val id: MachineId,
    val record: MachineRecord,
    /** Whether an earlier version stored the machine in a record of its own instead of in a machine list. */
    val legacy: Boolean = false,
)
