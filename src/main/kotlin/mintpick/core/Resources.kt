package mintpick.core

import mintpick.wire.MAX_REPORTED_TASKS
import mintpick.wire.MachineType
import kotlin.math.max
import kotlin.math.min

/**
 * Amounts of CPUs, GPUs, memory, and places for tasks: a machine has no more of these than its agent can list in a message. A
 * subtraction may make them negative.
 */
data class Resources(
    val cpus: Double,
    val gpus: Double,
    val memoryGb: Double,
    val taskPlaces: Double = 0.0,
) {
    /** The sum, resource by resource. */
    operator fun plus(other: Resources) =
        Resources(cpus + other.cpus, gpus + other.gpus, memoryGb + other.memoryGb, taskPlaces + other.taskPlaces)

    /** The difference, resource by resource. */
    operator fun minus(other: Resources) =
        Resources(cpus - other.cpus, gpus - other.gpus, memoryGb - other.memoryGb, taskPlaces - other.taskPlaces)

    /** Every amount times [factor]. */
    operator fun times(factor: Double) = Resources(cpus * factor, gpus * factor, memoryGb * factor, taskPlaces * factor)

    /** Whether these amounts fit into [available], with a tolerance of [EPSILON] for rounding errors. */
    fun fits(available: Resources): Boolean {
        val cpusFit = cpus <= available.cpus + EPSILON
        val gpusFit = gpus <= available.gpus + EPSILON
        val memoryFits = memoryGb <= available.memoryGb + EPSILON
        val placesSuffice = taskPlaces <= available.taskPlaces + EPSILON
        return cpusFit && gpusFit && memoryFits && placesSuffice
    }

    /** How many tasks of this size fit into [available], at most [MAX_COUNT]. */
    fun countIn(available: Resources): Int {
        var count = Double.MAX_VALUE
        if (cpus > 0) count = min(count, (available.cpus + EPSILON) / cpus)
        if (gpus > 0) count = min(count, (available.gpus + EPSILON) / gpus)
        if (memoryGb > 0) count = min(count, (available.memoryGb + EPSILON) / memoryGb)
        if (taskPlaces > 0) count = min(count, (available.taskPlaces + EPSILON) / taskPlaces)
        return max(0.0, min(count, MAX_COUNT)).toInt()
    }

    /** The largest fraction that any of these amounts is of the same resource in [total]. Places for tasks don't count. */
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

/** Ended attempts that a machine's status may list beside its tasks, because they can't be forgotten yet. */
const val MAX_RETAINED_ATTEMPTS = 128

private val MAX_TASKS_PER_MACHINE = (MAX_REPORTED_TASKS - MAX_RETAINED_ATTEMPTS).toDouble()

/** Resources of an empty machine of this type. */
val MachineType.capacity: Resources get() = Resources(cpus, gpus, memoryGb, MAX_TASKS_PER_MACHINE)
