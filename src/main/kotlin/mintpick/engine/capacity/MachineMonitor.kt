package mintpick.engine.capacity

import mintpick.core.MILLI
import mintpick.core.Micros
import mintpick.engine.membership.ControllerHealth
import mintpick.engine.runtime.EngineContext

/**
 * Checks this controller's machines: those that do not respond, those with a notice of their termination, and those that are
 * borrowed. Event-loop thread only.
 */
class MachineMonitor(
    private val context: EngineContext,
    private val health: ControllerHealth,
    private val unresponsiveMachines: UnresponsiveMachines,
    private val terminationNoticeHandler: TerminationNoticeHandler,
    private val borrowedMachines: BorrowedMachines,
) {
    private var nextCheckUs: Micros = 0

    /** Makes the checks when they are due, unless this controller itself is unhealthy. */
    fun tick() {
        if (!health.isHealthy() || context.now < nextCheckUs) return
        nextCheckUs = context.now + CHECK_INTERVAL
        unresponsiveMachines.check()
        terminationNoticeHandler.drain()
        borrowedMachines.returnUnused()
    }

    private companion object {
        const val CHECK_INTERVAL: Micros = 250 * MILLI
    }
}
