package mintpick.soak

import org.junit.jupiter.api.Assertions.assertFalse
import org.junit.jupiter.api.Test
import java.util.concurrent.Executors

/**
 * Controllers as real processes under random faults. The ordinary test run plays one fixed seed; `mvn test -Psoak` plays 50, or as many
 * as `-Dmintpick.soaks=` sets, from `-Dmintpick.first=` on, every fifth with seven controllers and 250 machines, and every fifth with more
 * agents than sockets.
 */
class SoakTest {
    @Test
    fun `real processes keep every rule under random faults, and answer when all is quiet`() {
        val first = java.lang.Long.getLong("mintpick.first", 1)
        val count = Integer.getInteger("mintpick.soaks", 1)
        val results = playAll(first until first + count)
        val failed = results.filter { it.hasFailed }
        println("soak runs: ${results.size}, failed: ${failed.size}")
        assertFalse(failed.isNotEmpty(), failed.joinToString("\n"))
    }

    private fun playAll(seeds: LongRange): List<SoakResult> {
        val threads = Executors.newFixedThreadPool(Integer.getInteger("mintpick.soakThreads", 1))
        try {
            val runs = seeds.map { seed -> threads.submit<SoakResult> { SoakRun(seed, sizeOf(seed)).play().also(::println) } }
            return runs.map { it.get() }
        } finally {
            threads.shutdownNow()
        }
    }

    private fun sizeOf(seed: Long): SoakSize =
        when (seed % KINDS) {
            0L -> SoakSize(controllers = 7, machines = 250, jobs = 80, faults = 10, taskFactor = 8)
            3L -> SoakSize(machines = 350, jobs = 40, settings = SoakSettings(maxSockets = 160), fillingServices = 20)
            else -> SoakSize()
        }

    private companion object {
        const val KINDS = 5L
    }
}
