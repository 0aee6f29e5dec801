package mintpick.testing

import mintpick.core.Micros
import mintpick.core.SECOND
import mintpick.core.zoneCap
import mintpick.wire.JobKind
import mintpick.wire.JobSpec

/**
 * Once the faults are over, no task is left waiting for 90 s while a machine that fits has room and its team is under
 * its limit. All of this is judged each second by what runs where, not by the controllers' records.
 */
class WaitingJobRule(
    private val cluster: SimulatedCluster,
    private val limits: Map<String, Double>,
) {
    /** Since when each task that waits could have run. */
    private val couldRunSince = HashMap<String, Micros>()
    private val rules get() = cluster.rules

    fun watch() {
        look()
        cluster.after(SECOND, ::watch)
    }

    private fun look() {
        val free =
            cluster.workers.values
                .filter { cluster.now >= it.hangingUntilUs && !it.deaf }
                .associateWith(::freeOn)
        val used = limits.mapValues { (team, _) -> rules.running.keys.sumOf { cpusOf(it, team) } }
        val able = HashSet<String>()
        for (job in rules.wanted()) {
            val waiting = tasksOf(job).filter { !rules.isCompleted(it) && it !in rules.running }
            if (waiting.isNotEmpty() && couldRun(job, waiting.size, free, used)) able += waiting
        }
        couldRunSince.keys.retainAll(able)
        able.forEach { couldRunSince.putIfAbsent(it, cluster.now) }
        couldRunSince.filterValues { cluster.now - it > LONGEST }.keys.forEach {
            rules.breaches += "left_waiting: $it since ${couldRunSince[it]}"
        }
    }

    private fun tasksOf(job: JobSpec) = (0 until job.tasks).map { "${job.id}/$it" }

    private fun specOf(task: String): JobSpec? = rules.spec(task.substringBeforeLast('/'))

    private fun cpusOf(
        task: String,
        team: String,
    ): Double = specOf(task)?.takeIf { it.team == team }?.cpus ?: 0.0

    private fun freeOn(worker: SimulatedAgent): Double {
        val total = MACHINE_TYPES.first { it.name == worker.type }.cpus
        return total - rules.attemptsOn(worker.id).sumOf { specOf(it)?.cpus ?: 0.0 }
    }

    /** Whether at least one of the tasks that wait could run now; a gang only as a whole. */
    private fun couldRun(
        job: JobSpec,
        waiting: Int,
        free: Map<SimulatedAgent, Double>,
        used: Map<String, Double>,
    ): Boolean {
        val least = if (job.kind == JobKind.GANG) waiting else 1
        val limit = limits[job.team] ?: 0.0
        if (limit > 0 && (used[job.team] ?: 0.0) + least * job.cpus > limit + EPSILON) return false
        val perZone =
            tasksOf(job)
                .mapNotNull { rules.running[it]?.zone }
                .groupingBy { it }
                .eachCount()
        val room = HashMap<String, Int>()
        for ((worker, cpus) in free) {
            val allowed = (job.zone ?: worker.zone) == worker.zone && (job.spot || !worker.spot) && job.types.orEmpty().isEmpty()
            if (allowed) room.merge(worker.zone, ((cpus + EPSILON) / job.cpus).toInt(), Int::plus)
        }
        return when {
            job.oneZone && perZone.isNotEmpty() -> (room[perZone.keys.first()] ?: 0) >= least
            job.oneZone -> room.values.any { it >= least }
            job.spread -> room.any { (zone, count) -> count > 0 && (perZone[zone] ?: 0) < job.zoneCap }
            else -> room.values.sum() >= least
        }
    }

    private companion object {
        const val LONGEST: Micros = 90 * SECOND
        const val EPSILON = 1e-6
    }
}
