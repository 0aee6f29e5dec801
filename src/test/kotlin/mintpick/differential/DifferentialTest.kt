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

/** Creates a controller that uses the given random number generator. */
private typealias ControllerFactory = (SplittableRandom) -> SimulatedCluster.Controller

/**
 * The engines of another commit and of the present sources get the same settings, seed and events, and must return the same
 * effects, byte by byte. Not part of the ordinary run: `mvn test -Pdifferential -Dmintpick.base=COMMIT`.
 */
@Tag("differential")
class DifferentialTest {
    private val base by lazy { EngineVersion.of(System.getProperty("mintpick.base").orEmpty()) }

    /** The present version in a separate class loader like [base], because that alone raises the CPU time of steps by a third. */
    private val presentVersion by lazy { EngineVersion(Path.of("target/classes")) }

    private fun Comparison.newController(
        cluster: SimulatedCluster,
        node: SimulatedCluster.Node,
        toml: String,
        newPresentController: ControllerFactory = { SimulatedCluster.Controller(Engine(node.settings, Operators(), it)::step) },
    ): SimulatedCluster.Controller {
        val seed = cluster.random.nextLong()
        val baseController = VersionedEngine(base, toml, SplittableRandom(seed), baseCpuTime)
        return ComparedController(baseController, newPresentController(SplittableRandom(seed)), this, nextControllerName(node.index))
    }

    /** Ignores broken rules of the day, which other tests check. */
    private fun randomFaultDay(seed: Long): Comparison {
        val comparison = Comparison("random fault day $seed")
        playRandomFaultDay(seed) { cluster ->
            cluster.controllerFactory = { node -> comparison.newController(cluster, node, SampleJobs.toml(node.index)) }
        }
        return comparison
    }

    private fun upgradeDay(seed: Long): Comparison {
        val comparison = Comparison("upgrade day $seed")
        val upgrade =
            RollingUpgrade(
                seed,
                UPGRADE_FAULT_RATES,
            ) { cluster, node -> comparison.newController(cluster, node, RollingUpgrade.toml(node.index)) }
        playUpgradeDay(seed, upgrade)
        return comparison
    }

    private fun largeFleetDay(): Comparison {
        val comparison = Comparison("day of 1000 machines")
        val limits = FleetLimits(valueKb = 16, changesPerSecond = 25.0)
        playLargeFleetDay(1000, limits) { cluster ->
            cluster.controllerFactory = { node ->
                val toml = largeFleetToml(node.index, limits)
                comparison.newController(cluster, node, toml) { VersionedEngine(presentVersion, toml, it, comparison.presentCpuTime) }
            }
        }
        return comparison
    }

    private fun assertNoDifferences(days: List<Comparison>) {
        println(summaryOf(days))
        val differences = days.flatMap { it.differences }
        differences.firstOrNull()?.let { println("first difference: ${it.report()}") }
        assertEquals(emptyList<String>(), differences.map { "${it.day}, ${it.controller}, step ${it.step}" })
        assertTrue(days.all { it.effects > 0 }, "every day has effects")
    }

    @Test
    fun `random fault days show no difference`() {
        val pool = ForkJoinPool(MAX_THREADS)
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
        assertTrue(days.sumOf { it.restarts } >= MIN_RESTARTS, "${days.sumOf { it.restarts }} restarts")
        assertNoDifferences(days)
    }

    @Test
    fun `an upgrade day shows no difference`() = assertNoDifferences(listOf(upgradeDay(302)))

    @Test
    fun `a day of 1000 machines shows no difference and prints the CPU time of each engine's steps`() {
        val day = largeFleetDay()
        val baseMs = day.baseCpuTime.nanoseconds / NANOS_PER_MILLI
        val presentMs = day.presentCpuTime.nanoseconds / NANOS_PER_MILLI
        val ratio = "%.3f".format(presentMs.toDouble() / baseMs)
        println("differential: processor time of steps base_ms=$baseMs present_ms=$presentMs ratio=$ratio")
        assertNoDifferences(listOf(day))
    }

    private companion object {
        const val DAYS = 40L
        const val MAX_THREADS = 3
        const val MIN_RESTARTS = 4
        const val NANOS_PER_MILLI = 1_000_000
    }
}
