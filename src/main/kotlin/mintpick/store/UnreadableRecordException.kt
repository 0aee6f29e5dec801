package mintpick.store

/**
 * A stored record, or a part of it, that can't be read; the subclass and the message say what is wrong with it. It is an
 * [IllegalArgumentException], which is what readers of records catch.
 */
sealed class UnreadableRecordException(
    message: String,
    cause: Throwable? = null,
) : IllegalArgumentException(message, cause)

/** The record starts with a format version that this controller does not know. */
class UnknownFormatException(
    message: String,
) : UnreadableRecordException(message)

/** The bytes end before the record does, or a count in them promises more than they hold. */
class TruncatedRecordException(
    message: String,
) : UnreadableRecordException(message)

/** The record has the right form, but its values contradict each other or are out of range. */
class InconsistentRecordException(
    message: String,
) : UnreadableRecordException(message)

/** The record does not have the form of its encoding (JSON, base64, deflate); [cause] is the decoder's error. */
class MalformedRecordException(
    message: String,
    override val cause: Throwable,
) : UnreadableRecordException(message, cause)

/** Runs [decode]; a decoder's [IllegalArgumentException] becomes a [MalformedRecordException] with the same message. */
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
