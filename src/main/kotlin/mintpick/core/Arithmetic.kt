package mintpick.core

/** [dividend] divided by [divisor], both positive, rounded up. */
fun ceilDiv(
    dividend: Int,
    divisor: Int,
): Int = (dividend + divisor - 1) / divisor
