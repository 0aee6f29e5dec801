package mintpick.engine.state

import mintpick.core.NodeId
import mintpick.engine.runtime.EngineContext
import mintpick.store.Keys
import mintpick.store.RecordFormat
import mintpick.wire.FormatRecord
import mintpick.wire.WireJson
import org.slf4j.LoggerFactory

/**
 * Selects the format in which records are written while controllers of different versions run together.
 *
 * Each controller announces the newest format that it can read, in a record that outlives its process. A format is used for
 * writing only after every controller of the settings has announced it, whether or not that controller is running. A
 * controller without an announcement is assumed to read only the oldest format. Event-loop thread only.
 */
class RecordFormatNegotiator(
    private val context: EngineContext,
) {
    private val controllers = (context.settings.peers.map { it.node } + context.settings.node).map(::NodeId)
    private var lastLogged: RecordFormat? = null

    /** The newest format that every controller can read. */
    val current: RecordFormat
        get() {
            val announced = context.cache.announcedFormats
            return RecordFormat.readableAt(controllers.minOf { announced[it] ?: NOT_ANNOUNCED })
        }

    /**
     * Whether jobs with DAG dependencies may be accepted. An older version would start them immediately, without waiting for
     * their predecessors.
     */
    val allowsDependencies: Boolean get() = current >= RecordFormat.COMPACT

    /**
     * Maximum size of one value in bytes; about half of a transaction at most, which also has to hold other records. The oldest format is needed only until the state store's limits are lowered, so the
     * limit from before that applies to it.
     */
    val maxValueBytes: Double
        get() {
            val settings = context.settings
            val kilobytes = if (current == RecordFormat.VERBOSE) settings.valueKbAtStart else settings.limits.valueKb
            return minOf(kilobytes, MAX_VALUE_KB) * BYTES_PER_KB
        }

    /** Announced format level of each controller, for the status page; the oldest level if it has announced none. */
    fun levels(): Map<String, Int> = controllers.associate { it.text to (context.cache.announcedFormats[it] ?: RecordFormat.VERBOSE.level) }

    /** The write that announces the newest format that this controller can read; null if it is already announced. */
    fun announcement(): Write? {
        val announced = context.cache.announcedFormats[context.self] ?: NOT_ANNOUNCED
        if (announced >= RecordFormat.NEWEST.level) return null
        val record = FormatRecord(RecordFormat.NEWEST.level)
        return Write(Keys.format(context.self.text), WireJson.encodeToJsonElement(FormatRecord.serializer(), record))
    }

    /** Logs the format when it has changed. */
    fun tick() {
        val format = current
        if (format == lastLogged) return
        lastLogged = format
        LOG.info("record format={} levels={}", format, levels())
    }

    private companion object {
        val LOG = LoggerFactory.getLogger(RecordFormatNegotiator::class.java)

        /** Level of a controller without an announcement; lower than the level of every format. */
        const val NOT_ANNOUNCED = 0

        const val MAX_VALUE_KB = 32.0

        /** Less than 1024, to leave space for what surrounds a value in a request. */
        const val BYTES_PER_KB = 1000
    }
}
