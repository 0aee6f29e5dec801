package mintpick.store

import kotlinx.serialization.json.JsonElement
import kotlinx.serialization.json.JsonPrimitive
import mintpick.wire.JobSpec
import mintpick.wire.WireJson
import mintpick.wire.decodeJson
import java.io.ByteArrayInputStream
import java.io.ByteArrayOutputStream
import java.io.IOException
import java.util.Base64
import java.util.zip.DeflaterOutputStream
import java.util.zip.InflaterInputStream

/**
 * Splits a large job specification into pieces. If a specification leaves no space for the job's tasks in one value, for
 * example because it names hundreds of predecessors, it is stored in separate records (`Keys.spec`): compressed, and cut into
 * texts that each fit into a value.
 */
object SpecPieces {
    /** The quotes around a piece in JSON. */
    private const val QUOTE_CHARACTERS = 2

    /** Limits the memory that a record can use when it is decompressed; far above the largest request body. */
    private const val MAX_SPEC_BYTES = 1 shl 20

    /** Splits [spec] into pieces of at most [valueBytes] bytes each as JSON, and returns them in order. */
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

    /** Joins the [pieces] that [split] returned, in order; throws a [MalformedRecordException] if they are not a specification. */
    fun join(pieces: Collection<String>): JobSpec =
        decodingRecord {
            val compressed = Base64.getDecoder().decode(pieces.joinToString(""))
            decodeJson(JobSpec.serializer(), inflate(compressed))
        }

    private fun inflate(compressed: ByteArray): String =
        try {
            InflaterInputStream(ByteArrayInputStream(compressed)).use { it.readNBytes(MAX_SPEC_BYTES) }.decodeToString()
        } catch (e: IOException) {
            throw MalformedRecordException("job specification: decompression failed: ${e.message}", e)
        }

    /** Returns [piece] as a value for the state store. */
    fun json(piece: String): JsonElement = JsonPrimitive(piece)

    private fun text(spec: JobSpec): String = WireJson.encodeToString(JobSpec.serializer(), spec)
}
