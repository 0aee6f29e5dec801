package mintpick.store

import mintpick.wire.MachineRecord

/** The properties that many machines of a list have in common. A record stores each kind once. */
internal data class MachineKind(
    val type: String,
    val zone: String,
    val spot: Boolean,
) {
    companion object {
        /** Returns the kind of the machine that [record] describes. */
        fun of(record: MachineRecord) = MachineKind(record.type, record.zone, record.spot)
    }
}
