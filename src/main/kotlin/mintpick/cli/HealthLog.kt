package mintpick.cli

import org.slf4j.LoggerFactory

/**
 * Logs each change of what the health check answers, with its reason. Used by one thread.
 *
 * @param reasonForDown why the health check fails at present; null if it succeeds
 */
internal class HealthLog(
    private val reasonForDown: () -> String?,
) {
    private var last: String? = "not-started"

    /** Compares the health check's answer with the last one. */
    fun tick() {
        val reason = reasonForDown()
        if (reason == last) return
        last = reason
        LOG.info("health check up={} reason={}", reason == null, reason ?: "none")
    }

    private companion object {
        val LOG = LoggerFactory.getLogger(HealthLog::class.java)
    }
}
