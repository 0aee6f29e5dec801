package mintpick.differential

import mintpick.config.Operators
import mintpick.core.Micros
import mintpick.engine.Engine
import mintpick.engine.runtime.Effect
import mintpick.engine.runtime.Event
import mintpick.net.Answer
import mintpick.net.Call
import mintpick.testing.SimulatedCluster
import mintpick.testing.playRandomFaultDay
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import java.util.SplittableRandom

/** The differential test detects changed behaviour, reports the step in which it occurs and reports nothing for equal engines. */
class DifferentialReportTest {
    /** An engine whose effects are changed once: in the first step from [firstStep] on for which [alter] returns a result. */
    private class AlteredEngine(
        private val engine: SimulatedCluster.Controller,
        private val firstStep: Int,
        private val alter: (List<Effect>) -> List<Effect>?,
    ) : SimulatedCluster.Controller {
        private var step = 0L
        var alteredIn: Long? = null
            private set

        override fun step(
            now: Micros,
            wallClockUs: Micros,
            events: List<Event>,
        ): List<Effect> {
            step++
            val effects = engine.step(now, wallClockUs, events)
            if (alteredIn != null || step < firstStep) return effects
            return alter(effects)?.also { alteredIn = step } ?: effects
        }
    }

    private class AlteredDay(
        val comparison: Comparison,
        val altered: AlteredEngine,
    ) {
        /** The only difference of the day, which must be that of the altered controller. */
        val difference: Difference get() = comparison.differences.single()
    }

    private fun engine(
        node: SimulatedCluster.Node,
        seed: Long,
    ) = SimulatedCluster.Controller(Engine(node.settings, Operators(), SplittableRandom(seed))::step)

    /** Plays a random fault day on which one controller is altered from its first start until it restarts. */
    private fun play(alter: (List<Effect>) -> List<Effect>?): AlteredDay {
        val comparison = Comparison("random fault day $SEED")
        lateinit var altered: AlteredEngine
        playRandomFaultDay(SEED) { cluster ->
            cluster.controllerFactory = { node ->
                val seed = cluster.random.nextLong()
                val name = comparison.nextControllerName(node.index)
                val present = engine(node, seed)
                val presentOrAltered =
                    if (name == ALTERED_CONTROLLER) {
                        AlteredEngine(present, FIRST_ALTERED_STEP, alter).also { altered = it }
                    } else {
                        present
                    }
                ComparedController(engine(node, seed), presentOrAltered, comparison, name)
            }
        }
        return AlteredDay(comparison, altered)
    }

    /** Replaces the first effect of type [T] by the result of [change]. */
    private inline fun <reified T : Effect> alterFirst(crossinline change: (T) -> List<Effect>): (List<Effect>) -> List<Effect>? =
        { effects ->
            val index = effects.indexOfFirst { it is T }
            if (index < 0) null else effects.take(index) + change(effects[index] as T) + effects.drop(index + 1)
        }

    private fun Call.with(
        path: String = this.path,
        body: ByteArray? = this.body,
        timeoutUs: Micros = this.timeoutUs,
    ) = Call(target, method, path, body, timeoutUs, contentType)

    private fun assertReported(
        detail: String,
        alter: (List<Effect>) -> List<Effect>?,
    ) {
        val day = play(alter)
        val difference = day.difference
        assertEquals(day.altered.alteredIn, difference.step, "reported step is the altered step")
        assertEquals(ALTERED_CONTROLLER, difference.controller)
        val report = difference.report()
        assertTrue("random fault day $SEED, $ALTERED_CONTROLLER, step ${difference.step}" in report, report)
        assertTrue(detail in report, report)
        assertTrue(difference.events.size in 2..30, report)
        assertTrue(difference.events.last().startsWith("step ${difference.step} at "), report)
        assertTrue(difference.events.first().startsWith("step "), report)
    }

    @Test
    fun `equal engines show no difference`() {
        val day = play { null }
        assertEquals(emptyList<String>(), day.comparison.differences.map { it.report() })
        assertTrue(day.comparison.effects > 1000, "${day.comparison.effects} effects compared")
        assertTrue(day.comparison.events > 1000, "${day.comparison.events} events compared")
    }

    @Test
    fun `a missing answer is reported`() = assertReported("send to handle", alterFirst<Effect.Send> { emptyList() })

    @Test
    fun `a different status is reported`() =
        assertReported("status=599", alterFirst<Effect.Send> { listOf(Effect.Send(it.reply, Answer(599, it.answer.body))) })

    @Test
    fun `a different path is reported`() =
        assertReported("/elsewhere", alterFirst<Effect.Start> { listOf(Effect.Start(it.id, it.call.with(path = "/elsewhere"))) })

    @Test
    fun `a body that differs by one byte is reported`() =
        assertReported(
            "body=",
            alterFirst<Effect.Start> {
                val body = (it.call.body ?: ByteArray(0)) + ' '.code.toByte()
                listOf(Effect.Start(it.id, it.call.with(body = body)))
            },
        )

    @Test
    fun `a timeout longer by a microsecond is reported`() =
        assertReported(
            "timeout_us=",
            alterFirst<Effect.Start> { listOf(Effect.Start(it.id, it.call.with(timeoutUs = it.call.timeoutUs + 1))) },
        )

    @Test
    fun `two effects in reverse order are reported`() =
        assertReported("effect 1", { effects -> if (effects.size < 2) null else listOf(effects[1], effects[0]) + effects.drop(2) })

    @Test
    fun `an exception thrown by only one engine is reported`() {
        val idle = SimulatedCluster.Controller { _, _, _ -> emptyList() }
        val throwing = SimulatedCluster.Controller { _, _, _ -> error("injected failure") }
        val comparison = Comparison("by hand")
        assertEquals(emptyList<Effect>(), ComparedController(throwing, idle, comparison, "node-0 life 1").step(1, 1, emptyList()))
        assertTrue("base:    threw java.lang.IllegalStateException: injected failure" in comparison.differences.single().report())
        val presentThrows = ComparedController(idle, throwing, comparison, "node-0 life 2")
        assertEquals("injected failure", runCatching { presentThrows.step(1, 1, emptyList()) }.exceptionOrNull()?.message)
        assertTrue("present: threw java.lang.IllegalStateException: injected failure" in comparison.differences.last().report())
    }

    private companion object {
        const val SEED = 1L
        const val FIRST_ALTERED_STEP = 400
        const val ALTERED_CONTROLLER = "node-1 life 1"
    }
}
