package mintpick.differential

import mintpick.config.Operators
import mintpick.engine.Engine
import mintpick.testing.FleetLimits
import mintpick.testing.SampleJobs
import mintpick.testing.SimulatedCluster
import mintpick.testing.largeFleetToml
import mintpick.testing.playLargeFleetDay
import mintpick.testing.playRandomFaultDay
import mintpick.upgrade.EngineVersion
import mintpick.upgrade.RollingUpgrade
import mintpick.upgrade.UPGRADE_FAULT_RATES
import mintpick.upgrade.VersionedEngine
import mintpick.upgrade.playUpgradeDay
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Tag
import org.junit.jupiter.api.Test
import java.nio.file.Path
import java.util.SplittableRandom
import java.util.concurrent.ForkJoinPool

/** Makes a controller that draws from the random numbers it is given. */
private typealias ControllerFactory = (SplittableRandom) -> SimulatedCluster.Controller

/**
 * The engine of another commit and the present one get the same settings, seed and events, and must want the same done, byte by
 * byte. Not part of the ordinary run: `mvn test -Pdifferential -Dmintpick.base=COMMIT`.
 */
@Tag("differential")
class DifferentialTest {
    private val base by lazy { EngineVersion.of(System.getProperty("mintpick.base").orEmpty()) }

    /** The present engine, loaded as the other is: steps behind a loader of their own cost a third more for equal code. */
    private val loadedPresent by lazy { EngineVersion(Path.of("target/classes")) }

    private fun Comparison.compared(
        cluster: SimulatedCluster,
        node: SimulatedCluster.Node,
        toml: String,
        present: ControllerFactory = { SimulatedCluster.Controller(Engine(node.settings, Operators(), it)::step) },
    ): SimulatedCluster.Controller {
        val seed = cluster.random.nextLong()
        val earlier = VersionedEngine(base, toml, SplittableRandom(seed), baseCost)
        return ComparedController(earlier, present(SplittableRandom(seed)), this, begin(node.index))
    }

    /** The day's own breaches of rules are other tests' concern. */
    private fun randomFaultDay(seed: Long): Comparison {
        val comparison = Comparison("random fault day $seed")
        playRandomFaultDay(seed) { cluster ->
            cluster.controllerOf = { node -> comparison.compared(cluster, node, SampleJobs.toml(node.index)) }
        }
        return comparison
    }

    private fun upgradeDay(seed: Long): Comparison {
        val comparison = Comparison("upgrade day $seed")
        val roll =
            RollingUpgrade(
                seed,
                UPGRADE_FAULT_RATES,
            ) { cluster, node -> comparison.compared(cluster, node, RollingUpgrade.toml(node.index)) }
        playUpgradeDay(seed, roll)
        return comparison
    }

    private fun largeFleetDay(): Comparison {
        val comparison = Comparison("day of 1000 machines")
        val limits = FleetLimits(valueKb = 16, changesPerSecond = 25.0)
        playLargeFleetDay(1000, limits) { cluster ->
            cluster.controllerOf = { node ->
                val toml = largeFleetToml(node.index, limits)
                comparison.compared(cluster, node, toml) { VersionedEngine(loadedPresent, toml, it, comparison.presentCost) }
            }
        }
        return comparison
    }

    private fun assertSame(days: List<Comparison>) {
        println(summaryOf(days))
        val found = days.flatMap { it.differences }
        found.firstOrNull()?.let { println("first difference: ${it.report()}") }
        assertEquals(emptyList<String>(), found.map { "${it.day}, ${it.controller}, step ${it.step}" })
        assertTrue(days.all { it.effects > 0 }, "days without effects")
    }

    @Test
    fun `drawn days show no difference`() {
        val pool = ForkJoinPool(MOST_THREADS)
        val days =
            try {
                pool
                    .submit<List<Comparison>> {
                        (1L..DAYS)
                            .toList()
                            .parallelStream()
                            .map(::randomFaultDay)
                            .toList()
                    }.get()
            } finally {
                pool.shutdown()
            }
        assertTrue(days.sumOf { it.restarts } >= LEAST_RESTARTS, "${days.sumOf { it.restarts }} restarts")
        assertSame(days)
    }

    @Test
    fun `a day of an upgrade shows no difference`() = assertSame(listOf(upgradeDay(302)))

    @Test
    fun `a day of a thousand machines shows no difference, and what each engine's steps cost is told`() {
        val day = largeFleetDay()
        val earlier = day.baseCost.nanoseconds / NANOS_IN_MILLI
        val present = day.presentCost.nanoseconds / NANOS_IN_MILLI
        val ratio = "%.3f".format(present.toDouble() / earlier)
        println("differential: processor time of steps base_ms=$earlier present_ms=$present ratio=$ratio")
        assertSame(listOf(day))
    }

    private companion object {
        const val DAYS = 40L
        const val MOST_THREADS = 3
        const val LEAST_RESTARTS = 4
        const val NANOS_IN_MILLI = 1_000_000
    }
}
