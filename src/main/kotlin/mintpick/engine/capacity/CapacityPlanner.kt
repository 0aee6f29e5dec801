package mintpick.engine.capacity

import mintpick.core.CandidateMachine
import mintpick.core.Micros
import mintpick.core.SECOND
import mintpick.core.ScaleOutPlan
import mintpick.core.ScaleOutPlanner
import mintpick.core.isService
import mintpick.engine.runtime.EngineContext
import org.slf4j.LoggerFactory

/** The leader's capacity policy: decides which machines to rent and which idle ones to drain. Event-loop thread only. */
class CapacityPlanner(
    private val context: EngineContext,
    private val leaderStatus: LeaderStatus,
    private val demandForecast: DemandForecast,
    private val capacityView: CapacityView,
    private val idleMachineDrainer: IdleMachineDrainer,
    private val scaleOut: ScaleOut,
    private val scaleIn: ScaleIn,
) {
    private var nextPlanUs: Micros = 0
    private var nextLogUs: Micros = 0

    private val cache get() = context.cache

    /** Retries pending rentals, releases machines, and makes a new capacity plan when one is due. */
    fun tick() {
        if (!leaderStatus.isServing) return
        scaleOut.retryPending()
        scaleIn.tick()
        if (context.now < nextPlanUs) return
        nextPlanUs = context.now + PLAN_INTERVAL + PLAN_INTERVAL * cache.machines.size / MACHINES_PER_EXTRA_INTERVAL
        demandForecast.observe()
        idleMachineDrainer.update()
        scaleIn.drainFaulty()
        if (!mayPlan()) return
        logCapacity()
        execute(plan())
    }

    private fun mayPlan(): Boolean =
        leaderStatus.isActiveLeader && cache.machineTypes.isNotEmpty() && leaderStatus.servingForUs >= PLAN_DELAY_AFTER_LOAD

    private fun plan(): ScaleOutPlan {
        val planner = ScaleOutPlanner(cache.machineTypes, context.settings.zones, scaleOut::bootsSlowly, scaleOut::isAvailable)
        val candidates: List<CandidateMachine> = capacityView.candidates()
        val demands = demandForecast.waitingDemands(candidates) + demandForecast.expectedDemands()
        return planner.plan(candidates, demands.sortedBy { !it.spec.isService }, MAX_NEW_MACHINES)
    }

    private fun execute(plan: ScaleOutPlan) {
        // Largest counts first, because the cloud's rate limit allows few requests.
        plan.newMachines.entries
            .sortedByDescending { it.value }
            .forEach { (offer, count) -> scaleOut.request(offer, count, "demand") }
        if (plan.newMachines.isEmpty()) idleMachineDrainer.drainUnused(plan.unusedMachines)
    }

    /** Logs a summary of all machines for operators: one line for spot machines, one for on-demand machines. */
    private fun logCapacity() {
        if (context.now < nextLogUs) return
        nextLogUs = context.now + LOG_INTERVAL
        for (spot in listOf(true, false)) {
            val summary = capacityView.summary(spot)
            LOG.info(
                "capacity spot={} machines={} empty={} cpus={} used={} ended={} booting={} waiting={}",
                spot,
                summary.machines,
                summary.empty,
                summary.cpus,
                summary.usedCpus,
                summary.endedCpus,
                summary.booting,
                cache.jobs.sumOf { it.waitingCount },
            )
        }
    }

    private companion object {
        val LOG = LoggerFactory.getLogger(CapacityPlanner::class.java)
        const val LOG_INTERVAL: Micros = 20 * SECOND
        const val PLAN_INTERVAL: Micros = SECOND / 2

        /** Each time this number of machines is added, the time between two plans grows by [PLAN_INTERVAL]. */
        const val MACHINES_PER_EXTRA_INTERVAL = 1000
        const val PLAN_DELAY_AFTER_LOAD: Micros = SECOND

        /** The most machines that one plan rents. */
        const val MAX_NEW_MACHINES = 240
    }
}
