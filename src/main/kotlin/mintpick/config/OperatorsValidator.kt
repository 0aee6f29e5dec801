package mintpick.config

import mintpick.core.Micros
import mintpick.core.SECOND
import mintpick.core.ShareNode
import kotlin.math.roundToLong

/** Checks the operators' [file] and converts it to [Operators]. Keys that are missing from the file get their defaults. */
internal class OperatorsValidator(
    private val file: OperatorsFile,
) {
    /**
     * Returns the checked settings.
     *
     * @throws ConfigException naming the first key whose value is out of range
     */
    fun validatedOperators(): Operators {
        val defaults = Operators()
        return defaults.copy(
            windowUs = requireDurationInRange("window_s", file.windowS, WINDOW_S) ?: defaults.windowUs,
            minimumRuntimeCapUs =
                requireDurationInRange("minimum_runtime_cap_s", file.minimumRuntimeCapS, MINIMUM_RUNTIME_CAP_S)
                    ?: defaults.minimumRuntimeCapUs,
            summaryEveryUs = requireDurationInRange("summary_every_s", file.summaryEveryS, SUMMARY_EVERY_S) ?: defaults.summaryEveryUs,
            batchHeadroom = requireInRange("batch_headroom", file.batchHeadroom, HEADROOM) ?: defaults.batchHeadroom,
            batchMemoryUs = requireDurationInRange("batch_memory_s", file.batchMemoryS, UP_TO_A_DAY_S) ?: defaults.batchMemoryUs,
            serviceHeadroom = requireInRange("service_headroom", file.serviceHeadroom, HEADROOM) ?: defaults.serviceHeadroom,
            idleUs = requireDurationInRange("idle_s", file.idleS, UP_TO_A_DAY_S) ?: defaults.idleUs,
            queuePart = requireInRange("queue_part", file.queuePart, FACTOR) ?: defaults.queuePart,
            sizeHandicap = requireInRange("size_handicap", file.sizeHandicap, FACTOR) ?: defaults.sizeHandicap,
            placementSample =
                requireInRange("placement_sample", file.placementSample?.toDouble(), SAMPLE_MACHINES)?.toInt() ?: defaults.placementSample,
            shares = file.shares?.let { entries -> ShareNode.Group("root", 1.0, entries.map(::toShareNode)) },
        )
    }

    private fun toShareNode(entry: OperatorsFile.ShareEntry): ShareNode {
        requireInRange("shares: ${entry.name.quotedInOneLine()}: weight", entry.weight, WEIGHT)
        val members = entry.members ?: return ShareNode.Team(entry.name, entry.weight)
        return ShareNode.Group(entry.name, entry.weight, members.map(::toShareNode))
    }

    private fun requireInRange(
        key: String,
        value: Double?,
        range: Range,
    ): Double? {
        if (value != null && (!value.isFinite() || value < range.min || value > range.max)) {
            throw ConfigException("operators: $key: $value must be from ${range.min} to ${range.max}")
        }
        return value
    }

    private fun requireDurationInRange(
        key: String,
        seconds: Double?,
        rangeS: Range,
    ): Micros? = requireInRange(key, seconds, rangeS)?.let { (it * SECOND).roundToLong() }

    /** Range of values that a setting accepts, both ends included. */
    private class Range(
        val min: Double,
        val max: Double,
    )

    private companion object {
        private const val HOUR_S = 3600.0
        private const val DAY_S = 24 * HOUR_S
        private val WINDOW_S = Range(60.0, 30 * DAY_S)
        private val MINIMUM_RUNTIME_CAP_S = Range(0.0, 8 * HOUR_S)
        private val SUMMARY_EVERY_S = Range(1.0, HOUR_S)
        private val UP_TO_A_DAY_S = Range(1.0, DAY_S)
        private val HEADROOM = Range(0.0, 10.0)
        private val FACTOR = Range(0.0, 1e6)
        private val SAMPLE_MACHINES = Range(1.0, 1e6)
        private val WEIGHT = Range(1e-6, 1e9)
    }
}
