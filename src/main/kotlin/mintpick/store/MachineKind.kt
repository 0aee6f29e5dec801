package mintpick.store

import mintpick.wire.MachineRecord

/** What many machines of a list share, so that it is stored once for all of them. */
internal data class MachineKind(
    val type: String,
    val zone: String,
    val spot: Boolean,
) {
    companion object {
        /** The kind of the machine that [record] describes. */
        fun of(record: MachineRecord) = MachineKind(record.type, record.zone, record.spot)
    }
}
