package mintpick.config

/**
 * Thrown for a setting that is missing, malformed or out of range, and for a settings file that cannot be read.
 *
 * The message is one line that names the field as it is written in the file, for example `settings.workers.lease_s`.
 * [cause] is the error of the parser or the file system, if there is one.
 */
class ConfigException(
    message: String,
    cause: Throwable? = null,
) : Exception(message, cause)

/** Returns the exception's message without line breaks, or its class name if it has no message. */
internal fun Exception.messageInOneLine(): String = (message ?: javaClass.simpleName).inOneLine()

/** Returns the text in double quotes and without line breaks, for use in a [ConfigException] message. */
internal fun String.quotedInOneLine(): String = "\"${inOneLine()}\""

private fun String.inOneLine(): String = lineSequence().joinToString(" ") { it.trim() }
