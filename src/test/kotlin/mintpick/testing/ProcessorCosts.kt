package mintpick.testing

import mintpick.core.Micros
import mintpick.engine.runtime.Effect
import mintpick.engine.runtime.Event
import mintpick.engine.runtime.EventKind
import mintpick.engine.runtime.kind
import mintpick.net.Outcome

/**
 * Processor time that a simulated controller needs for its work, on a share of a core. Costs are in microseconds of a whole core; they
 * cover the decoding and the sockets of a request or call as well as the engine's part of it.
 *
 * @param share fraction of a core that the controller has
 * @param coldFactor by how much more work costs in a process that has just started, because its code is not compiled yet
 * @param coldUs processor time after which all code is compiled; the factor falls evenly until then
 */
class ProcessorCosts(
    private val share: Double,
    private val step: Double,
    private val byKind: Map<EventKind, Double>,
    private val answerKilobyte: Double,
    private val effect: Double,
    private val coldFactor: Double,
    private val coldUs: Double,
) {
    /** Charges one process. */
    internal inner class Meter {
        private var usedUs = 0.0

        /** Wall-clock time from the start of a step of [events] to its first effect. */
        fun ofStep(events: List<Event>): Micros = wallTime(step + events.sumOf(::costOf))

        /** Wall-clock time that [effect] takes. */
        fun of(effect: Effect): Micros = wallTime(if (effect is Effect.Send) this@ProcessorCosts.effect / 2 else this@ProcessorCosts.effect)

        private fun wallTime(cost: Double): Micros {
            val cold = 1 + (coldFactor - 1) * (1 - usedUs / coldUs).coerceAtLeast(0.0)
            usedUs += cost * cold
            return (cost * cold / share).toLong()
        }
    }

    private fun costOf(event: Event): Double = byKind.getValue(event.kind) + answerBytes(event) / BYTES_PER_KB * answerKilobyte

    private fun answerBytes(event: Event): Double =
        ((event as? Event.CallDone)?.outcome as? Outcome.Answered)?.body?.size?.toDouble() ?: 0.0

    private companion object {
        const val BYTES_PER_KB = 1024.0
    }
}
