package mintpick.engine.agents

import mintpick.core.AttemptId
import mintpick.core.Job
import mintpick.core.JobId
import mintpick.core.MachineView
import mintpick.core.SECOND
import mintpick.core.TaskId
import mintpick.core.isService
import mintpick.engine.cache.Claim
import mintpick.engine.membership.ControllerHealth
import mintpick.engine.runtime.EngineContext
import mintpick.engine.runtime.WithheldStart
import mintpick.wire.Command
import mintpick.wire.MAX_COMMANDS
import mintpick.wire.Retiring
import mintpick.wire.StoredStage
import mintpick.wire.TaskReport
import mintpick.wire.TaskState
import mintpick.wire.Verb

/** Plans the commands that make the tasks on a machine match the records. Event-loop thread only. */
class CommandPlanner(
    private val context: EngineContext,
    private val health: ControllerHealth,
) {
    private val stopReasons = HashMap<AttemptId, StopReason>()

    private val cache get() = context.cache

    /** Attempts that are being stopped although their jobs are open. */
    val stopping: Set<AttemptId> get() = stopReasons.keys

    /** Whether [attempt] is being stopped although its job is open. */
    fun isStopping(attempt: AttemptId): Boolean = attempt in stopReasons

    /** Stops [attempts] with the next commands to their machines, to free resources for another job. */
    fun preempt(attempts: Collection<AttemptId>) = attempts.forEach { stopReasons[it] = StopReason.PREEMPTED }

    /**
     * Must be called when a transaction that requeues [attempts] is sent. The attempts are not started again until its outcome
     * is known, for example when their machine is reachable again: if the transaction is then committed, both the attempts and
     * their replacements would run.
     */
    fun onRequeueSent(attempts: Collection<AttemptId>) = attempts.forEach { stopReasons.putIfAbsent(it, StopReason.REQUEUE_SENT) }

    /** Must be called when a transaction that requeues [attempts] has failed: it is not committed and never will be. */
    fun onRequeueFailed(attempts: Collection<AttemptId>) = attempts.forEach { stopReasons.remove(it, StopReason.REQUEUE_SENT) }

    /**
     * Must be called when the outcome of a transaction that requeues [attempts] is unknown. It may be committed at any later
     * time, so the attempts stay stopped until another requeue is committed.
     */
    fun onRequeueOutcomeUnknown(attempts: Collection<AttemptId>) =
        attempts.forEach { stopReasons.replace(it, StopReason.REQUEUE_SENT, StopReason.REQUEUE_OUTCOME_UNKNOWN) }

    /** Removes stop reasons of attempts that are no longer placed in the records. */
    fun forgetObsoleteStops() {
        if (stopReasons.isEmpty()) return
        stopReasons.keys.removeIf { attempt -> cache.job(attempt.task.job)?.placement(attempt.task.index)?.attempt != attempt.attempt }
    }

    /**
     * All outstanding commands for the machine of [view]: forgets, stops and starts, in this order. While the cached records
     * are older than [claim], which gives this controller control of the machine, only tasks of cancelled jobs are stopped.
     */
    fun commandsFor(
        view: MachineView,
        claim: Claim,
    ): List<Command> {
        if (cache.revision < claim.version) {
            context.metrics.recordWithheldStart(WithheldStart.RECORDS_TOO_OLD)
            return stopsOfCancelledTasks(view)
        }
        val forgotten = forgottenAttempts(view, claim)
        return fitting(forgotten.map { command(Verb.REMOVE, it) } + stopsFor(view, claim) + startsFor(view, claim, forgotten))
    }

    /**
     * The most urgent of [commands], as many as a message can hold: stops, then the attempts to forget, which starts may need, then
     * starts. Others follow when these have been executed.
     */
    private fun fitting(commands: List<Command>): List<Command> {
        if (commands.size <= MAX_COMMANDS) return commands
        return commands.sortedBy { URGENCY.indexOf(it.verb) }.take(MAX_COMMANDS)
    }

    /**
     * The commands in the answer to a heartbeat. Every answer that renews the lease contains the stops of all cancelled tasks
     * that the agent has listed. Starts are left out while a cancellation that this controller does not know of could already
     * have been confirmed to its user.
     */
    fun commandsForAnswer(
        view: MachineView,
        claim: Claim,
    ): List<Command> {
        val commands = commandsFor(view, claim)
        if (health.mayStartTasks()) return commands
        val others = commands.filter { it.verb != Verb.START }
        repeat(commands.size - others.size) { context.metrics.recordWithheldStart(WithheldStart.CANCELLATION_MAY_BE_UNKNOWN) }
        return others
    }

    /** Stops of tasks of cancelled jobs, which any controller may send, whether or not it controls the machine. */
    fun stopsOfCancelledTasks(view: MachineView): List<Command> =
        fitting(
            view.reportedAttempts
                .filter { (attempt, task) -> task.state != TaskState.EXITED && isCancelled(attempt.task.job) }
                .map { (attempt, _) -> command(Verb.STOP, attempt, NO_GRACE_S) },
        )

    /** Whether no more tasks may be started on the machine of [view]. */
    fun isDraining(
        view: MachineView,
        claim: Claim?,
    ): Boolean = hasTerminationNotice(view, claim) || isRetiring(view)

    /**
     * Whether the machine has a termination notice. A notice is valid only if the agent has also returned this controller's
     * fencing token, since a delayed copy of a heartbeat may contain an outdated notice.
     */
    fun hasTerminationNotice(
        view: MachineView,
        claim: Claim?,
    ): Boolean = view.noticeEndsUs != null && claim != null && view.token >= claim.version

    private fun isRetiring(view: MachineView): Boolean {
        val record = cache.machines[view.id]?.record ?: return false
        return record.retiring != Retiring.NO
    }

    private fun isCancelled(job: JobId): Boolean = cache.job(job)?.stage == StoredStage.CANCELLED || health.isCancelledElsewhere(job)

    private fun isRunnable(job: Job): Boolean = job.stage == StoredStage.OPEN && !health.isCancelledElsewhere(job.id)

    private fun isPlacedOn(
        view: MachineView,
        attempt: AttemptId,
    ): Boolean = cache.tasksOn(view.id)[attempt.task] == attempt.attempt

    private fun forgottenAttempts(
        view: MachineView,
        claim: Claim,
    ): Set<AttemptId> =
        view.reportedAttempts
            .filter { (attempt, task) ->
                task.state == TaskState.EXITED && !isPlacedOn(view, attempt) && view.mayForget(attempt, claim.version)
            }.mapTo(LinkedHashSet()) { (attempt, _) -> attempt }

    private fun stopsFor(
        view: MachineView,
        claim: Claim,
    ): List<Command> =
        view.reportedAttempts
            .filter { (_, task) -> task.state != TaskState.EXITED }
            .mapNotNull { (attempt, task) -> stopFor(view, claim, attempt, task) }

    /** The command that stops [attempt], or null if the attempt is to continue or is already saving its progress. */
    private fun stopFor(
        view: MachineView,
        claim: Claim,
        attempt: AttemptId,
        task: TaskReport,
    ): Command? {
        val job = cache.job(attempt.task.job)
        if (job == null || !isRunnable(job) || !isPlacedOn(view, attempt)) return command(Verb.STOP, attempt, NO_GRACE_S)
        val mustStop = isStopping(attempt) || mustLeaveMachine(view, claim, job)
        if (!mustStop || task.state == TaskState.SAVING) return null
        val graceS = graceSeconds(view)
        val canSave = graceS >= job.spec.checkpointDurationS
        return command(Verb.STOP, attempt, if (canSave) graceS.toInt() else NO_GRACE_S)
    }

    /**
     * How long a stopped task may continue in order to save its progress: half of the remaining time on a machine with a
     * termination notice, else [MAX_GRACE_S].
     */
    private fun graceSeconds(view: MachineView): Long {
        val noticeEndsUs = view.noticeEndsUs ?: return MAX_GRACE_S
        return (noticeEndsUs - context.now) / SECOND / 2
    }

    /**
     * Whether tasks of [job] must be stopped on the machine of [view]: all of them after a termination notice, and services and
     * long tasks while the machine is retiring. Short tasks may finish there.
     */
    private fun mustLeaveMachine(
        view: MachineView,
        claim: Claim,
        job: Job,
    ): Boolean {
        if (hasTerminationNotice(view, claim)) return true
        val leavesAtOnce = job.spec.isService || job.spec.estimateS > MAX_DRAIN_ESTIMATE_S
        return isRetiring(view) && leavesAtOnce
    }

    private fun startsFor(
        view: MachineView,
        claim: Claim,
        forgotten: Set<AttemptId>,
    ): List<Command> {
        val missing =
            cache
                .tasksOn(view.id)
                .map { (task, attempt) -> AttemptId(task, attempt) }
                .filter { view.taskReport(it) == null }
        if (missing.isEmpty()) return emptyList()
        val listedTasks = view.reportedAttempts.filter { it.key !in forgotten }.mapTo(HashSet()) { it.key.task }
        return missing.filter { mayStart(view, claim, it, listedTasks) }.map { command(Verb.START, it) }
    }

    private fun mayStart(
        view: MachineView,
        claim: Claim,
        attempt: AttemptId,
        listedTasks: Set<TaskId>,
    ): Boolean {
        val reason = reasonAgainstStart(view, claim, attempt) ?: WithheldStart.EARLIER_ATTEMPT_LISTED.takeIf { attempt.task in listedTasks }
        if (reason == null) return true
        context.metrics.recordWithheldStart(reason)
        return false
    }

    /** Why [attempt] must not be started now; null if it may be. */
    private fun reasonAgainstStart(
        view: MachineView,
        claim: Claim,
        attempt: AttemptId,
    ): WithheldStart? {
        val job = cache.job(attempt.task.job)
        return when {
            job == null || !isRunnable(job) -> WithheldStart.NOT_RUNNABLE
            isStopping(attempt) -> WithheldStart.STOPPING
            isDraining(view, claim) -> WithheldStart.DRAINING
            else -> null
        }
    }

    private fun command(
        verb: Verb,
        attempt: AttemptId,
        graceS: Int? = null,
    ) = Command(verb, attempt.task.toString(), attempt.attempt, graceS)

    companion object {
        private const val NO_GRACE_S = 0
        private val URGENCY = listOf(Verb.STOP, Verb.REMOVE, Verb.START)
        private const val MAX_GRACE_S = 30L

        /** Longest estimate with which a task may finish on a machine that is being drained, in seconds. */
        private const val MAX_DRAIN_ESTIMATE_S = 60.0

        /** The attempts that are started by [commands]. */
        fun startedAttempts(commands: List<Command>): Set<AttemptId> =
            commands
                .filter { it.verb == Verb.START }
                .mapNotNullTo(HashSet(), ::attemptOf)

        private fun attemptOf(command: Command): AttemptId? {
            val task = TaskId.parse(command.task) ?: return null
            return AttemptId(task, command.attempt)
        }
    }
}
