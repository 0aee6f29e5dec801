package mintpick.differential

import mintpick.core.JobId
import mintpick.core.Micros
import mintpick.engine.runtime.Effect
import mintpick.engine.runtime.Event
import mintpick.engine.runtime.ReplyTo
import mintpick.testing.SimulatedCluster
import java.util.SplittableRandom

/**
 * Steps two engines with the same events and compares their effects; the cluster sees only what [present] does. From the first
 * difference of its life on, [base] is no longer stepped: it would get answers to calls that it never made.
 */
internal class ComparedController(
    private val base: SimulatedCluster.Controller,
    private val present: SimulatedCluster.Controller,
    private val comparison: Comparison,
    private val name: String,
) : SimulatedCluster.Controller {
    private class Logged(
        val step: Long,
        val now: Micros,
        val event: Event?,
    ) {
        fun shown() = "step $step at $now us: ${event?.shown() ?: "no events"}"
    }

    private val log = ArrayDeque<Logged>()
    private val order = SplittableRandom(name.hashCode().toLong())
    private var step = 0L
    private var differs = false

    override fun step(
        now: Micros,
        wallClockUs: Micros,
        events: List<Event>,
    ): List<Effect> {
        step++
        if (differs) return present.step(now, wallClockUs, events)
        val all = events + additionalEvents()
        note(now, all)
        return compared(now, wallClockUs, all)
    }

    /** What no simulated user or person on call sends: questions for the status page, and submissions that break the format. */
    private fun additionalEvents(): List<Event> =
        buildList {
            if (step % INSPECT_EVERY == 0L) add(Event.StatusRequest(ReplyTo { }))
            if (step % MALFORMED_EVERY == 0L) add(Event.Malformed(malformedId(), "tasks: missing", ReplyTo { }))
        }

    /** In turn of a job that was accepted and of one that never was. */
    private fun malformedId() = JobId(if (step / MALFORMED_EVERY % 2 == 0L) "req-000001" else "req-999999")

    private fun note(
        now: Micros,
        events: List<Event>,
    ) {
        if (events.isEmpty()) log += Logged(step, now, null) else events.forEach { log += Logged(step, now, it) }
        while (log.size > MOST_LOGGED) log.removeFirst()
    }

    private fun compared(
        now: Micros,
        wallClockUs: Micros,
        events: List<Event>,
    ): List<Effect> {
        // Whoever goes second finds the processor's caches warm. Drawn: some work comes in every second step only.
        val baseFirst = order.nextBoolean()
        val early = if (baseFirst) resultOf { base.step(now, wallClockUs, events) } else null
        val ours = resultOf { present.step(now, wallClockUs, events) }
        val theirs = early ?: resultOf { base.step(now, wallClockUs, events) }
        comparison.steps++
        comparison.events += events.size
        if (ours is StepResult.Returned) comparison.effects += ours.effects.size
        differenceOf(theirs, ours)?.let(::tell)
        return when (ours) {
            is StepResult.Returned -> ours.effects
            is StepResult.Failed -> throw ours.cause
        }
    }

    private fun tell(detail: String) {
        differs = true
        comparison.differences += Difference(comparison.day, name, step, detail, log.map { it.shown() })
    }

    private companion object {
        const val MOST_LOGGED = 30

        /** Its own account of itself shows where an engine's state differs before its calls do. */
        const val INSPECT_EVERY = 50
        const val MALFORMED_EVERY = 333
    }
}
