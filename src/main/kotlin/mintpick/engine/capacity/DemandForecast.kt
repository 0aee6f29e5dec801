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

/** The demand for capacity: of the jobs that wait, and of those that are expected. Event-loop thread only. */
class DemandForecast(
    private val context: EngineContext,
    private val scheduler: Scheduler,
    private val operators: Operators,
) {
    private val classes = LinkedHashMap<String, ClassDemand>()

    /** Seconds within which the settings expect jobs of a class to be finished, at the tightest. */
    private val finishWithinS: Map<String?, Double> =
        context.settings.objectives
            .filter { it.kind == "finished" && it.withinS > 0 }
            .groupBy { it.jobClass }
            .mapValues { (_, objectives) -> objectives.minOf { it.withinS } }

    private val cache get() = context.cache

    /** Takes a sample of each class of jobs. */
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
     * Tasks of [job] that more machines would help: neither held back by its team's limit nor failing wherever they run.
     * They are taken from [quota].
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
     * What waits, in the scheduler's order. Work that may use spot machines is worth on-demand ones when the spot machines
     * among [rooms] would need too long for what waits: longer than a part of what its class is expected to take altogether.
     */
    fun waitingDemands(candidates: List<CandidateMachine>): List<CapacityDemand> {
        val spotCpus = candidates.filter { it.spot }.sumOf { it.total.cpus }
        val quota = scheduler.teamQuota()
        var queuedCpuSeconds = 0.0
        val demands = ArrayList<CapacityDemand>()
        for (job in scheduler.inQueueOrder(cache.waitingJobs())) {
            val spec = job.spec
            // What its team's limit holds back now takes its time on the machines all the same.
            queuedCpuSeconds += scheduler.startableTasks(job) * spec.cpus * spec.estimateS
            val count = takeRunnableTasks(job, quota)
            if (count == 0) continue
            val keepsToSpot = scheduler.isSpotOnly(job)
            val queuesTooLong = queuedCpuSeconds > maxQueueTimeS(spec) * spotCpus
            demands += CapacityDemand(spec, count, scheduler.tasksPerZone(job), !keepsToSpot && queuesTooLong, keepsToSpot)
        }
        return aggregateDemands(demands).take(MAX_DEMANDS)
    }

    /** Seconds that work of the class may queue for spot machines. */
    private fun maxQueueTimeS(spec: JobSpec): Double = (finishWithinS[spec.jobClass] ?: DEFAULT_FINISH_WITHIN_S) * operators.queuePart

    /** What has not come yet: like the recent peak for batch work, some spare replicas in each zone for services. */
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
        /** The most demands that one plan considers. */
        const val MAX_DEMANDS = 200
        const val DEFAULT_FINISH_WITHIN_S = 60.0
    }
}
