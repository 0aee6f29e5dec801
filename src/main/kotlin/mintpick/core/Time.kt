package mintpick.core

/** A time or duration in whole microseconds. */
typealias Micros = Long

/** Microseconds per millisecond. */
const val MILLI: Micros = 1_000

/** Microseconds per second. */
const val SECOND: Micros = 1_000_000
