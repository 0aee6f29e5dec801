package mintpick.differential

import mintpick.core.JobId
import mintpick.core.Micros
import mintpick.engine.runtime.Effect
import mintpick.engine.runtime.Event
import mintpick.engine.runtime.ReplyTo
import mintpick.testing.SimulatedCluster
import java.util.SplittableRandom

/**
 * Steps two engines with the same events and compares their effects; only the effects of [present] reach the cluster. After the
 * first difference [base] is not stepped any more, because it would receive answers to calls that it never made.
 */
internal class ComparedController(
    private val base: SimulatedCluster.Controller,
    private val present: SimulatedCluster.Controller,
    private val comparison: Comparison,
    private val name: String,
) : SimulatedCluster.Controller {
    private class LoggedEvent(
        val step: Long,
        val now: Micros,
        val event: Event?,
    ) {
        fun describe() = "step $step at $now us: ${event?.describe() ?: "no events"}"
    }

    private val recentEvents = ArrayDeque<LoggedEvent>()
    private val orderRandom = SplittableRandom(name.hashCode().toLong())
    private var step = 0L
    private var hasDiffered = false

    override fun step(
        now: Micros,
        wallClockUs: Micros,
        events: List<Event>,
    ): List<Effect> {
        step++
        if (hasDiffered) return present.step(now, wallClockUs, events)
        val allEvents = events + additionalEvents()
        log(now, allEvents)
        return stepBoth(now, wallClockUs, allEvents)
    }

    /** Events that no simulated user or operator sends: status page requests and malformed submissions. */
    private fun additionalEvents(): List<Event> =
        buildList {
            if (step % STATUS_REQUEST_INTERVAL_STEPS == 0L) add(Event.StatusRequest(ReplyTo { }))
            if (step % MALFORMED_INTERVAL_STEPS == 0L) add(Event.Malformed(malformedJobId(), "tasks: missing", ReplyTo { }))
        }

    /** Alternates between the id of an accepted job and an id that was never submitted. */
    private fun malformedJobId() = JobId(if (step / MALFORMED_INTERVAL_STEPS % 2 == 0L) "req-000001" else "req-999999")

    private fun log(
        now: Micros,
        events: List<Event>,
    ) {
        if (events.isEmpty()) recentEvents += LoggedEvent(step, now, null)
        events.forEach { recentEvents += LoggedEvent(step, now, it) }
        while (recentEvents.size > MAX_LOGGED_EVENTS) recentEvents.removeFirst()
    }

    private fun stepBoth(
        now: Micros,
        wallClockUs: Micros,
        events: List<Event>,
    ): List<Effect> {
        // The engine that runs second benefits from warm CPU caches, so the order varies. It is random rather than alternating,
        // because some work occurs only in every second step.
        val baseFirst = orderRandom.nextBoolean()
        val firstBaseResult = if (baseFirst) resultOf { base.step(now, wallClockUs, events) } else null
        val presentResult = resultOf { present.step(now, wallClockUs, events) }
        val baseResult = firstBaseResult ?: resultOf { base.step(now, wallClockUs, events) }
        comparison.steps++
        comparison.events += events.size
        if (presentResult is StepResult.Returned) comparison.effects += presentResult.effects.size
        differenceOf(baseResult, presentResult)?.let(::recordDifference)
        return when (presentResult) {
            is StepResult.Returned -> presentResult.effects
            is StepResult.Failed -> throw presentResult.cause
        }
    }

    private fun recordDifference(detail: String) {
        hasDiffered = true
        comparison.differences += Difference(comparison.day, name, step, detail, recentEvents.map { it.describe() })
    }

    private companion object {
        const val MAX_LOGGED_EVENTS = 30

        /** The status page reveals differences in an engine's state before they show in its calls. */
        const val STATUS_REQUEST_INTERVAL_STEPS = 50
        const val MALFORMED_INTERVAL_STEPS = 333
    }
}
