package mintpick.store

/**
 * How records are written. Both forms are read at any time; which one may be written depends on what every controller
 * is known to read.
 */
enum class RecordFormat(
    /** What a controller announces that reads this format and all before it. */
    val level: Int,
) {
    /** JSON with names spelled out: read by every version. */
    VERBOSE(1),

    /** Tasks and machines as short texts, which fit into much smaller values. Jobs may have predecessors. */
    COMPACT(2),
    ;

    companion object {
        /** What this version reads and announces. */
        val NEWEST = entries.last()

        /** The format that may be written once every controller has announced at least [level]. */
        fun readableAt(level: Int): RecordFormat = entries.last { it.level <= maxOf(level, VERBOSE.level) }
    }
}
