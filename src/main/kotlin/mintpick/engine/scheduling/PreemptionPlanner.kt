package mintpick.engine.scheduling

import mintpick.config.Operators
import mintpick.core.AttemptId
import mintpick.core.CandidateMachine
import mintpick.core.Candidates
import mintpick.core.FundingPolicy
import mintpick.core.Job
import mintpick.core.JobId
import mintpick.core.MachineId
import mintpick.core.Micros
import mintpick.core.Placer
import mintpick.core.PreemptionPolicy
import mintpick.core.PreemptionReason
import mintpick.core.Preemptor
import mintpick.core.Resources
import mintpick.core.RunningTask
import mintpick.core.SECOND
import mintpick.core.demand
import mintpick.core.isProduction
import mintpick.core.zoneCap
import mintpick.engine.agents.AgentRegistry
import mintpick.engine.agents.CommandPlanner
import mintpick.engine.membership.ShardClaims
import mintpick.engine.runtime.EngineContext
import mintpick.wire.JobSpec
import mintpick.wire.StoredStage
import org.slf4j.LoggerFactory

/**
 * Frees capacity for jobs that are entitled to it by their team's guarantee or their priority, by preempting the tasks that
 * [PreemptionPolicy] allows. Of a sample of machines, chooses the one on which the least work is lost. Event-loop thread only.
 */
