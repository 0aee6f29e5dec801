package mintpick.core

import mintpick.wire.MachineType
import kotlin.math.max
import kotlin.math.min

/** Amounts of what machines have and tasks take; they may be negative, as the result of a subtraction. */
data class Resources(
    val cpus: Double,
    val gpus: Double,
    val memoryGb: Double,
) {
    /** The sum, resource by resource. */
    operator fun plus(other: Resources) = Resources(cpus + other.cpus, gpus + other.gpus, memoryGb + other.memoryGb)

    /** The difference, resource by resource. */
    operator fun minus(other: Resources) = Resources(cpus - other.cpus, gpus - other.gpus, memoryGb - other.memoryGb)

    /** Every amount times [factor]. */
    operator fun times(factor: Double) = Resources(cpus * factor, gpus * factor, memoryGb * factor)

    /** Whether [available] holds this much of every resource, rounding errors of up to [EPSILON] aside. */
    fun fits(available: Resources): Boolean {
        val cpusFit = cpus <= available.cpus + EPSILON
        val gpusFit = gpus <= available.gpus + EPSILON
        val memoryFits = memoryGb <= available.memoryGb + EPSILON
        return cpusFit && gpusFit && memoryFits
    }

    /** How many tasks of this size [available] holds, at most [MAX_COUNT]. */
    fun countIn(available: Resources): Int {
        var count = Double.MAX_VALUE
        if (cpus > 0) count = min(count, (available.cpus + EPSILON) / cpus)
        if (gpus > 0) count = min(count, (available.gpus + EPSILON) / gpus)
        if (memoryGb > 0) count = min(count, (available.memoryGb + EPSILON) / memoryGb)
        return max(0.0, min(count, MAX_COUNT)).toInt()
    }

    /** The largest share of [total] that any one resource takes, 0 to 1 for a part of it. */
    fun dominantShare(total: Resources): Double {
        var share = 0.0
        if (total.cpus > 0) share = max(share, cpus / total.cpus)
        if (total.gpus > 0) share = max(share, gpus / total.gpus)
        if (total.memoryGb > 0) share = max(share, memoryGb / total.memoryGb)
        return share
    }

    companion object {
        /** The largest difference that counts as a rounding error. */
        const val EPSILON = 1e-6

        /** The count for tasks that need nothing. */
        private const val MAX_COUNT = 1e6

        /** Nothing of any resource. */
        val ZERO = Resources(0.0, 0.0, 0.0)
    }
}

/** What an empty machine of this type has. */
val MachineType.capacity: Resources get() = Resources(cpus, gpus, memoryGb)
