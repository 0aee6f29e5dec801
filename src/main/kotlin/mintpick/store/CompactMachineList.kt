package mintpick.store

import mintpick.core.MachineId
import mintpick.wire.MachineRecord
import mintpick.wire.Retiring
import java.util.Base64

/** A list of machines as a short text: kinds once, names and addresses by what differs from the one before. */
internal object CompactMachineList {
    private const val VERSION = 1
    private const val MARKS = 4
    private val RETIRING = listOf(Retiring.NO, Retiring.DRAIN, Retiring.NOW)

    private data class Kind(
        val type: String,
        val zone: String,
        val spot: Boolean,
    )

    private fun kindOf(record: MachineRecord) = Kind(record.type, record.zone, record.spot)

    fun encode(machines: Map<MachineId, MachineRecord>): String {
        val to = VarintWriter()
        to.byte(VERSION)
        val names = CompactNames.ordered(machines.keys.map { it.text })
        val records = names.map { machines.getValue(MachineId(it)) }
        val kinds = records.map(::kindOf).distinct()
        to.number(kinds.size)
        for (kind in kinds) {
            to.text(kind.type)
            to.text(kind.zone)
            to.byte(if (kind.spot) 1 else 0)
        }
        CompactNames.write(names, to)
        var address = ""
        for (record in records) {
            to.number(kinds.indexOf(kindOf(record)) * MARKS + RETIRING.indexOf(record.retiring))
            writeAddress(address, record.address, to)
            address = record.address
        }
        return Base64.getEncoder().withoutPadding().encodeToString(to.toByteArray())
    }

    private fun writeAddress(
        before: String,
        address: String,
        to: VarintWriter,
    ) {
        val prefix = before.commonPrefixWith(address).length
        val suffix = before.drop(prefix).commonSuffixWith(address.drop(prefix)).length
        to.number(prefix)
        to.number(suffix)
        to.text(address.substring(prefix, address.length - suffix))
    }

    private fun readAddress(
        before: String,
        from: VarintReader,
    ): String {
        val prefix = from.number()
        val suffix = from.number()
        require(prefix + suffix <= before.length) { "an address beyond the one before" }
        return before.take(prefix) + from.text() + before.takeLast(suffix)
    }

    fun decode(text: String): Map<MachineId, MachineRecord> {
        val from = VarintReader(Base64.getDecoder().decode(text))
        require(from.byte() == VERSION) { "machines of an unknown format" }
        val kinds = List(from.count()) { Kind(from.text(), from.text(), from.byte() == 1) }
        var address = ""
        return CompactNames.read(from).associate { name ->
            val code = from.number()
            require(code / MARKS < kinds.size && code % MARKS < RETIRING.size) { "a machine of an unknown kind" }
            val kind = kinds[code / MARKS]
            address = readAddress(address, from)
            MachineId(name) to MachineRecord(kind.type, kind.zone, kind.spot, address, RETIRING[code % MARKS])
        }
    }
}
