package mintpick.engine.state

import mintpick.core.NodeId
import mintpick.engine.runtime.EngineContext
import mintpick.store.Keys
import mintpick.store.RecordFormat
import mintpick.wire.FormatRecord
import mintpick.wire.WireJson
import org.slf4j.LoggerFactory

/**
 * Decides in which format records are written while versions of the service are mixed. Each controller announces the
 * newest format that it reads in a record that outlives it; a format is written once every controller of the settings,
 * present or not, has announced it. One that has not announced anything reads only the oldest. Event-loop thread only.
 */
class RecordFormatNegotiator(
    private val context: EngineContext,
) {
    private val controllers = (context.settings.peers.map { it.node } + context.settings.node).map(::NodeId)
    private var lastLogged: RecordFormat? = null

    /** The newest format that every controller reads. */
    val current: RecordFormat
        get() {
            val announced = context.cache.announcedFormats
            return RecordFormat.readableAt(controllers.minOf { announced[it] ?: NOT_ANNOUNCED })
        }

    /** Whether jobs with DAG dependencies may be accepted: an older version would start them at once. */
    val allowsDependencies: Boolean get() = current >= RecordFormat.COMPACT

    /** Most bytes of one value: the oldest format is needed only while the limits of before the upgrade are in force. */
    val maxValueBytes: Double
        get() {
            val settings = context.settings
            val kilobytes = if (current == RecordFormat.VERBOSE) settings.valueKbAtStart else settings.limits.valueKb
            return kilobytes * BYTES_PER_KB
        }

    /** Announced levels by controller, for the status page. */
    fun levels(): Map<String, Int> = controllers.associate { it.text to (context.cache.announcedFormats[it] ?: RecordFormat.VERBOSE.level) }

    /** What this controller has to write to announce what it reads; null if it has. */
    fun announcement(): Write? {
        val announced = context.cache.announcedFormats[context.self] ?: NOT_ANNOUNCED
        if (announced >= RecordFormat.NEWEST.level) return null
        val record = FormatRecord(RecordFormat.NEWEST.level)
        return Write(Keys.format(context.self.text), WireJson.encodeToJsonElement(FormatRecord.serializer(), record))
    }

    /** Logs each change of the format once. */
    fun tick() {
        val format = current
        if (format == lastLogged) return
        lastLogged = format
        LOG.info("record format={} levels={}", format, levels())
    }

    private companion object {
        val LOG = LoggerFactory.getLogger(RecordFormatNegotiator::class.java)

        /** The level of a controller that has announced nothing: below all formats. */
        const val NOT_ANNOUNCED = 0

        /** Fewer than 1024, for what surrounds a value in a request. */
        const val BYTES_PER_KB = 1000
    }
}
