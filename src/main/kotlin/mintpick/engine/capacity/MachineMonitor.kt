package mintpick.engine.capacity

import mintpick.core.MILLI
import mintpick.core.Micros
import mintpick.engine.membership.ControllerHealth
import mintpick.engine.runtime.EngineContext

/**
 * Periodically checks this controller's machines for unresponsive ones, ones with a termination notice, and unused borrowed
 * ones. Event-loop thread only.
 */
class MachineMonitor(
    private val context: EngineContext,
    private val health: ControllerHealth,
    private val unresponsiveMachines: UnresponsiveMachines,
    private val terminationNoticeHandler: TerminationNoticeHandler,
    private val borrowedMachines: BorrowedMachines,
) {
    private var nextCheckUs: Micros = 0

    /** Runs the checks when they are due, unless this controller itself is unhealthy. */
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
