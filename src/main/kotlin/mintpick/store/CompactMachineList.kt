package mintpick.store

import mintpick.core.MachineId
import mintpick.wire.MachineRecord
import mintpick.wire.Retiring
import java.util.Base64

/**
 * Encodes a list of machines as a short text: each [MachineKind] once, names and addresses as differences from the previous
 * one.
 *
 * The text is base64 without padding. Its fields are, in this order: the format version, the kinds, the machine names
 * ([CompactNames]), and for each name a code that combines the index of its kind with its [Retiring] value, and its address.
 */
internal object CompactMachineList {
    private const val VERSION = 1

    /** A machine's code is the index of its kind times this factor, plus the code of its [Retiring] value. */
    private const val KIND_FACTOR = 4

    /** The stored code of a [Retiring] value is its index in this list. */
    private val RETIRING_BY_CODE = listOf(Retiring.NO, Retiring.DRAIN, Retiring.NOW)

    /** Encodes [machines] as a text for [decode], in the order of [CompactNames.ordered]. */
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
     * Decodes the machines from the [text] that [encode] returned, in the order in which they were written.
     *
     * Throws an [UnreadableRecordException] if [text] is not a list of machines, and an [ArithmeticException] if the number
     * at the end of a machine name overflows.
     */
    fun decode(text: String): Map<MachineId, MachineRecord> {
        val reader = VarintReader(decodingRecord { Base64.getDecoder().decode(text) })
        val formatVersion = reader.byte()
        if (formatVersion != VERSION) throw UnknownFormatException("machine list: format version is $formatVersion, expected $VERSION")
        val kinds = List(reader.count()) { readKind(reader) }
        var address = ""
        return CompactNames.read(reader).associate { name ->
            val code = reader.number()
            val kindIndex = code / KIND_FACTOR
            val retiringCode = code % KIND_FACTOR
            requireConsistent(kindIndex < kinds.size) { "machine list: kind index is $kindIndex, but ${kinds.size} kinds are listed" }
            requireConsistent(retiringCode < RETIRING_BY_CODE.size) {
                "machine list: retiring code is $retiringCode, allowed are 0 to ${RETIRING_BY_CODE.lastIndex}"
            }
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
        requireConsistent(prefix + suffix <= previous.length) {
            "machine list: address shares $prefix and $suffix characters with the previous one, which has only ${previous.length}"
        }
        return previous.take(prefix) + reader.text() + previous.takeLast(suffix)
    }
}
