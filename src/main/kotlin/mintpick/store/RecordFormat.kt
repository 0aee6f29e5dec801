package mintpick.store

/**
 * Format of stored records. Every format can be read at any time. A newer format is written only once all controllers have
 * announced that they read it.
 */
enum class RecordFormat(
    /** The level that a controller announces if it reads this format and all earlier ones. */
    val level: Int,
) {
    /** JSON with full names, which every version reads. */
    VERBOSE(1),

    /** Tasks and machines are encoded as short texts, which fit into much smaller values. Jobs may have predecessors. */
    COMPACT(2),
    ;

    companion object {
        /** The newest format that this version reads, which it announces. */
        val NEWEST = entries.last()

        /** Returns the newest format that may be written once every controller has announced at least [level]. */
        fun readableAt(level: Int): RecordFormat = entries.last { it.level <= maxOf(level, VERBOSE.level) }
    }
}
