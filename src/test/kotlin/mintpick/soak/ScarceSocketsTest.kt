package mintpick.soak

import mintpick.core.Micros
import mintpick.core.SECOND
import org.junit.jupiter.api.Assertions.assertFalse
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test

/** Controllers as real processes that have fewer sockets than there are agents, as with 4,000 machines and 1,800 sockets. */
class ScarceSocketsTest {
    private val machines = Integer.getInteger("mintpick.machines", 600)
    private val size =
        SoakSize(
            machines = machines,
            jobs = 40,
            faultSpanUs = 45 * SECOND,
            settings = SoakSettings(heartbeatIntervalUs = 4 * SECOND, leaseUs = 18 * SECOND, cancelUs = 43 * SECOND, maxSockets = 270),
            fillingServices = machines / 20,
            observedUs = 20 * SECOND,
        )

    /** Agents held every socket of a controller, so that users, health checks and its own calls could not connect. */
    @Test
    fun `users are answered although agents outnumber the sockets and all controllers restart in series`() {
        val result = SoakRun(java.lang.Long.getLong("mintpick.first", 1), size, { targets, _ -> restartsInSeries(targets) }).play()
        println(result)
        assertFalse(result.hasFailed, result.toString())
        assertTrue(result.mostSockets <= size.settings.maxSockets, result.toString())
    }

    /** All end, then only one is left for a while, then all end once more and are back within a moment. */
    private fun restartsInSeries(targets: SoakTargets): List<ScheduledFault> {
        val controllers = targets.controllers
        return listOf(
            ends(controllers, atUs = SECOND, forUs = 3 * SECOND),
            ends(controllers.drop(1), atUs = 14 * SECOND, forUs = 14 * SECOND),
            ends(controllers.take(1), atUs = 30 * SECOND, forUs = 3 * SECOND),
            ends(controllers, atUs = 42 * SECOND, forUs = SECOND / 3),
        )
    }

    private fun ends(
        controllers: List<ControllerProcess>,
        atUs: Micros,
        forUs: Micros,
    ) = ScheduledFault(
        atUs,
        forUs,
        "${controllers.map { it.node }} end",
        { controllers.forEach { it.kill() } },
        { controllers.forEach { it.start() } },
    )
}
