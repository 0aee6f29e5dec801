package mintpick.store

import java.io.ByteArrayOutputStream

/** Writes counts and texts as bytes: seven bits of a number in each byte, the lowest first. */
internal class VarintWriter {
    private val bytes = ByteArrayOutputStream()

    /** Writes the lowest eight bits of [value]. */
    fun byte(value: Int) = bytes.write(value)

    /** Writes [value] in one to five bytes; throws an [IllegalArgumentException] if it is negative. */
    fun number(value: Int) {
        require(value >= 0) { "negative: $value" }
        var rest = value
        while (rest > PAYLOAD_MASK) {
            val payload = rest and PAYLOAD_MASK
            bytes.write(payload or CONTINUATION_BIT)
            rest = rest ushr PAYLOAD_BITS
        }
        bytes.write(rest)
    }

    /** Writes the number of bytes of [value] in UTF-8, and these. */
    fun text(value: String) {
        val encoded = value.encodeToByteArray()
        number(encoded.size)
        bytes.write(encoded)
    }

    /** Writes [value] without its length, which the reader has to know. */
    fun raw(value: ByteArray) = bytes.write(value)

    /** All that has been written. */
    fun toByteArray(): ByteArray = bytes.toByteArray()
}

/**
 * Reads what [VarintWriter] wrote. Its functions throw a [TruncatedRecordException] if the bytes end early, and an
 * [InconsistentRecordException] for a number that is out of range.
 */
internal class VarintReader(
    private val bytes: ByteArray,
) {
    private var position = 0

    /** The next byte, 0 to 255. */
    fun byte(): Int {
        requireRemaining(position < bytes.size) { "ends early" }
        return bytes[position++].toInt() and BYTE_MASK
    }

    /** The next number, never negative. */
    fun number(): Int {
        var value = 0
        var shift = 0
        while (true) {
            requireConsistent(shift < MAX_NUMBER_BITS) { "number too large" }
            val next = byte()
            val payload = next and PAYLOAD_MASK
            value = value or (payload shl shift)
            if (next and CONTINUATION_BIT == 0) break
            shift += PAYLOAD_BITS
        }
        requireConsistent(value >= 0) { "number too large" }
        return value
    }

    /** A number of elements that follow, each of at least one byte. */
    fun count(): Int {
        val count = number()
        requireRemaining(count <= bytes.size - position) { "count $count exceeds what is left" }
        return count
    }

    /** The next text. */
    fun text(): String = raw(number()).decodeToString()

    /** The next [size] bytes. */
    fun raw(size: Int): ByteArray {
        requireRemaining(size <= bytes.size - position) { "ends early" }
        val start = position
        position += size
        return bytes.copyOfRange(start, position)
    }

    private inline fun requireRemaining(
        condition: Boolean,
        message: () -> String,
    ) {
        if (!condition) throw TruncatedRecordException(message())
    }
}

private const val PAYLOAD_BITS = 7
private const val PAYLOAD_MASK = 0x7f
private const val CONTINUATION_BIT = 0x80
private const val BYTE_MASK = 0xff

/** Five bytes of payload, which is what the largest [Int] takes. */
private const val MAX_NUMBER_BITS = 35
