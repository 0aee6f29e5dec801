package mintpick.soak

import mintpick.core.MILLI
import mintpick.core.Micros
import mintpick.core.SECOND
import java.util.SplittableRandom
import java.util.concurrent.ScheduledExecutorService

/** A fault that begins at [atUs] after the start of the faults and ends [durationUs] later. */
internal class ScheduledFault(
    val atUs: Micros,
    val durationUs: Micros,
    val name: String,
    val begin: () -> Unit,
    val end: () -> Unit,
) {
    override fun toString() = "%.1f s for %.1f s: %s".format(atUs.toDouble() / SECOND, durationUs.toDouble() / SECOND, name)
}

/** What the faults of a soak run act on. */
internal class SoakTargets(
    val controllers: List<ControllerProcess>,
    val agents: StandInAgents,
    val cloud: StandInCloud,
    val timer: ScheduledExecutorService,
    val repeats: RepeatedExecutions,
    val setStateUnavailable: (Boolean) -> Unit,
)

/** Draws overlapping faults from a seed. */
internal class SoakFaults(
    private val targets: SoakTargets,
    private val random: SplittableRandom,
) {
    private val controllers = targets.controllers

    /** [count] faults that all end within [spanUs]. */
    fun draw(
        count: Int,
        spanUs: Micros,
    ): List<ScheduledFault> =
        List(count) {
            val atUs = random.nextLong(spanUs * 2 / 3)
            val durationUs = SECOND + random.nextLong(spanUs - atUs - SECOND)
            newFault(atUs, durationUs)
        }.sortedBy { it.atUs }

    private fun newFault(
        atUs: Micros,
        durationUs: Micros,
    ): ScheduledFault {
        val controller = controllers[random.nextInt(controllers.size)]
        val faults = controller.faults
        val node = controller.node
        return when (random.nextInt(KINDS)) {
            0 -> ScheduledFault(atUs, 3 * SECOND, "$node ends", { controller.kill() }, { controller.start() })
            1 ->
                ScheduledFault(
                    atUs,
                    random.nextLong(SECOND),
                    "$node is back within a moment",
                    { controller.kill() },
                    { controller.start() },
                )
            2 -> ScheduledFault(atUs, 2 * SECOND, "all end", { controllers.forEach { it.kill() } }, { controllers.forEach { it.start() } })
            3 -> ScheduledFault(atUs, durationUs, "$node paused", { controller.pause() }, { controller.resume() })
            4 ->
                ScheduledFault(atUs, durationUs, "$node cut from the state store", { faults.cutFromState = true }, {
                    faults.cutFromState =
                        false
                })
            5 ->
                ScheduledFault(atUs, durationUs, "$node refused by the state store", { faults.refusedByState = true }) {
                    faults.refusedByState =
                        false
                }
            6 ->
                ScheduledFault(
                    atUs,
                    durationUs,
                    "$node cut from agents",
                    { faults.cutFromAgents = true },
                    { faults.cutFromAgents = false },
                )
            7 ->
                ScheduledFault(atUs, durationUs, "late transactions of $node", { faults.lateTransactions = 300 }, {
                    faults.lateTransactions =
                        0
                })
            8 -> ScheduledFault(atUs, durationUs, "lost answers to $node", { faults.lostAnswers = 200 }, { faults.lostAnswers = 0 })
            9 ->
                ScheduledFault(atUs, durationUs, "slow state store for $node", { faults.stateDelayUs = 400 * MILLI }, {
                    faults.stateDelayUs =
                        0
                })
            10 -> ScheduledFault(atUs, durationUs, "late commands", { faults.lateCommands = 300 }, { faults.lateCommands = 0 })
            11 ->
                ScheduledFault(atUs, durationUs, "late copies of heartbeats", { targets.agents.lateCopies = 200 }, {
                    targets.agents.lateCopies =
                        0
                })
            12 ->
                ScheduledFault(
                    atUs,
                    durationUs,
                    "state store out",
                    { targets.setStateUnavailable(true) },
                    { targets.setStateUnavailable(false) },
                )
            13 ->
                ScheduledFault(atUs, durationUs, "cloud out", { targets.cloud.isUnavailable = true }, {
                    targets.cloud.isUnavailable =
                        false
                })
            14 -> ScheduledFault(atUs, durationUs, "machines hang", { targets.agents.hang(HANGING_MACHINES, durationUs) }, { })
            15 -> ScheduledFault(atUs, durationUs, "requests executed again", { targets.repeats.rate = 250 }, { targets.repeats.rate = 0 })
            16 -> returnsWithRepeats(atUs, controller)
            else -> changesOfLeader(atUs)
        }
    }

    /** [controller] is back within a moment, while requests that were answered before are executed again. */
    private fun returnsWithRepeats(
        atUs: Micros,
        controller: ControllerProcess,
    ): ScheduledFault {
        val name = "${controller.node} is back within a moment, and requests are executed again"
        return ScheduledFault(atUs, random.nextLong(SECOND), name, { controller.kill() }, {
            controller.start()
            targets.repeats.repeatLatest(REPEATED_SHARE)
        })
    }

    /** Each controller ends in turn and is back within a moment, twice. */
    private fun changesOfLeader(atUs: Micros): ScheduledFault {
        val series = controllers + controllers
        return ScheduledFault(atUs, series.size * SECOND, "changes of leader in series", {
            series.forEachIndexed { i, controller ->
                targets.timer.after(i * SECOND) {
                    controller.kill()
                    targets.timer.after(SECOND / 4) { controller.start() }
                }
            }
        }, { controllers.forEach { it.start() } })
    }

    private companion object {
        const val KINDS = 18

        /** Thousandths of the latest requests that are executed again as a controller returns. */
        const val REPEATED_SHARE = 250
        const val HANGING_MACHINES = 6
    }
}
