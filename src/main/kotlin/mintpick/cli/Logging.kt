package mintpick.cli

/** Configures SLF4J's simple logger, which writes to standard error. */
object Logging {
    private const val DEFAULT_LEVEL = "info"
    private val LEVELS = setOf("trace", "debug", "info", "warn", "error")

    /**
     * Sets the log level to [level], or to "info" if that is null or unknown. Must be called before the first logger is created,
     * because SLF4J reads the properties only then.
     */
    fun configure(level: String?) {
        val known = level?.lowercase()?.takeIf { it in LEVELS } ?: DEFAULT_LEVEL
        System.setProperty("org.slf4j.simpleLogger.defaultLogLevel", known)
        System.setProperty("org.slf4j.simpleLogger.showThreadName", "false")
        System.setProperty("org.slf4j.simpleLogger.showShortLogName", "true")
    }
}
