package mintpick.cli

/** Sets up SLF4J's simple logger, which writes to standard error. */
object Logging {
    private const val DEFAULT_LEVEL = "info"
    private val LEVELS = setOf("trace", "debug", "info", "warn", "error")

    /** Sets the level, "info" if [level] is none; to be called before the first logger exists, which reads it once. */
    fun configure(level: String?) {
        val known = level?.lowercase()?.takeIf { it in LEVELS } ?: DEFAULT_LEVEL
        System.setProperty("org.slf4j.simpleLogger.defaultLogLevel", known)
        System.setProperty("org.slf4j.simpleLogger.showThreadName", "false")
        System.setProperty("org.slf4j.simpleLogger.showShortLogName", "true")
    }
}
