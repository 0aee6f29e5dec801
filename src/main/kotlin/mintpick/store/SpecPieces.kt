package mintpick.store

import kotlinx.serialization.json.JsonElement
import kotlinx.serialization.json.JsonPrimitive
import mintpick.wire.JobSpec
import mintpick.wire.WireJson
import java.io.ByteArrayInputStream
import java.io.ByteArrayOutputStream
import java.io.IOException
import java.util.Base64
import java.util.zip.DeflaterOutputStream
import java.util.zip.InflaterInputStream

/**
 * A specification that leaves no room for its job's tasks in one value, such as one that names hundreds of predecessors,
 * is kept in records of its own (`Keys.spec`): compressed, and cut into texts that each fit into a value.
 */
object SpecPieces {
    /** Characters around a piece in JSON. */
    private const val QUOTE_CHARACTERS = 2

    /** Far more than a request's body, so that no record makes a reader fill its memory. */
    private const val MAX_SPEC_BYTES = 1 shl 20

    /** The texts of all pieces of [spec], in order, each of at most [valueBytes] bytes as JSON. */
    fun split(
        spec: JobSpec,
        valueBytes: Double,
    ): List<String> {
        val compressed = ByteArrayOutputStream()
        DeflaterOutputStream(compressed).use { it.write(text(spec).encodeToByteArray()) }
        return Base64
            .getEncoder()
            .withoutPadding()
            .encodeToString(compressed.toByteArray())
            .chunked(valueBytes.toInt() - QUOTE_CHARACTERS)
    }

    /** The specification that [split] made [pieces] of, given in order; a [MalformedRecordException] if they are none. */
    fun join(pieces: Collection<String>): JobSpec =
        decodingRecord {
            val compressed = Base64.getDecoder().decode(pieces.joinToString(""))
            WireJson.decodeFromString(JobSpec.serializer(), inflate(compressed))
        }

    private fun inflate(compressed: ByteArray): String =
        try {
            InflaterInputStream(ByteArrayInputStream(compressed)).use { it.readNBytes(MAX_SPEC_BYTES) }.decodeToString()
        } catch (e: IOException) {
            throw MalformedRecordException("a specification that can't be unpacked: ${e.message}", e)
        }

    /** One piece as the value that is stored. */
    fun json(piece: String): JsonElement = JsonPrimitive(piece)

    private fun text(spec: JobSpec): String = WireJson.encodeToString(JobSpec.serializer(), spec)
}
