package mintpick.testing

import mintpick.core.Micros
import mintpick.core.SECOND
import mintpick.core.zoneCap
import mintpick.wire.JobKind
import mintpick.wire.JobSpec

/**
 * Checks that no task waits for more than 90 s while a machine has room for it and its team is below its limit. To be
 * started after the last fault. It is evaluated each second from the tasks that agents run, not from the controllers' records.
 */
class WaitingJobRule(
    private val cluster: SimulatedCluster,
    private val limits: Map<String, Double>,
) {
    /** Since when each waiting task could have run. */
    private val couldRunSince = HashMap<String, Micros>()
    private val rules get() = cluster.rules

    /** Evaluates the rule now and each second from then on. */
    fun watch() {
        evaluate()
        cluster.after(SECOND, ::watch)
    }

    private fun evaluate() {
        val free =
            cluster.agents.values
                .filter { cluster.now >= it.hangingUntilUs && !it.inboundLost }
                .associateWith(::freeCpus)
        val used = limits.mapValues { (team, _) -> rules.running.keys.sumOf { cpusOf(it, team) } }
        val runnable = HashSet<String>()
        for (job in rules.runnableJobs()) {
            val waiting = tasksOf(job).filter { !rules.isCompleted(it) && it !in rules.running }
            if (waiting.isNotEmpty() && couldRun(job, waiting.size, free, used)) runnable += waiting
        }
        couldRunSince.keys.retainAll(runnable)
        runnable.forEach { couldRunSince.putIfAbsent(it, cluster.now) }
        couldRunSince.filterValues { cluster.now - it > MAX_WAITING }.keys.forEach {
            rules.breaches += "left_waiting: $it since ${couldRunSince[it]}"
        }
    }

    private fun tasksOf(job: JobSpec) = (0 until job.tasks).map { "${job.id}/$it" }

    private fun specOf(task: String): JobSpec? = rules.spec(task.substringBeforeLast('/'))

    private fun cpusOf(
        task: String,
        team: String,
    ): Double = specOf(task)?.takeIf { it.team == team }?.cpus ?: 0.0

    private fun freeCpus(agent: SimulatedAgent): Double {
        val total = MACHINE_TYPES.first { it.name == agent.type }.cpus
        return total - rules.tasksOn(agent.id).sumOf { specOf(it)?.cpus ?: 0.0 }
    }

    /** Whether at least one of the [waiting] tasks could run now; a gang only as a whole. */
    private fun couldRun(
        job: JobSpec,
        waiting: Int,
        free: Map<SimulatedAgent, Double>,
        used: Map<String, Double>,
    ): Boolean {
        val minTasks = if (job.kind == JobKind.GANG) waiting else 1
        val limit = limits[job.team] ?: 0.0
        if (limit > 0 && (used[job.team] ?: 0.0) + minTasks * job.cpus > limit + EPSILON) return false
        val perZone =
            tasksOf(job)
                .mapNotNull { rules.running[it]?.zone }
                .groupingBy { it }
                .eachCount()
        val slots = HashMap<String, Int>()
        for ((agent, cpus) in free) {
            val allowed = (job.zone ?: agent.zone) == agent.zone && (job.spot || !agent.spot) && job.types.orEmpty().isEmpty()
            if (allowed) slots.merge(agent.zone, ((cpus + EPSILON) / job.cpus).toInt(), Int::plus)
        }
        return when {
            job.oneZone && perZone.isNotEmpty() -> (slots[perZone.keys.first()] ?: 0) >= minTasks
            job.oneZone -> slots.values.any { it >= minTasks }
            job.spread -> slots.any { (zone, count) -> count > 0 && (perZone[zone] ?: 0) < job.zoneCap }
            else -> slots.values.sum() >= minTasks
        }
    }

    private companion object {
        const val MAX_WAITING: Micros = 90 * SECOND
        const val EPSILON = 1e-6
    }
}
