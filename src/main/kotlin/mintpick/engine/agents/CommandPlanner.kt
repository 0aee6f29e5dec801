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
import mintpick.wire.Command
import mintpick.wire.Retiring
import mintpick.wire.StoredStage
import mintpick.wire.TaskReport
import mintpick.wire.TaskState
import mintpick.wire.Verb

/** Plans the commands that bring a machine in line with the records. Event-loop thread only. */
class CommandPlanner(
    private val context: EngineContext,
    private val health: ControllerHealth,
) {
    private val stopReasons = HashMap<AttemptId, StopReason>()

    private val cache get() = context.cache

    /** Attempts that are stopped although their jobs are open. */
    val stopping: Set<AttemptId> get() = stopReasons.keys

    /** Whether [attempt] is stopped although its job is open. */
    fun isStopping(attempt: AttemptId): Boolean = attempt in stopReasons

    /** Stops [attempts] with the next commands to their machines, to make room for another job. */
    fun preempt(attempts: Collection<AttemptId>) = attempts.forEach { stopReasons[it] = StopReason.PREEMPTED }

    /**
     * A transaction that requeues [attempts] is under way. Until its outcome is known they are not started again, as by a
     * machine that has come back: committed late, it would have their successors run beside them.
     */
    fun onRequeueSent(attempts: Collection<AttemptId>) = attempts.forEach { stopReasons.putIfAbsent(it, StopReason.REQUEUE_SENT) }

    /** That transaction is not and will not be committed. */
    fun onRequeueFailed(attempts: Collection<AttemptId>) = attempts.forEach { stopReasons.remove(it, StopReason.REQUEUE_SENT) }

    /** That transaction may be committed at any later time: only another requeue settles [attempts]. */
    fun onRequeueOutcomeUnknown(attempts: Collection<AttemptId>) =
        attempts.forEach { stopReasons.replace(it, StopReason.REQUEUE_SENT, StopReason.REQUEUE_OUTCOME_UNKNOWN) }

    /** Forgets attempts that the records no longer show. */
    fun forgetObsoleteStops() {
        if (stopReasons.isEmpty()) return
        stopReasons.keys.removeIf { attempt -> cache.job(attempt.task.job)?.placement(attempt.task.index)?.attempt != attempt.attempt }
    }

    /**
     * All commands that [view]'s machine needs: what to forget, to stop and to start, in this order. Only tasks of cancelled
     * jobs are stopped until the records are at least as new as [claim], which gives this controller the machine.
     */
    fun commandsFor(
        view: MachineView,
        claim: Claim,
    ): List<Command> {
        if (cache.revision < claim.version) return stopsOfCancelledTasks(view)
        return forgetsFor(view, claim) + stopsFor(view, claim) + startsFor(view, claim)
    }

    /**
     * What the answer to a report carries: each renewal of a lease comes with the stops of all cancelled tasks that the
     * machine has shown. Starts that were not sent at once wait while a cancellation could have been confirmed to its user
     * that this controller does not know of.
     */
    fun commandsForAnswer(
        view: MachineView,
        claim: Claim,
    ): List<Command> {
        val commands = commandsFor(view, claim)
        return if (health.mayStartTasks()) commands else commands.filter { it.verb != Verb.START }
    }

    /** What may be stopped whoever commands the machine: tasks of cancelled jobs. */
    fun stopsOfCancelledTasks(view: MachineView): List<Command> =
        view.reported
            .filter { (attempt, task) -> task.state != TaskState.EXITED && isCancelled(attempt.task.job) }
            .map { (attempt, _) -> command(Verb.STOP, attempt, NO_GRACE_S) }

    /** Whether what has not started yet should not start on [view]'s machine any more. */
    fun isDraining(
        view: MachineView,
        claim: Claim?,
    ): Boolean = hasTerminationNotice(view, claim) || isRetiring(view)

    /**
     * Whether the machine has a notice of its termination. It counts once this controller's own fencing token was shown with
     * it: a late copy of a report may bring back an old notice.
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

    private fun forgetsFor(
        view: MachineView,
        claim: Claim,
    ): List<Command> =
        view.reported
            .filter { (attempt, task) ->
                task.state == TaskState.EXITED && !isPlacedOn(view, attempt) && view.mayForget(attempt, claim.version)
            }.map { (attempt, _) -> command(Verb.FORGET, attempt) }

    private fun stopsFor(
        view: MachineView,
        claim: Claim,
    ): List<Command> =
        view.reported
            .filter { (_, task) -> task.state != TaskState.EXITED }
            .mapNotNull { (attempt, task) -> stopFor(view, claim, attempt, task) }

    /** The command that stops [attempt]; null if it is to go on or saves its progress already. */
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
        val canSave = graceS >= job.spec.saveS
        return command(Verb.STOP, attempt, if (canSave) graceS.toInt() else NO_GRACE_S)
    }

    /** How long a task may go on to save its progress: half of the time that a machine with a notice has left. */
    private fun graceSeconds(view: MachineView): Long {
        val noticeEndsUs = view.noticeEndsUs ?: return MAX_GRACE_S
        return (noticeEndsUs - context.now) / SECOND / 2
    }

    /** Services leave a machine that is to go at once; work that ends soon may finish on one that is only being drained. */
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
    ): List<Command> =
        cache
            .tasksOn(view.id)
            .map { (task, attempt) -> AttemptId(task, attempt) }
            .filter { view.state(it) == null && mayStart(view, claim, it) }
            .map { command(Verb.START, it) }

    private fun mayStart(
        view: MachineView,
        claim: Claim,
        attempt: AttemptId,
    ): Boolean {
        val job = cache.job(attempt.task.job) ?: return false
        return isRunnable(job) && !isStopping(attempt) && !isDraining(view, claim)
    }

    private fun command(
        verb: Verb,
        attempt: AttemptId,
        graceS: Int? = null,
    ) = Command(verb, attempt.task.toString(), attempt.attempt, graceS)

    companion object {
        private const val NO_GRACE_S = 0
        private const val MAX_GRACE_S = 30L

        /** Work with a longer estimate does not finish on a machine that is being drained. */
        private const val MAX_DRAIN_ESTIMATE_S = 60.0

        /** The attempts that [commands] start. */
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
