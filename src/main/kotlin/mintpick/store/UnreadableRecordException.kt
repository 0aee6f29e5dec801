package mintpick.store

/**
 * Thrown if a stored record, or a part of it, can't be read. The subclass and the message say what is wrong with it. It is an
 * [IllegalArgumentException] because the callers that read records catch that type.
 */
sealed class UnreadableRecordException(
    message: String,
    cause: Throwable? = null,
) : IllegalArgumentException(message, cause)

/** The record starts with a format version that this controller does not support. */
class UnknownFormatException(
    message: String,
) : UnreadableRecordException(message)

/** The record is shorter than its fields require, or a count in it exceeds the bytes that follow. */
class TruncatedRecordException(
    message: String,
) : UnreadableRecordException(message)

/** The record has the right form, but a value is out of range or contradicts another one. */
class InconsistentRecordException(
    message: String,
) : UnreadableRecordException(message)

/** The record is not valid JSON, base64 or deflate data, or its JSON lacks required fields; [cause] is the decoder's error. */
class MalformedRecordException(
    message: String,
    override val cause: Throwable,
) : UnreadableRecordException(message, cause)

/** Runs [decode] and turns any other [IllegalArgumentException] into a [MalformedRecordException] with the same message. */
internal inline fun <T> decodingRecord(decode: () -> T): T =
    try {
        decode()
    } catch (e: UnreadableRecordException) {
        throw e
    } catch (e: IllegalArgumentException) {
        throw MalformedRecordException(e.message ?: e.toString(), e)
    }

/** Throws an [InconsistentRecordException] with [message] unless [condition] holds. */
internal inline fun requireConsistent(
    condition: Boolean,
    message: () -> String,
) {
    if (!condition) throw InconsistentRecordException(message())
}
