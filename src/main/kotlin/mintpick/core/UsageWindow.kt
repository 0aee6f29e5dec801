package mintpick.core

/**
 * Usage of each team over a sliding window, in share-seconds of the dominant resource. The window is divided into slots. It follows
 * "Ai2 replaces GPU priority scheduling with time budgets and fair share", where it is 7 days long. Times are wall-clock times in
 * microseconds.
 *
 * @param windowUs length of the window
 * @param slotUs length of a slot; usage expires slot by slot
 */
class UsageWindow(
    private val windowUs: Micros,
    private val slotUs: Micros,
) {
    private val slots = HashMap<Long, HashMap<String, Double>>()

    /** The number of the slot that contains [wallClockUs]. */
    fun slotOf(wallClockUs: Micros): Long = wallClockUs / slotUs

    /** Adds usage of [team] to the slot that contains [wallClockUs]. */
    fun add(
        team: String,
        shareSeconds: Double,
        wallClockUs: Micros,
    ) {
        slots.getOrPut(slotOf(wallClockUs)) { HashMap() }.merge(team, shareSeconds, Double::plus)
    }

    /** Replaces the usage of all teams in [slot] by [use]. */
    fun set(
        slot: Long,
        use: Map<String, Double>,
    ) {
        slots[slot] = HashMap(use)
    }

    /** Removes the slots that end before the window that ends at [wallClockUs]. */
    fun expire(wallClockUs: Micros) {
        val oldest = slotOf(wallClockUs - windowUs)
        slots.keys.removeIf { it < oldest }
    }

    /** Share-seconds that [team] has used in all retained slots. */
    fun usageOf(team: String): Double = slots.values.sumOf { it[team] ?: 0.0 }

    /** Usage by slot and team. */
    fun snapshot(): Map<Long, Map<String, Double>> = slots.mapValues { it.value.toMap() }
}
