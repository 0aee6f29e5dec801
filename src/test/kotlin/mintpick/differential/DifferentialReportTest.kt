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

/** The differential run sees a change of behaviour, says where it is, and sees none where there is none. */
class DifferentialReportTest {
    /** An engine whose effects [alter] changes in its first step from [from] on that has such as it wants. */
    private class Altered(
        private val engine: SimulatedCluster.Controller,
        private val from: Int,
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
            if (alteredIn != null || step < from) return effects
            return alter(effects)?.also { alteredIn = step } ?: effects
        }
    }

    private class Found(
        val comparison: Comparison,
        val altered: Altered,
    ) {
        /** What was found of the altered controller in the life in which it was altered. */
        val difference: Difference get() = comparison.differences.single()
    }

    private fun engine(
        node: SimulatedCluster.Node,
        seed: Long,
    ) = SimulatedCluster.Controller(Engine(node.settings, Operators(), SplittableRandom(seed))::step)

    /** A short drawn day on which the first life of one controller is altered. */
    private fun play(alter: (List<Effect>) -> List<Effect>?): Found {
        val comparison = Comparison("drawn day $SEED")
        lateinit var altered: Altered
        playRandomFaultDay(SEED) { cluster ->
            cluster.controllerOf = { node ->
                val seed = cluster.random.nextLong()
                val name = comparison.begin(node.index)
                val present = engine(node, seed)
                val shown = if (name == ALTERED) Altered(present, FROM, alter).also { altered = it } else present
                ComparedController(engine(node, seed), shown, comparison, name)
            }
        }
        return Found(comparison, altered)
    }

    /** Replaces the first effect that [change] applies to. */
    private inline fun <reified T : Effect> first(crossinline change: (T) -> List<Effect>): (List<Effect>) -> List<Effect>? =
        { effects ->
            val index = effects.indexOfFirst { it is T }
            if (index < 0) null else effects.take(index) + change(effects[index] as T) + effects.drop(index + 1)
        }

    private fun Call.with(
        path: String = this.path,
        body: ByteArray? = this.body,
        timeoutUs: Micros = this.timeoutUs,
    ) = Call(target, method, path, body, timeoutUs, contentType)

    private fun assertFound(
        detail: String,
        alter: (List<Effect>) -> List<Effect>?,
    ) {
        val found = play(alter)
        val difference = found.difference
        assertEquals(found.altered.alteredIn, difference.step, "the step that was altered")
        assertEquals(ALTERED, difference.controller)
        val report = difference.report()
        assertTrue("drawn day $SEED, $ALTERED, step ${difference.step}" in report, report)
        assertTrue(detail in report, report)
        assertTrue(difference.events.size in 2..30, report)
        assertTrue(difference.events.last().startsWith("step ${difference.step} at "), report)
        assertTrue(difference.events.first().startsWith("step "), report)
    }

    @Test
    fun `an engine beside its equal shows no difference`() {
        val found = play { null }
        assertEquals(emptyList<String>(), found.comparison.differences.map { it.report() })
        assertTrue(found.comparison.effects > 1000, "${found.comparison.effects} effects compared")
        assertTrue(found.comparison.events > 1000, "${found.comparison.events} events")
    }

    @Test
    fun `an answer that is not sent is found`() = assertFound("send to handle", first<Effect.Send> { emptyList() })

    @Test
    fun `a different status is found`() =
        assertFound("status=599", first<Effect.Send> { listOf(Effect.Send(it.reply, Answer(599, it.answer.body))) })

    @Test
    fun `a different path is found`() =
        assertFound("/elsewhere", first<Effect.Start> { listOf(Effect.Start(it.id, it.call.with(path = "/elsewhere"))) })

    @Test
    fun `a body that differs by one byte is found`() =
        assertFound(
            "body=",
            first<Effect.Start> {
                val body = (it.call.body ?: ByteArray(0)) + ' '.code.toByte()
                listOf(Effect.Start(it.id, it.call.with(body = body)))
            },
        )

    @Test
    fun `a timeout longer by a microsecond is found`() =
        assertFound(
            "timeout_us=",
            first<Effect.Start> { listOf(Effect.Start(it.id, it.call.with(timeoutUs = it.call.timeoutUs + 1))) },
        )

    @Test
    fun `two effects in the other order are found`() =
        assertFound("effect 1", { effects -> if (effects.size < 2) null else listOf(effects[1], effects[0]) + effects.drop(2) })

    @Test
    fun `what only one of them throws is found`() {
        val quiet = SimulatedCluster.Controller { _, _, _ -> emptyList() }
        val throwing = SimulatedCluster.Controller { _, _, _ -> error("planted") }
        val comparison = Comparison("by hand")
        assertEquals(emptyList<Effect>(), ComparedController(throwing, quiet, comparison, "node-0 life 1").step(1, 1, emptyList()))
        assertTrue("base:    threw java.lang.IllegalStateException: planted" in comparison.differences.single().report())
        val other = ComparedController(quiet, throwing, comparison, "node-0 life 2")
        assertEquals("planted", runCatching { other.step(1, 1, emptyList()) }.exceptionOrNull()?.message)
        assertTrue("present: threw java.lang.IllegalStateException: planted" in comparison.differences.last().report())
    }

    private companion object {
        const val SEED = 1L
        const val FROM = 400
        const val ALTERED = "node-1 life 1"
    }
}
