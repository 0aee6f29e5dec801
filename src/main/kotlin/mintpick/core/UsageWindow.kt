package mintpick.core

/**
 * Use by team over a sliding window, in slots: share-seconds of the dominant resource. The window is that of "Ai2 replaces GPU
 * priority scheduling with time budgets and fair share"; its length there is 7 days. Times are times of day in microseconds.
 *
 * @param windowUs the window's length
 * @param slotUs a slot's length; use is forgotten slot by slot
 */
class UsageWindow(
    private val windowUs: Micros,
    private val slotUs: Micros,
) {
    private val slots = HashMap<Long, HashMap<String, Double>>()

    /** The number of the slot that the time of day [wall] is in. */
    fun slotOf(wallClockUs: Micros): Long = wallClockUs / slotUs

    /** Adds what [team] has used to the slot of [wall]. */
    fun add(
        team: String,
        shareSeconds: Double,
        wallClockUs: Micros,
    ) {
        slots.getOrPut(slotOf(wallClockUs)) { HashMap() }.merge(team, shareSeconds, Double::plus)
    }

    /** Sets what all teams used in [slot], in place of what is known of it. */
    fun set(
        slot: Long,
        use: Map<String, Double>,
    ) {
        slots[slot] = HashMap(use)
    }

    /** Forgets the slots that are over before the window that ends at [wall]. */
    fun expire(wallClockUs: Micros) {
        val oldest = slotOf(wallClockUs - windowUs)
        slots.keys.removeIf { it < oldest }
    }

    /** Share-seconds that [team] has used in the slots that are kept. */
    fun use(team: String): Double = slots.values.sumOf { it[team] ?: 0.0 }

    /** Use by team of each slot that is kept. */
    fun snapshot(): Map<Long, Map<String, Double>> = slots.mapValues { it.value.toMap() }
}
