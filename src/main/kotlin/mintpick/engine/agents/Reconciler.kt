package mintpick.engine.agents

import mintpick.core.AttemptId
import mintpick.core.FailureTracker
import mintpick.core.Job
import mintpick.core.JobId
import mintpick.core.MILLI
import mintpick.core.MachineId
import mintpick.core.MachineView
import mintpick.core.Micros
import mintpick.core.Placement
import mintpick.core.Proof
import mintpick.core.Resources
import mintpick.core.SECOND
import mintpick.core.TaskId
import mintpick.core.demand
import mintpick.core.isService
import mintpick.engine.membership.ShardClaims
import mintpick.engine.runtime.EngineContext
import mintpick.engine.transactions.JobUpdate
import mintpick.wire.ExitCause
import mintpick.wire.StoredStage
import mintpick.wire.TaskState
import org.slf4j.LoggerFactory

/**
 * Turns what machines prove into changes of jobs. Looks only at machines of which something is new, and keeps
 * what it finds until it is written: a write for each finished task would be more than the state service takes.
 */
class Reconciler(
    private val context: EngineContext,
    private val shardClaims: ShardClaims,
    private val agents: AgentRegistry,
    private val commandPlanner: CommandPlanner,
) {
    /** What one machine proves and the records do not show yet. */
    private class Facts(
        val done: Map<TaskId, Int>,
        val over: Map<TaskId, Int>,
        /** The machine is gone for good. Else what is proven holds only as long as the machine is ours. */
        val isGone: Boolean,
        val freed: Resources,
    )

    /** Machines proven gone with everything on them. */
    private val gone = HashSet<MachineId>()

    /** Which jobs and machines are at fault for tasks that end with an error. */
    val failures = FailureTracker()

    /** Since when replicas of services that have failed before have been running. */
    private val runningSince = HashMap<AttemptId, Micros>()
    private val fullUntil = HashMap<MachineId, Micros>()
    private val facts = HashMap<MachineId, Facts>()
    private val machinesOf = HashMap<JobId, HashSet<MachineId>>()

    /** What was made of a job when something about it last changed. */
    private class Verdict(
        val job: Job,
        val claimEpoch: Long,
        val urgent: Boolean,
    )

    private val verdicts = HashMap<JobId, Verdict>()

    /** Since when something about a job waits to be written. */
    private val oldest = HashMap<JobId, Micros>()
    private val dirty = HashSet<MachineId>()
    private var nextSweepUs: Micros = 0
    private var epochSeen = -1L

    private val cache get() = context.cache

    fun isGone(machine: MachineId): Boolean = machine in gone

    fun gone(
        machine: MachineId,
        reason: String,
    ) {
        if (!gone.add(machine)) return
        LOG.info("machine gone machine={} reason={} tasks={}", machine.text, reason, cache.tasksOn(machine).size)
        agents.markTerminated(machine)
        dirty += machine
    }

    /** A job whose tasks keep failing waits between retries: it may fail everywhere until its user gives it up. */
    fun mayPlace(job: JobId): Boolean = failures.mayRetry(job, context.now)

    fun hasRoom(machine: MachineId): Boolean = context.now >= (fullUntil[machine] ?: 0)

    /** Room on a machine that the records still show as taken. */
    fun freedOn(machine: MachineId): Resources = facts[machine]?.freed ?: Resources.ZERO

    /** Looks at machines of which something is new; at all of them now and then, for what only time proves. */
    fun look(changed: Collection<MachineId>) {
        dirty += changed
        if (cache.claimEpoch != epochSeen) {
            epochSeen = cache.claimEpoch
            dirty += cache.machinesWithTasks()
        } else if (context.now >= nextSweepUs) {
            // Time proves something of what is ours alone: that its lease has lapsed.
            nextSweepUs = context.now + SWEEP
            dirty += agents.mine
            forgetFailures()
        }
        dirty.forEach(::examine)
        dirty.clear()
    }

    private fun forgetFailures() {
        failures.retain({ cache.job(it)?.stage == StoredStage.OPEN }, { it in cache.machines })
        runningSince.keys.removeIf { cache.job(it.task.job)?.placement(it.task.index)?.attempt != it.attempt }
    }

    private fun examine(machine: MachineId) {
        val before = facts.remove(machine)
        before?.let { old -> (old.done.keys + old.over.keys).forEach { unlink(it.job, machine) } }
        val tasks = cache.tasksOn(machine)
        val found = if (tasks.isEmpty()) null else prove(machine, tasks, before)
        if (found == null || (found.done.isEmpty() && found.over.isEmpty())) return
        facts[machine] = found
        for (task in found.done.keys + found.over.keys) {
            verdicts.remove(task.job)
            machinesOf.getOrPut(task.job) { HashSet() } += machine
            oldest.putIfAbsent(task.job, context.now)
        }
    }

    private fun unlink(
        job: JobId,
        machine: MachineId,
    ) {
        verdicts.remove(job)
        val machines = machinesOf[job] ?: return
        machines -= machine
        if (machines.isEmpty()) machinesOf -= job
    }

    private fun prove(
        machine: MachineId,
        tasks: Map<TaskId, Int>,
        before: Facts?,
    ): Facts? {
        if (machine in gone) return Facts(emptyMap(), tasks.toMap(), isGone = true, Resources.ZERO)
        val view = agents.view(machine) ?: return null
        val claim = shardClaims.control(machine) ?: return null
        val mine = shardClaims.isMine(claim) && cache.revision >= claim.version
        if (mine && agents.hasLapsed(view)) {
            if (before?.over?.keys != tasks.keys) LOG.debug("lease lapsed machine={}", machine.text)
            return Facts(emptyMap(), tasks.toMap(), isGone = false, Resources.ZERO)
        }
        val done = HashMap<TaskId, Int>()
        val over = HashMap<TaskId, Int>()
        var freed = Resources.ZERO
        for ((task, attempt) in tasks) {
            val id = AttemptId(task, attempt)
            val job = cache.job(task.job) ?: continue
            when (val proof = view.proof(id, if (mine) claim.version else NO_TOKEN)) {
                Proof.None -> {
                    if (job.spec.isService && failures.hasFailed(task.job)) watchReplica(view, id)
                    continue
                }
                Proof.Completed -> {
                    done[task] = attempt
                    if (before?.done?.get(task) != attempt) failures.succeeded(machine, task.job)
                }
                is Proof.Over -> {
                    // Absent and still wanted here: it will be sent again, which is quicker than another assignment.
                    val wanted =
                        proof.cause == null &&
                            job.stage == StoredStage.OPEN &&
                            !commandPlanner.isEmptying(view, claim) &&
                            id !in commandPlanner.stopping
                    if (wanted) continue
                    over[task] = attempt
                    if (before?.over?.get(task) != attempt) note(view, id, job, proof.cause)
                }
            }
            freed += job.spec.demand
        }
        return Facts(done, over, isGone = false, freed)
    }

    /** Notes in [draft] all that is proven of its job. */
    fun apply(draft: JobUpdate) {
        val id = draft.before.id
        for (machine in machinesOf[id].orEmpty()) {
            val known = facts[machine] ?: continue
            for ((task, attempt) in known.done) {
                if (task.job == id &&
                    draft.before.placement(task.index) == Placement(machine, attempt)
                ) {
                    draft.finish(task.index)
                }
            }
            for ((task, attempt) in known.over) {
                if (task.job != id) continue
                // Its next controller might have answered its worker, or have started an attempt again that it found absent.
                if (!known.isGone && !draft.guard(shardClaims.guards(machine))) continue
                draft.requeue(task.index, Placement(machine, attempt))
            }
        }
    }

    /**
     * Jobs of which something must be written now: tasks that have to move, the end of a job, the last of its
     * tasks on our machines, or what has waited long enough.
     */
    fun due(): List<JobId> {
        oldest.keys.retainAll(machinesOf.keys)
        verdicts.keys.retainAll(oldest.keys)
        return oldest.keys.filter { id ->
            val job = cache.job(id) ?: return@filter false
            context.now - (oldest[id] ?: context.now) >= LAZY || isUrgent(id, job)
        }
    }

    /** Looked at anew only when the job, what is known of it or control has changed: a plan asks 25 times a second. */
    private fun isUrgent(
        id: JobId,
        job: Job,
    ): Boolean {
        val known = verdicts[id]
        if (known != null && known.job === job && known.claimEpoch == cache.claimEpoch) return known.urgent
        return judge(id, job).also { verdicts[id] = Verdict(job, cache.claimEpoch, it) }
    }

    private fun judge(
        id: JobId,
        job: Job,
    ): Boolean {
        var known = 0
        for (machine in machinesOf[id].orEmpty()) {
            val here = facts[machine] ?: continue
            known += here.done.keys.count { it.job == id }
            val over = here.over.keys.count { it.job == id }
            known += over
            // What a faulty job leaves behind is written with the rest of it: nobody waits for its next failure.
            if (over > 0 && job.stage == StoredStage.OPEN && !failures.isFaulty(id)) return true
        }
        // Nothing of it is left that could be proven here soon: it has ended, or what is left waits or is elsewhere.
        return known >= job.placements().count { (_, at) -> shardClaims.controls(at.machine) }
    }

    /** A service never completes: a replica that goes on running shows that its job is not at fault. */
    private fun watchReplica(
        view: MachineView,
        attempt: AttemptId,
    ) {
        if (view.state(attempt)?.state != TaskState.RUNNING) return
        val since = runningSince.getOrPut(attempt) { context.now }
        if (context.now - since > RUNS_WELL) failures.succeeded(view.id, attempt.task.job)
    }

    private fun note(
        view: MachineView,
        attempt: AttemptId,
        job: Job,
        cause: ExitCause?,
    ) {
        val machine = view.id
        when (cause) {
            ExitCause.ERROR -> {
                noteFailure(machine, attempt, job)
            }
            ExitCause.NO_ROOM, ExitCause.BUSY, ExitCause.UNKNOWN -> {
                fullUntil[machine] = context.now + FULL_PAUSE
                LOG.debug("start refused task={} machine={} cause={}", attempt.task, machine.text, cause)
            }
            else -> Unit
        }
    }

    /** One line for each job and one when it is found faulty: an array that fails whole must not flood the log. */
    private fun noteFailure(
        machine: MachineId,
        attempt: AttemptId,
        job: Job,
    ) {
        val isFirst = !failures.hasFailed(job.id)
        val wasFaulty = failures.isFaulty(job.id)
        failures.failed(machine, job.id, hasSucceeded = job.done > 0, context.now)
        if (isFirst) LOG.info("task failed task={} attempt={} machine={}", attempt.task, attempt.attempt, machine.text)
        LOG.debug("task failed task={} attempt={} machine={}", attempt.task, attempt.attempt, machine.text)
        if (!wasFaulty && failures.isFaulty(job.id)) {
            LOG.warn("job fails wherever it runs job={} team={} class={}", job.id.text, job.spec.team, job.spec.jobClass)
        }
    }

    companion object {
        private val LOG = LoggerFactory.getLogger(Reconciler::class.java)
        private const val NO_TOKEN = -1L

        /** A replica that has been running for so long does not fail at its start. */
        private const val RUNS_WELL: Micros = 30 * SECOND
        private const val FULL_PAUSE: Micros = SECOND
        private const val SWEEP: Micros = SECOND

        /** How long finished tasks may wait to be written together. */
        private const val LAZY: Micros = 6_000 * MILLI
    }
}
