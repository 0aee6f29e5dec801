package mintpick.store

import kotlinx.serialization.json.JsonPrimitive
import mintpick.wire.JobSpec
import mintpick.wire.WireJson
import java.io.ByteArrayInputStream
import java.io.ByteArrayOutputStream
import java.util.Base64
import java.util.zip.DeflaterOutputStream
import java.util.zip.InflaterInputStream

/**
 * A specification that leaves no room for its job's tasks in one value, such as one that names hundreds of jobs to wait
 * for, is kept in records of its own: compressed, and cut into texts that each fit into a value.
 */
object SpecPieces {
    /** Around a piece. */
    private const val QUOTES = 2

    /** Far more than a request's body, so that no record makes a reader fill its memory. */
    private const val MOST_BYTES = 1 shl 20

    /** The texts of all pieces, in order. */
    fun split(
        spec: JobSpec,
        valueBytes: Double,
    ): List<String> {
        val packed = ByteArrayOutputStream()
        DeflaterOutputStream(packed).use { it.write(text(spec).encodeToByteArray()) }
        return Base64
            .getEncoder()
            .withoutPadding()
            .encodeToString(packed.toByteArray())
            .chunked(valueBytes.toInt() - QUOTES)
    }

    /** Reads what [split] wrote; an [IllegalArgumentException] if it is no specification. */
    fun join(pieces: Collection<String>): JobSpec {
        val packed = Base64.getDecoder().decode(pieces.joinToString(""))
        val text =
            try {
                InflaterInputStream(ByteArrayInputStream(packed)).use { it.readNBytes(MOST_BYTES) }.decodeToString()
            } catch (e: java.io.IOException) {
                throw IllegalArgumentException("a specification that can't be unpacked: ${e.message}")
            }
        return WireJson.decodeFromString(JobSpec.serializer(), text)
    }

    fun json(piece: String) = JsonPrimitive(piece)

    private fun text(spec: JobSpec): String = WireJson.encodeToString(JobSpec.serializer(), spec)
}
