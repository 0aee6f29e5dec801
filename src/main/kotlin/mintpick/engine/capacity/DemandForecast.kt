package mintpick.engine.capacity

import mintpick.config.Operators
import mintpick.core.CandidateMachine
import mintpick.core.CapacityDemand
import mintpick.core.Job
import mintpick.core.TeamQuota
import mintpick.core.isService
import mintpick.engine.runtime.EngineContext
import mintpick.engine.scheduling.Scheduler
import mintpick.wire.JobSpec
import mintpick.wire.StoredStage
import kotlin.math.ceil

/** Computes the demand for capacity from waiting jobs and from the recent history of each job class. Event-loop thread only. */
class DemandForecast(
    private val context: EngineContext,
    private val scheduler: Scheduler,
    private val operators: Operators,
) {
    private val classes = LinkedHashMap<String, ClassDemand>()

    /** Shortest time, in seconds, in which the settings' objectives require jobs of a class to finish. */
    private val finishWithinS: Map<String?, Double> =
        context.settings.objectives
            .filter { it.kind == "finished" && it.withinS > 0 }
            .groupBy { it.jobClass }
            .mapValues { (_, objectives) -> objectives.minOf { it.withinS } }

    private val cache get() = context.cache

    /** Adds a demand sample for each job class. */
    fun observe() {
        val tasksByClass = HashMap<String, Int>()
        val quota = scheduler.teamQuota()
        for (job in cache.jobs) {
            if (job.stage != StoredStage.OPEN) continue
            val jobClass = job.spec.jobClass
            classes.getOrPut(jobClass) { ClassDemand(job.spec) }.observeJob(job.spec)
            tasksByClass.merge(jobClass, takeRunnableTasks(job, quota) + job.placedCount, Int::plus)
        }
        for ((name, classDemand) in classes) {
            classDemand.addSample(DemandSample(context.now, tasksByClass[name] ?: 0), operators.batchMemoryUs)
        }
    }

    /**
     * Counts the tasks of [job] that additional machines would help, and deducts them from [quota]. Tasks blocked by the team's
     * limit, or failing on every machine, do not count.
     */
    private fun takeRunnableTasks(
        job: Job,
        quota: TeamQuota,
    ): Int {
        val count = minOf(scheduler.startableTasks(job), quota.remainingTasks(job.spec))
        quota.reserve(job.spec, count)
        return count
    }

    /**
     * Demands of waiting jobs, in the scheduler's order. Work that may run on spot machines may also get on-demand machines
     * if the spot machines among [candidates] would take too long for the queue: longer than a fraction of the time in which its
     * class should finish.
     */
    fun waitingDemands(candidates: List<CandidateMachine>): List<CapacityDemand> {
        val spotCpus = candidates.filter { it.spot }.sumOf { it.total.cpus }
        val quota = scheduler.teamQuota()
        var queuedCpuSeconds = 0.0
        val demands = ArrayList<CapacityDemand>()
        for (job in scheduler.inQueueOrder(cache.waitingJobs())) {
            val spec = job.spec
            // Tasks blocked by the team's limit count too, because they will need machine time later.
            queuedCpuSeconds += scheduler.startableTasks(job) * spec.cpus * spec.estimateS
            val count = takeRunnableTasks(job, quota)
            if (count == 0) continue
            val spotOnly = scheduler.isSpotOnly(job)
            val queuesTooLong = queuedCpuSeconds > maxQueueTimeS(spec) * spotCpus
            demands +=
                CapacityDemand(
                    spec,
                    count,
                    scheduler.tasksPerZone(job),
                    mayRentOnDemand = !spotOnly && queuesTooLong,
                    spotOnly = spotOnly,
                    excludedMachines = scheduler.excludedMachines(job),
                )
        }
        return aggregateDemands(demands).take(MAX_DEMANDS)
    }

    /** Seconds that work of the class of [spec] may queue for spot machines. */
    private fun maxQueueTimeS(spec: JobSpec): Double = (finishWithinS[spec.jobClass] ?: DEFAULT_FINISH_WITHIN_S) * operators.queuePart

    /** Expected future demand: up to the recent peak for batch classes, and spare replicas in each zone for services. */
    fun expectedDemands(): List<CapacityDemand> =
        classes.values.mapNotNull { if (it.spec.isService) expectedReplicas(it) else expectedBatch(it) }

    private fun expectedReplicas(classDemand: ClassDemand): CapacityDemand {
        val headroom = ceil(classDemand.currentTasks * operators.serviceHeadroom).toInt()
        val count = maxOf(classDemand.largestJobTasks, headroom) * 2
        val spec = classDemand.spec.copy(tasks = count, spread = context.settings.zones.size > 1, zone = null)
        return CapacityDemand(spec, count)
    }

    private fun expectedBatch(classDemand: ClassDemand): CapacityDemand? {
        val count = ceil(classDemand.peakTasks * operators.batchHeadroom).toInt() - classDemand.currentTasks
        if (count <= 0) return null
        val spec = classDemand.spec.copy(spread = false, oneZone = false)
        return CapacityDemand(spec, count, mayRentOnDemand = false, spotOnly = true)
    }

    private companion object {
        /** Maximum number of waiting demands in one plan. */
        const val MAX_DEMANDS = 200
        const val DEFAULT_FINISH_WITHIN_S = 60.0
    }
}
