package mintpick.differential

import mintpick.config.Operators
import mintpick.engine.Engine
import mintpick.testing.RandomFaultDay
import mintpick.testing.SampleJobs
import mintpick.testing.SimulatedCluster
import mintpick.testing.playRandomFaultDay
import mintpick.upgrade.EngineVersion
import mintpick.upgrade.VersionedEngine
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Tag
import org.junit.jupiter.api.Test

/**
 * Controllers of another commit and of the present sources share a state store, a cloud and machines, and no rule is broken.
 * A node switches versions whenever its process restarts, so each version continues from records that the other wrote.
 * Not part of the ordinary run: `mvn test -Pdifferential -Dmintpick.base=COMMIT`.
 */
@Tag("differential")
class MixedVersionsTest {
    private val base by lazy { EngineVersion.of(System.getProperty("mintpick.base").orEmpty()) }

    private class MixedDay(
        val day: RandomFaultDay,
        val baseProcesses: Int,
        val presentProcesses: Int,
    )

    private fun play(seed: Long): MixedDay {
        val processStarts = IntArray(NODES)
        var baseProcesses = 0
        var presentProcesses = 0
        val day =
            playRandomFaultDay(seed) { cluster ->
                cluster.controllerFactory = { node ->
                    val random = cluster.random.split()
                    val runsBase = (node.index + seed + processStarts[node.index]++) % 2 == 0L
                    if (runsBase) baseProcesses++ else presentProcesses++
                    if (runsBase) {
                        VersionedEngine(base, SampleJobs.toml(node.index), random)
                    } else {
                        SimulatedCluster.Controller(Engine(node.settings, Operators(), random)::step)
                    }
                }
            }
        return MixedDay(day, baseProcesses, presentProcesses)
    }

    @Test
    fun `controllers of two versions running side by side break no rule`() {
        val days = FIRST_SEED.until(FIRST_SEED + DAYS).map(::play)
        val taskStarts = days.sumOf { it.day.starts }
        val baseProcesses = days.sumOf { it.baseProcesses }
        val presentProcesses = days.sumOf { it.presentProcesses }
        println("mixed versions: days=${days.size} base=$baseProcesses present=$presentProcesses starts=$taskStarts")
        val daysWithBreaches = days.filter { it.day.breaches.isNotEmpty() }
        assertEquals(emptyList<String>(), daysWithBreaches.map { "seed ${it.day.seed} with ${it.day.faults}: ${it.day.breaches}" })
        assertTrue(days.all { it.baseProcesses > 0 && it.presentProcesses > 0 }, "both versions run on every day")
        assertTrue(taskStarts > MIN_TASK_STARTS, "$taskStarts task starts")
    }

    private companion object {
        const val NODES = 3
        const val FIRST_SEED = 501L
        const val DAYS = 12L
        const val MIN_TASK_STARTS = 300
    }
}
