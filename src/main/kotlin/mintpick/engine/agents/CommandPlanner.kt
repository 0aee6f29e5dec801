package mintpick.engine.agents

import mintpick.core.AttemptId
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

/** Works out the commands that bring a machine in line with the records. */
class CommandPlanner(
    private val context: EngineContext,
    private val health: ControllerHealth,
) {
    /** Attempts to be stopped although their jobs go on: preempted, or on a machine that is to be emptied. */
    val stopping = HashMap<AttemptId, String>()

    private val cache get() = context.cache

    /** Only tasks of cancelled jobs are stopped until the records are at least as new as our [claim]. */
    fun commandsFor(
        view: MachineView,
        claim: Claim,
    ): List<Command> {
        if (cache.revision < claim.version) return stopsOfCancelled(view)
        val wanted = cache.tasksOn(view.id)
        val reaps = ArrayList<Command>()
        val stops = ArrayList<Command>()
        val starts = ArrayList<Command>()
        for ((attempt, task) in view.reported) {
            val isWanted = wanted[attempt.task] == attempt.attempt
            if (task.state == TaskState.EXITED) {
                if (!isWanted && view.mayForget(attempt, claim.version)) reaps += command(Verb.FORGET, attempt)
            } else {
                stopFor(view, claim, attempt, task, isWanted)?.let { stops += it }
            }
        }
        for ((task, number) in wanted) {
            val attempt = AttemptId(task, number)
            if (view.state(attempt) == null && mayStart(view, claim, attempt)) starts += command(Verb.START, attempt)
        }
        return reaps + stops + starts
    }

    /**
     * What the answer to a report carries: each renewal of a lease comes with the stops of all cancelled tasks that the
     * machine has shown. Starts that were not sent at once wait while a cancellation could have been confirmed unknown to us.
     */
    fun answerFor(
        view: MachineView,
        claim: Claim,
    ): List<Command> {
        val commands = commandsFor(view, claim)
        return if (health.mayStartTasks()) commands else commands.filter { it.verb != Verb.START }
    }

    /** What may be stopped whoever commands the machine: tasks of cancelled jobs. */
    fun stopsOfCancelled(view: MachineView): List<Command> =
        view.reported
            .filter { (attempt, task) -> task.state != TaskState.EXITED && isCancelled(attempt.task.job) }
            .map { (attempt, _) -> command(Verb.STOP, attempt, 0) }

    private fun isCancelled(job: JobId): Boolean = cache.job(job)?.stage == StoredStage.CANCELLED || health.cancelledElsewhere(job)

    private fun mayStart(
        view: MachineView,
        claim: Claim,
        attempt: AttemptId,
    ): Boolean {
        val job = cache.job(attempt.task.job) ?: return false
        return job.stage == StoredStage.OPEN && !health.cancelledElsewhere(job.id) && attempt !in stopping && !isEmptying(view, claim)
    }

    private fun retiring(view: MachineView): Retiring = cache.machines[view.id]?.record?.retiring ?: Retiring.NO

    /** Whether what has not started yet should not start here any more. */
    fun isEmptying(
        view: MachineView,
        claim: Claim?,
    ): Boolean = isNoticed(view, claim) || retiring(view) != Retiring.NO

    /** A notice counts once our own token was shown with it: a late copy of a report may bring back an old one. */
    fun isNoticed(
        view: MachineView,
        claim: Claim?,
    ): Boolean = view.noticeEndsUs != null && claim != null && view.token >= claim.version

    private fun stopFor(
        view: MachineView,
        claim: Claim,
        attempt: AttemptId,
        task: TaskReport,
        isWanted: Boolean,
    ): Command? {
        val job = cache.job(attempt.task.job)
        val goesOn = isWanted && job?.stage == StoredStage.OPEN && !health.cancelledElsewhere(job.id)
        if (job == null || !goesOn) return command(Verb.STOP, attempt, 0)
        val leaves = attempt in stopping || leavesWithMachine(view, claim, job.spec.isService, job.spec.estimateS)
        if (!leaves || task.state == TaskState.SAVING) return null
        val left = view.noticeEndsUs?.let { (it - context.now) / SECOND / 2 } ?: MAX_GRACE_S
        return command(Verb.STOP, attempt, if (left >= job.spec.saveS) left.toInt() else 0)
    }

    /** Services leave a machine that is to go at once; work that ends soon may finish on one that is only being drained. */
    private fun leavesWithMachine(
        view: MachineView,
        claim: Claim,
        service: Boolean,
        estimateS: Double,
    ): Boolean = isNoticed(view, claim) || (retiring(view) != Retiring.NO && (service || estimateS > DRAIN_PATIENCE_S))

    /**
     * A transaction that requeues [attempts] is under way. Until its outcome is known they are not started again, as by a
     * machine that has come back: carried out late, it would have their successors run beside them.
     */
    fun requeueSent(attempts: Collection<AttemptId>) = attempts.forEach { stopping.putIfAbsent(it, REQUEUE_SENT) }

    /** That transaction was not and will not be carried out. */
    fun requeueFailed(attempts: Collection<AttemptId>) = attempts.forEach { stopping.remove(it, REQUEUE_SENT) }

    /** That transaction may be carried out at any later time: only another requeue settles these attempts. */
    fun requeueUnknown(attempts: Collection<AttemptId>) = attempts.forEach { stopping.replace(it, REQUEUE_SENT, REQUEUE_UNKNOWN) }

    /** Forgets stops that are over. */
    fun clean() {
        if (stopping.isEmpty()) return
        stopping.keys.removeIf { attempt -> cache.job(attempt.task.job)?.placement(attempt.task.index)?.attempt != attempt.attempt }
    }

    private fun command(
        verb: Verb,
        attempt: AttemptId,
        graceS: Int? = null,
    ) = Command(verb, attempt.task.toString(), attempt.attempt, graceS)

    companion object {
        private const val REQUEUE_SENT = "requeue sent"
        private const val REQUEUE_UNKNOWN = "requeue unknown"
        private const val MAX_GRACE_S = 30L
        private const val DRAIN_PATIENCE_S = 60.0

        fun starts(commands: List<Command>): Set<AttemptId> =
            commands
                .filter { it.verb == Verb.START }
                .mapNotNullTo(HashSet()) { command -> TaskId.parse(command.task)?.let { AttemptId(it, command.attempt) } }
    }
}
