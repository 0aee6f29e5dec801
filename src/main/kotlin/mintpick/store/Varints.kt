package mintpick.store

import java.io.ByteArrayOutputStream

/** Writes counts and texts as bytes: seven bits of a number in each byte, the lowest first. */
internal class VarintWriter {
    private val bytes = ByteArrayOutputStream()

    fun byte(value: Int) = bytes.write(value)

    fun number(value: Int) {
        require(value >= 0) { "negative: $value" }
        var rest = value
        while (rest > MASK) {
            bytes.write(rest and MASK or MORE)
            rest = rest ushr BITS
        }
        bytes.write(rest)
    }

    fun text(value: String) {
        val encoded = value.encodeToByteArray()
        number(encoded.size)
        bytes.write(encoded)
    }

    fun raw(value: ByteArray) = bytes.write(value)

    fun toByteArray(): ByteArray = bytes.toByteArray()
}

/** Reads what [VarintWriter] wrote. Bytes that end early or say something impossible are an [IllegalArgumentException]. */
internal class VarintReader(
    private val bytes: ByteArray,
) {
    private var at = 0

    fun byte(): Int {
        require(at < bytes.size) { "ends early" }
        return bytes[at++].toInt() and BYTE
    }

    fun number(): Int {
        var value = 0
        var shift = 0
        while (true) {
            require(shift < MOST_BITS) { "number too large" }
            val next = byte()
            value = value or (next and MASK shl shift)
            if (next and MORE == 0) break
            shift += BITS
        }
        require(value >= 0) { "number too large" }
        return value
    }

    /** A number of things that are still to come, each of at least one byte. */
    fun count(): Int = number().also { require(it <= bytes.size - at) { "count $it exceeds what is left" } }

    fun text(): String = raw(number()).decodeToString()

    fun raw(size: Int): ByteArray {
        require(size <= bytes.size - at) { "ends early" }
        return bytes.copyOfRange(at, at + size).also { at += size }
    }
}

private const val BITS = 7
private const val MASK = 0x7f
private const val MORE = 0x80
private const val BYTE = 0xff
private const val MOST_BITS = 35
