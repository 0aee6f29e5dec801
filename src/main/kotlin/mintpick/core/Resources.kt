package mintpick.core

import mintpick.wire.MachineType
import kotlin.math.max
import kotlin.math.min

/** Amounts of CPUs, GPUs and memory. A subtraction may make them negative. */
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

    /** Whether these amounts fit into [available], with a tolerance of [EPSILON] for rounding errors. */
    fun fits(available: Resources): Boolean {
        val cpusFit = cpus <= available.cpus + EPSILON
        val gpusFit = gpus <= available.gpus + EPSILON
        val memoryFits = memoryGb <= available.memoryGb + EPSILON
        return cpusFit && gpusFit && memoryFits
    }

    /** How many tasks of this size fit into [available], at most [MAX_COUNT]. */
    fun countIn(available: Resources): Int {
        var count = Double.MAX_VALUE
        if (cpus > 0) count = min(count, (available.cpus + EPSILON) / cpus)
        if (gpus > 0) count = min(count, (available.gpus + EPSILON) / gpus)
        if (memoryGb > 0) count = min(count, (available.memoryGb + EPSILON) / memoryGb)
        return max(0.0, min(count, MAX_COUNT)).toInt()
    }

    /** The largest fraction that any of these amounts is of the same resource in [total]. */
    fun dominantShare(total: Resources): Double {
        var share = 0.0
        if (total.cpus > 0) share = max(share, cpus / total.cpus)
        if (total.gpus > 0) share = max(share, gpus / total.gpus)
        if (total.memoryGb > 0) share = max(share, memoryGb / total.memoryGb)
        return share
    }

    companion object {
        /** Tolerance for rounding errors. */
        const val EPSILON = 1e-6

        /** Upper bound of [countIn], also for tasks without any demand. */
        private const val MAX_COUNT = 1e6

        /** Zero of every resource. */
        val ZERO = Resources(0.0, 0.0, 0.0)
    }
}

/** Resources of an empty machine of this type. */
val MachineType.capacity: Resources get() = Resources(cpus, gpus, memoryGb)
