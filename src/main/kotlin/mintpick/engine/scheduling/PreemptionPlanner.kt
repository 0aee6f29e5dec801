package mintpick.engine.scheduling

import mintpick.config.Operators
import mintpick.core.AttemptId
import mintpick.core.Claimant
import mintpick.core.Contract
import mintpick.core.Job
import mintpick.core.JobId
import mintpick.core.MachineId
import mintpick.core.Micros
import mintpick.core.Occupant
import mintpick.core.Placer
import mintpick.core.PreemptionPolicy
import mintpick.core.Resources
import mintpick.core.Room
import mintpick.core.SECOND
import mintpick.core.demand
import mintpick.core.isProduction
import mintpick.core.zoneCap
import mintpick.engine.agents.AgentRegistry
import mintpick.engine.agents.CommandPlanner
import mintpick.engine.membership.ShardClaims
import mintpick.engine.runtime.EngineContext
import mintpick.wire.StoredStage
import org.slf4j.LoggerFactory

/** Makes room for requests that are owed it by stopping what yields to them. */
class PreemptionPlanner(
    private val context: EngineContext,
    private val shardClaims: ShardClaims,
    private val agents: AgentRegistry,
    private val commandPlanner: CommandPlanner,
    private val usageAccounting: UsageAccounting,
    private val operators: Operators,
) {
    private class Choice(
        val machine: MachineId,
        val victims: List<AttemptId>,
        val lostUs: Double,
    )

    private val quietUntil = HashMap<JobId, Micros>()
    private val machineQuietUntil = HashMap<MachineId, Micros>()

    /** When this controller first saw an assignment: the start of its protected window at the latest. */
    private val seenSince = HashMap<AttemptId, Micros>()

    private val cache get() = context.cache

    fun tick(touched: Collection<MachineId>) {
        for (machine in touched) {
            for ((task, attempt) in cache.tasksOn(machine)) seenSince.putIfAbsent(AttemptId(task, attempt), context.now)
        }
        if (seenSince.size > cleanAbove) {
            seenSince.keys.removeIf { cache.job(it.task.job)?.placement(it.task.index)?.attempt != it.attempt }
            cleanAbove = maxOf(CLEAN_ABOVE, seenSince.size * 2)
        }
        if (quietUntil.size > CLEAN_ABOVE) quietUntil.values.removeIf { it < context.now }
    }

    private var cleanAbove = CLEAN_ABOVE

    /** Looks for room on a sample of [among] for tasks of [job] that wait in vain. */
    fun seek(
        job: Job,
        among: Placer.Rooms,
        perZone: Map<String, Int>,
    ) {
        if (!job.spec.isProduction && !usageAccounting.isFunded(job.id)) return
        if (context.now < (quietUntil[job.id] ?: 0)) return
        quietUntil[job.id] = context.now + PAUSE
        val claimant =
            Claimant(
                job.spec.team,
                job.spec.priority,
                usageAccounting.isFunded(job.id),
                usageAccounting.isOverShare(job.spec.team),
            )
        val counts = HashMap(perZone)
        val rooms = among.some(context.random, SAMPLE)
        repeat(minOf(job.waiting, MAX_AT_ONCE)) {
            val choice =
                rooms
                    .filter { Placer.allowed(job.spec, it.type, it.zone, it.spot) && (counts[it.zone] ?: 0) < job.spec.zoneCap }
                    .filter { context.now >= (machineQuietUntil[it.machine] ?: 0) }
                    .mapNotNull { choose(it, job.spec.demand, claimant) }
                    .minByOrNull { it.lostUs } ?: return
            rooms.first { it.machine == choice.machine }.let { counts.merge(it.zone, 1, Int::plus) }
            stop(job, choice)
        }
    }

    private fun choose(
        room: Room,
        demand: Resources,
        claimant: Claimant,
    ): Choice? {
        var free = room.free
        val victims = ArrayList<AttemptId>()
        var lost = 0.0
        val candidates =
            cache
                .tasksOn(room.machine)
                .map { AttemptId(it.key, it.value) }
                .filter { it !in commandPlanner.stopping && yields(it, claimant) }
                .sortedByDescending { seenSince[it] ?: context.now }
        for (victim in candidates) {
            if (demand.fits(free)) break
            val spec = cache.job(victim.task.job)?.spec ?: continue
            free += spec.demand
            victims += victim
            lost += (context.now - (seenSince[victim] ?: context.now)).toDouble() * spec.cpus
        }
        return if (demand.fits(free) && victims.isNotEmpty()) Choice(room.machine, victims, lost) else null
    }

    private fun yields(
        attempt: AttemptId,
        claimant: Claimant,
    ): Boolean {
        val job = cache.job(attempt.task.job) ?: return false
        if (job.stage != StoredStage.OPEN) return false
        val spec = job.spec
        val type = cache.machines[job.placement(attempt.task.index)?.machine]?.record?.type
        val fetch =
            cache.types[type]
                ?.fetchGbPerS
                ?.takeIf { it > 0 }
                ?.let { (spec.imageGb / it * SECOND).toLong() } ?: 0
        val window = Contract.minimumRuntime(spec, fetch, operators.minimumRuntimeCapUs)
        val expired = context.now - (seenSince[attempt] ?: context.now) > window
        val over = usageAccounting.isOverShare(spec.team)
        return PreemptionPolicy.yields(Occupant(spec.team, spec.priority, usageAccounting.isFunded(job.id), expired, over), claimant)
    }

    private fun stop(
        job: Job,
        choice: Choice,
    ) {
        machineQuietUntil[choice.machine] = context.now + MACHINE_PAUSE
        if (!shardClaims.controls(choice.machine)) {
            // The leader may stop tasks only on what it commands; once it is borrowed the job asks again.
            shardClaims.borrow(listOf(choice.machine), agents::push)
            quietUntil.remove(job.id)
            return
        }
        LOG.info("preempt for={} machine={} victims={} reason=owed", job.id.text, choice.machine.text, choice.victims.map { it.task })
        choice.victims.forEach { commandPlanner.stopping[it] = "preempted" }
        agents.push(choice.machine)
    }

    companion object {
        private val LOG = LoggerFactory.getLogger(PreemptionPlanner::class.java)
        private const val PAUSE: Micros = SECOND
        private const val MACHINE_PAUSE: Micros = SECOND / 2
        private const val MAX_AT_ONCE = 4
        private const val SAMPLE = 48
        private const val CLEAN_ABOVE = 5_000
    }
}
