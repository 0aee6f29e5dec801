package mintpick.store

import mintpick.core.MachineId
import mintpick.wire.MachineRecord
import mintpick.wire.Retiring
import java.util.Base64

/**
 * A list of machines as a short text: kinds once, names and addresses by what differs from the one before.
 *
 * The text is base64 without padding of: the format version, the kinds, the machine names ([CompactNames]), and for each
 * name the index of its kind combined with its retirement, and its address.
 */
internal object CompactMachineList {
    private const val VERSION = 1

    /** The retirement takes the lowest part of a machine's code, below this factor; the index of its kind the rest. */
    private const val KIND_FACTOR = 4

    /** The index in this list is what is stored. */
    private val RETIRING_BY_CODE = listOf(Retiring.NO, Retiring.DRAIN, Retiring.NOW)

    /** [machines] as a text that [decode] reads; their order is that of [CompactNames.ordered], whatever it was. */
    fun encode(machines: Map<MachineId, MachineRecord>): String {
        val writer = VarintWriter()
        writer.byte(VERSION)
        val names = CompactNames.ordered(machines.keys.map { it.text })
        val records = names.map { machines.getValue(MachineId(it)) }
        val kinds = records.map(MachineKind::of).distinct()
        writeKinds(kinds, writer)
        CompactNames.write(names, writer)
        var previousAddress = ""
        for (record in records) {
            val kindIndex = kinds.indexOf(MachineKind.of(record))
            writer.number(kindIndex * KIND_FACTOR + RETIRING_BY_CODE.indexOf(record.retiring))
            writeAddress(previousAddress, record.address, writer)
            previousAddress = record.address
        }
        return Base64.getEncoder().withoutPadding().encodeToString(writer.toByteArray())
    }

    private fun writeKinds(
        kinds: List<MachineKind>,
        writer: VarintWriter,
    ) {
        writer.number(kinds.size)
        for (kind in kinds) {
            writer.text(kind.type)
            writer.text(kind.zone)
            writer.byte(if (kind.spot) 1 else 0)
        }
    }

    private fun writeAddress(
        previous: String,
        address: String,
        writer: VarintWriter,
    ) {
        val prefix = previous.commonPrefixWith(address).length
        val suffix = previous.drop(prefix).commonSuffixWith(address.drop(prefix)).length
        writer.number(prefix)
        writer.number(suffix)
        writer.text(address.substring(prefix, address.length - suffix))
    }

    /**
     * The machines that [encode] made [text] of, in the order of their names as written. Throws an
     * [UnreadableRecordException] if [text] is no list of machines, and an [ArithmeticException] if it names machines by
     * numbers that are out of range.
     */
    fun decode(text: String): Map<MachineId, MachineRecord> {
        val reader = VarintReader(decodingRecord { Base64.getDecoder().decode(text) })
        if (reader.byte() != VERSION) throw UnknownFormatException("machines of an unknown format")
        val kinds = List(reader.count()) { readKind(reader) }
        var address = ""
        return CompactNames.read(reader).associate { name ->
            val code = reader.number()
            val kindIndex = code / KIND_FACTOR
            val retiringCode = code % KIND_FACTOR
            requireConsistent(kindIndex < kinds.size && retiringCode < RETIRING_BY_CODE.size) { "a machine of an unknown kind" }
            val kind = kinds[kindIndex]
            address = readAddress(address, reader)
            MachineId(name) to MachineRecord(kind.type, kind.zone, kind.spot, address, RETIRING_BY_CODE[retiringCode])
        }
    }

    private fun readKind(reader: VarintReader): MachineKind {
        val type = reader.text()
        val zone = reader.text()
        return MachineKind(type, zone, spot = reader.byte() == 1)
    }

    private fun readAddress(
        previous: String,
        reader: VarintReader,
    ): String {
        val prefix = reader.number()
        val suffix = reader.number()
        requireConsistent(prefix + suffix <= previous.length) { "an address beyond the one before" }
        return previous.take(prefix) + reader.text() + previous.takeLast(suffix)
    }
}