class PreemptionPlanner(
    private val context: EngineContext,
    private val shardClaims: ShardClaims,
    private val agents: AgentRegistry,
    private val commandPlanner: CommandPlanner,
    private val usageAccounting: UsageAccounting,
    private val operators: Operators,
) {
    private class Victim(
        val attempt: AttemptId,
        val reason: PreemptionReason,
    )

    /** The tasks to preempt on one machine to free capacity for one task. */
    private class Plan(
        val candidate: CandidateMachine,
        val victims: List<Victim>,
        val lostCpuMicros: Double,
    )

    private val placementAges = PlacementAges(context)

    /** When preemption for a job may be attempted again. */
    private val jobCooldownUntilUs = HashMap<JobId, Micros>()

    /** When tasks on a machine may be preempted again. */
    private val machineCooldownUntilUs = HashMap<MachineId, Micros>()
    private val cache get() = context.cache

    /** Records new placements on [changedMachines]. */
    fun tick(changedMachines: Collection<MachineId>) {
        placementAges.observe(changedMachines)
        if (jobCooldownUntilUs.size > CLEANUP_THRESHOLD) jobCooldownUntilUs.values.removeIf { it < context.now }
    }

    /**
     * Preempts tasks for [job], which found no free capacity, as far as the job is entitled to it. Each call frees capacity for a
     * few tasks, on a sample of [candidates]. [tasksPerZone] is the number of placed tasks of the job in each zone.
     */
    fun preemptFor(
        job: Job,
        candidates: Candidates,
        tasksPerZone: Map<String, Int>,
    ) {
        if (!job.spec.isProduction && !usageAccounting.isFunded(job.id)) return
        if (context.now < (jobCooldownUntilUs[job.id] ?: 0)) return
        jobCooldownUntilUs[job.id] = context.now + JOB_COOLDOWN
        val preemptor = preemptorOf(job)
        val zoneCounts = HashMap(tasksPerZone)
        val sample = candidates.sample(context.random, SAMPLED_MACHINES)
        repeat(minOf(job.waitingCount, MAX_MACHINES_PER_ATTEMPT)) {
            val plan = cheapestPlan(job.spec, sample, zoneCounts, preemptor) ?: return
            zoneCounts.merge(plan.candidate.zone, 1, Int::plus)
            execute(plan, job)
        }
    }

    private fun preemptorOf(job: Job): Preemptor {
        val isFunded = usageAccounting.isFunded(job.id)
        val isOverShare = usageAccounting.isOverShare(job.spec.team)
        return Preemptor(job.spec.team, job.spec.priority, isFunded, isOverShare)
    }

    private fun cheapestPlan(
        spec: JobSpec,
        sample: List<CandidateMachine>,
        zoneCounts: Map<String, Int>,
        preemptor: Preemptor,
    ): Plan? =
        sample
            .filter { Placer.isAllowed(spec, it.type, it.zone, it.spot) }
            .filter { (zoneCounts[it.zone] ?: 0) < spec.zoneCap }
            .filter { context.now >= (machineCooldownUntilUs[it.machine] ?: 0) }
            .mapNotNull { planOn(it, spec.demand, preemptor) }
            .minByOrNull { it.lostCpuMicros }

    /** The most recently placed tasks to preempt on [candidate] until [demand] fits; null if it can't fit, or fits already. */
    private fun planOn(
        candidate: CandidateMachine,
        demand: Resources,
        preemptor: Preemptor,
    ): Plan? {
        var free = candidate.free
        var lostCpuMicros = 0.0
        val victims = ArrayList<Victim>()
        for (victim in victimsOn(candidate.machine, preemptor)) {
            if (demand.fits(free)) break
            val spec = cache.job(victim.attempt.task.job)?.spec ?: continue
            free += spec.demand
            lostCpuMicros += placementAges.ageUs(victim.attempt).toDouble() * spec.cpus
            victims += victim
        }
        if (victims.isEmpty() || !demand.fits(free)) return null
        return Plan(candidate, victims, lostCpuMicros)
    }

    /** Tasks on [machine] that may be preempted for [preemptor]. The latest placement comes first, since it loses the least work. */
    private fun victimsOn(
        machine: MachineId,
        preemptor: Preemptor,
    ): List<Victim> =
        cache
            .tasksOn(machine)
            .map { (task, attempt) -> AttemptId(task, attempt) }
            .filter { it !in commandPlanner.stopping }
            .mapNotNull { attempt -> reasonToPreempt(attempt, preemptor)?.let { Victim(attempt, it) } }
            .sortedByDescending { placementAges.firstSeenUs(it.attempt) }

    private fun reasonToPreempt(
        attempt: AttemptId,
        preemptor: Preemptor,
    ): PreemptionReason? {
        val job = cache.job(attempt.task.job) ?: return null
        if (job.stage != StoredStage.OPEN) return null
        return PreemptionPolicy.reason(runningTaskOf(job, attempt), preemptor)
    }

    private fun runningTaskOf(
        job: Job,
        attempt: AttemptId,
    ): RunningTask {
        val spec = job.spec
        val fetchUs = imageFetchUs(job, attempt)
        val minimumRuntimeUs = FundingPolicy.minimumRuntime(spec, fetchUs, operators.minimumRuntimeCapUs)
        val isPastMinimumRuntime = placementAges.ageUs(attempt) > minimumRuntimeUs
        val isOverShare = usageAccounting.isOverShare(spec.team)
        return RunningTask(spec.team, spec.priority, usageAccounting.isFunded(job.id), isPastMinimumRuntime, isOverShare)
    }

    /** Time that the type of machine under [attempt] takes to fetch the image of [job]; 0 if it is unknown. */
    private fun imageFetchUs(
        job: Job,
        attempt: AttemptId,
    ): Micros {
        val machine = job.placement(attempt.task.index)?.machine
        val type = cache.machineTypes[cache.machines[machine]?.record?.type] ?: return 0
        if (type.fetchGbPerS <= 0) return 0
        return (job.spec.imageGb / type.fetchGbPerS * SECOND).toLong()
    }

    private fun execute(
        plan: Plan,
        job: Job,
    ) {
        val machine = plan.candidate.machine
        machineCooldownUntilUs[machine] = context.now + MACHINE_COOLDOWN
        if (!shardClaims.controls(machine)) {
            // The leader may stop tasks only on machines that it controls, so it borrows the machine first. The job tries again later.
            shardClaims.borrow(listOf(machine), agents::pushCommands)
            jobCooldownUntilUs.remove(job.id)
            return
        }
        val tasks = plan.victims.map { it.attempt.task }
        LOG.info("preempt for={} machine={} victims={} reason=guarantee-or-priority", job.id.text, machine.text, tasks)
        for (victim in plan.victims) {
            LOG.debug("preempt victim={} for={} reason={}", victim.attempt.task, job.id.text, victim.reason.text)
        }
        commandPlanner.preempt(plan.victims.map { it.attempt })
        agents.pushCommands(machine)
    }

    private companion object {
        val LOG = LoggerFactory.getLogger(PreemptionPlanner::class.java)
        const val JOB_COOLDOWN: Micros = SECOND
        const val MACHINE_COOLDOWN: Micros = SECOND / 2
        const val MAX_MACHINES_PER_ATTEMPT = 4
        const val SAMPLED_MACHINES = 48
        const val CLEANUP_THRESHOLD = 5_000
    }
}
