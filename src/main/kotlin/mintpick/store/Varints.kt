package mintpick.store

import java.io.ByteArrayOutputStream

/** Writes numbers, texts and bytes. A number is a varint: seven bits in each byte, the lowest bits first. */
internal class VarintWriter {
    private val bytes = ByteArrayOutputStream()

    /** Writes the lowest eight bits of [value]. */
    fun byte(value: Int) = bytes.write(value)

    /** Writes [value] as a varint of one to five bytes; throws an [IllegalArgumentException] if it is negative. */
    fun number(value: Int) {
        require(value >= 0) { "number to write is $value, must not be negative" }
        var rest = value
        while (rest > PAYLOAD_MASK) {
            val payload = rest and PAYLOAD_MASK
            bytes.write(payload or CONTINUATION_BIT)
            rest = rest ushr PAYLOAD_BITS
        }
        bytes.write(rest)
    }

    /** Writes [value] as the length of its UTF-8 encoding in bytes, followed by these bytes. */
    fun text(value: String) {
        val encoded = value.encodeToByteArray()
        number(encoded.size)
        bytes.write(encoded)
    }

    /** Writes [value] without its length, which the reader must know. */
    fun raw(value: ByteArray) = bytes.write(value)

    /** Returns all bytes written so far. */
    fun toByteArray(): ByteArray = bytes.toByteArray()
}

/**
 * Reads the bytes that a [VarintWriter] wrote. Its functions throw a [TruncatedRecordException] if too few bytes are left, and
 * an [InconsistentRecordException] for a number that is out of range.
 */
internal class VarintReader(
    private val bytes: ByteArray,
) {
    private var position = 0

    private val remaining get() = bytes.size - position

    /** Reads the next byte, 0 to 255. */
    fun byte(): Int {
        requireRemaining(remaining > 0) { "record ends after ${bytes.size} bytes, at least one more is expected" }
        return bytes[position++].toInt() and BYTE_MASK
    }

    /** Reads the next number, which is never negative. */
    fun number(): Int {
        val start = position
        var value = 0
        var shift = 0
        while (true) {
            requireConsistent(shift < MAX_NUMBER_BITS) { "number at byte $start has more than $MAX_NUMBER_BYTES bytes" }
            val next = byte()
            val payload = next and PAYLOAD_MASK
            value = value or (payload shl shift)
            if (next and CONTINUATION_BIT == 0) break
            shift += PAYLOAD_BITS
        }
        requireConsistent(value >= 0) { "number at byte $start exceeds ${Int.MAX_VALUE}" }
        return value
    }

    /** Reads the number of elements that follow. Each must take at least one byte. */
    fun count(): Int {
        val start = position
        val count = number()
        requireRemaining(count <= remaining) { "count at byte $start is $count, but only $remaining bytes remain" }
        return count
    }

    /** Reads the next text. */
    fun text(): String = raw(number()).decodeToString()

    /** Reads the next [size] bytes. */
    fun raw(size: Int): ByteArray {
        requireRemaining(size <= remaining) { "field at byte $position has $size bytes, but only $remaining remain" }
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

/** Bytes that the largest [Int] takes. */
private const val MAX_NUMBER_BYTES = 5
private const val MAX_NUMBER_BITS = MAX_NUMBER_BYTES * PAYLOAD_BITS
