package mintpick.wire

import kotlinx.serialization.KSerializer
import kotlinx.serialization.builtins.ListSerializer
import kotlinx.serialization.builtins.serializer
import kotlinx.serialization.encoding.Decoder
import kotlinx.serialization.encoding.Encoder

/**
 * Job ids as numbers: the digits of an id, and how many there are, because ids may differ only in leading zeros. Equal numbers mean
 * equal ids.
 */
object PackedJobId {
    private const val PREFIX = "req-"
    private const val MAX_DIGITS = 17
    private const val DECIMAL = 10

    /** Greater than any count of digits of an id. */
    private const val DIGIT_COUNT_RADIX = 20L

    /** The number of [id]; null if [id] does not have the form of a job id, see [Submission.isJobId]. */
    fun pack(id: String): Long? {
        val digits = id.length - PREFIX.length
        if (digits !in 1..MAX_DIGITS || !id.startsWith(PREFIX)) return null
        var number = 0L
        for (index in PREFIX.length until id.length) {
            val digit = id[index] - '0'
            if (digit !in 0 until DECIMAL) return null
            number = number * DECIMAL + digit
        }
        return number * DIGIT_COUNT_RADIX + digits
    }

    /** The id whose number is [packed]. */
    fun unpack(packed: Long): String {
        val digits = (packed % DIGIT_COUNT_RADIX).toInt()
        return PREFIX + (packed / DIGIT_COUNT_RADIX).toString().padStart(digits, '0')
    }
}

/**
 * A list of job ids that takes 8 bytes for each: the texts are built when they are read. Submissions may name thousands of jobs, and
 * each controller keeps the names for as long as the job is open. Immutable.
 */
class JobIdList private constructor(
    private val packed: LongArray,
) : AbstractList<String>(),
    RandomAccess {
    override val size: Int get() = packed.size

    override fun get(index: Int): String = PackedJobId.unpack(packed[index])

    companion object {
        /** [ids] as a compact list, or as they are if one of them does not have the form of a job id. */
        fun of(ids: List<String>): List<String> {
            if (ids is JobIdList) return ids
            val packed = LongArray(ids.size)
            ids.forEachIndexed { index, id -> packed[index] = PackedJobId.pack(id) ?: return ids }
            return JobIdList(packed)
        }
    }
}

/** Reads a JSON list of job ids as a [JobIdList], and writes any list of texts. */
internal object JobIdListSerializer : KSerializer<List<String>> {
    private val texts = ListSerializer(String.serializer())
    override val descriptor = texts.descriptor

    override fun serialize(
        encoder: Encoder,
        value: List<String>,
    ) = texts.serialize(encoder, value)

    override fun deserialize(decoder: Decoder): List<String> = JobIdList.of(texts.deserialize(decoder))
}
