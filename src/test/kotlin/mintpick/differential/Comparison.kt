package mintpick.differential

import mintpick.upgrade.StepCost

/** The first step of one controller's life in which the engines differed, and the last events up to it. */
internal class Difference(
    val day: String,
    val controller: String,
    val step: Long,
    val detail: String,
    val events: List<String>,
) {
    fun report(): String = "$day, $controller, step $step: $detail\nlast events, the newest last:\n" + events.joinToString("\n") { "  $it" }
}

/** What the compared controllers of one day, which run on one thread, counted and found. */
internal class Comparison(
    val day: String,
) {
    var steps = 0L
    var events = 0L
    var effects = 0L
    val differences = ArrayList<Difference>()
    val baseCost = StepCost()
    val presentCost = StepCost()
    private val livesOf = HashMap<Int, Int>()

    /** Controllers started again after an end. */
    val restarts: Int get() = livesOf.values.sumOf { it - 1 }

    /** The name of the life that the controller of node [index] begins. */
    fun begin(index: Int): String = "node-$index life ${livesOf.merge(index, 1, Int::plus)}"
}

/** The counts of all [days] in one line. */
internal fun summaryOf(days: List<Comparison>): String =
    "differential: days=${days.size} restarts=${days.sumOf { it.restarts }} steps=${days.sumOf { it.steps }} " +
        "events=${days.sumOf { it.events }} effects=${days.sumOf { it.effects }} differences=${days.sumOf { it.differences.size }}"
