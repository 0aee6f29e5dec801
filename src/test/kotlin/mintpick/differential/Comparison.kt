package mintpick.differential

import mintpick.upgrade.StepCpuTime

/** The first step since a controller's start in which the engines differed, with the last events up to that step. */
internal class Difference(
    val day: String,
    val controller: String,
    val step: Long,
    val detail: String,
    val events: List<String>,
) {
    fun report(): String = "$day, $controller, step $step: $detail\nlast events, newest last:\n" + events.joinToString("\n") { "  $it" }
}

/** Counts and differences of all compared controllers of one simulated day. Not thread-safe: a day runs on one thread. */
internal class Comparison(
    val day: String,
) {
    var steps = 0L
    var events = 0L
    var effects = 0L
    val differences = ArrayList<Difference>()
    val baseCpuTime = StepCpuTime()
    val presentCpuTime = StepCpuTime()
    private val startsByNode = HashMap<Int, Int>()

    /** Number of controller starts other than the first start of each node. */
    val restarts: Int get() = startsByNode.values.sumOf { it - 1 }

    /** Counts a start of the controller of node [index] and returns its name, which also seeds [ComparedController]'s order. */
    fun nextControllerName(index: Int): String = "node-$index life ${startsByNode.merge(index, 1, Int::plus)}"
}

/** The counts of all [days] in one line. */
internal fun summaryOf(days: List<Comparison>): String =
    "differential: days=${days.size} restarts=${days.sumOf { it.restarts }} steps=${days.sumOf { it.steps }} " +
        "events=${days.sumOf { it.events }} effects=${days.sumOf { it.effects }} differences=${days.sumOf { it.differences.size }}"
