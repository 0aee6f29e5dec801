package mintpick.core

import mintpick.wire.ExitCause
import mintpick.wire.MachineReport
import mintpick.wire.TaskReport
import mintpick.wire.TaskState

/** An attempt to run a task. Attempts of a task are numbered from its first placement. */
data class AttemptId(
    val task: TaskId,
    val attempt: Int,
)

/** The outcome of an attempt, as far as its agent's status proves it. */
sealed interface Proof {
    /** Nothing is proven. */
    data object None : Proof

    /** The task has completed. */
    data object Completed : Proof

    /** The attempt does not run and can't start any more; [cause] is null if the agent has no record of it. */
    data class Ended(
        val cause: ExitCause?,
    ) : Proof
}

/**
 * This controller's view of one machine: the newest status from its agent and the commands sent to it. Decides what they prove
 * about task attempts. A status ([MachineReport]) arrives in a heartbeat or as the answer to a command or probe. Commands
 * go out in a call to the agent (direct commands) or in the answer to a heartbeat. Times are microseconds of the monotonic
 * clock. Event-loop thread only.
 */
class MachineView(
    val id: MachineId,
    /** When the first status was received or the first command was sent. */
    val firstContactUs: Micros,
) {
    /**
     * A start in a direct command; [agentEpoch] is the epoch of the agent that it was sent to. However it was answered, it may be
     * executed at any later time until the agent refuses it.
     */
    private class DirectStart(
        val token: Long,
        val agentEpoch: Long,
    ) {
        /** Whether the agent with the status [report] drops this start however late it arrives, because its epoch or token is too old. */
        fun isRefusedAfter(report: MachineReport): Boolean = report.agentEpoch > agentEpoch || report.token > token
    }

    /** The newest status; null before the first. */
    var latestStatus: MachineReport? = null
        private set

    /** When the newest status was received; [firstContactUs] before that. */
    var lastStatusUs: Micros = firstContactUs
        private set

    /** When the last heartbeat that carried a new status was received; [firstContactUs] before that. */
    var lastHeartbeatUs: Micros = firstContactUs
        private set

    /** When the machine will be terminated according to a termination notice; null without one. */
    var noticeEndsUs: Micros? = null
        private set

    /** Latest time at which this controller may have renewed the agent's lease. */
    private var leaseRenewedUs: Micros = firstContactUs
    private var tasks: Map<AttemptId, TaskReport> = emptyMap()

    /** Starts in direct commands whose call has not completed. */
    private val inFlightStarts = HashMap<AttemptId, DirectStart>()

    /** Latest start of each attempt whose call timed out. It may be executed later, whatever the outcome of a repeated start. */
    private val timedOutStarts = HashMap<AttemptId, DirectStart>()

    /** Latest start of each attempt that the agent has executed and answered. A copy of it may arrive and be executed again. */
    private val executedStarts = HashMap<AttemptId, DirectStart>()

    /** Starts in the answer to the latest heartbeat. They may still arrive until the next heartbeat or a higher agent epoch. */
    private var startsInAnswer: Set<AttemptId> = emptySet()

    /** Images on the machine and their sizes in GB, the oldest first. */
    private val images = LinkedHashMap<String, Double>()
    private var lastHeartbeatEpoch = 0L
    private var lastHeartbeatSeq = -1L

    /** The agent epoch; 0 before the first status. */
    val agentEpoch: Long get() = latestStatus?.agentEpoch ?: 0

    /** The highest fencing token that the agent has accepted, according to its newest status; 0 before the first. */
    val token: Long get() = latestStatus?.token ?: 0

    /** The attempts in the newest status and their states. */
    val reportedAttempts: Collection<Map.Entry<AttemptId, TaskReport>> get() = tasks.entries

    /** Names of the images on the machine. */
    val imageNames: Set<String> get() = images.keys

    /** Whether the call of a start timed out, and the start may still be executed: only a higher token or epoch rules that out. */
    val needsHigherToken: Boolean get() = timedOutStarts.isNotEmpty()

    /** Attempts that have ended and that the agent must not forget, because their executed start may arrive again. */
    val retainedAttempts: Collection<AttemptId> get() = retained

    /** Attempts that are new in the newest status, although no start of this controller explains them; see [applyStatus]. */
    var unexplainedAttempts: Set<AttemptId> = emptySet()
        private set

    private var retained: List<AttemptId> = emptyList()

    /** The entry for [attempt] in the newest status; null if there is none. */
    fun taskReport(attempt: AttemptId): TaskReport? = tasks[attempt]

    /**
     * Records the heartbeat [report]; must be called once for each. Returns whether the agent may still be waiting for the
     * answer. An agent has one heartbeat in flight at a time, so a heartbeat that is not newer than an earlier one is a late
     * copy, and its answer is not read.
     */
    fun recordHeartbeat(report: MachineReport): Boolean {
        if (!isNewer(report, lastHeartbeatEpoch, lastHeartbeatSeq)) return false
        lastHeartbeatEpoch = report.agentEpoch
        lastHeartbeatSeq = report.seq
        return true
    }

    /**
     * Applies the status [report], received at [now]. [isDirectAnswer] is true for the answer to a command or probe and false for a
     * heartbeat. Returns false and changes nothing if a status at least as new is already known, as delayed packets may cause, or if
     * the status is that of another machine.
     *
     * Between two statuses of one epoch with the same token the agent executes starts of one controller only. If it is this one,
     * [unexplainedAttempts] must be empty: a start that could still be executed was not accounted for.
     */
    fun applyStatus(
        report: MachineReport,
        now: Micros,
        isDirectAnswer: Boolean,
    ): Boolean {
        val before = latestStatus
        if (report.machine != id.text) return false
        if (before != null && !isNewer(report, before.agentEpoch, before.seq)) return false
        latestStatus = report
        lastStatusUs = now
        if (!isDirectAnswer) lastHeartbeatUs = now
        val tasksBefore = tasks
        tasks = tasksOf(report)
        unexplainedAttempts = if (before != null && isUnderSameToken(before, report)) findUnexplained(tasksBefore) else emptySet()
        // The next heartbeat shows that the agent has read the last answer or no longer waits for it. In a later epoch it drops it.
        if (!isDirectAnswer || report.agentEpoch > (before?.agentEpoch ?: 0)) startsInAnswer = emptySet()
        applyNotice(report.noticeS, now)
        for (starts in listOf(inFlightStarts, timedOutStarts, executedStarts)) starts.values.removeIf { it.isRefusedAfter(report) }
        updateRetained()
        return true
    }

    private fun isUnderSameToken(
        before: MachineReport,
        report: MachineReport,
    ): Boolean = before.agentEpoch == report.agentEpoch && before.token == report.token

    private fun findUnexplained(tasksBefore: Map<AttemptId, TaskReport>): Set<AttemptId> =
        tasks.keys.filterTo(HashSet()) { it !in tasksBefore && it !in startsInAnswer && !mayStartAgain(it) }

    private fun updateRetained() {
        retained = if (executedStarts.isEmpty()) emptyList() else tasks.keys.filter { hasEnded(it) && it in executedStarts }
    }

    private fun hasEnded(attempt: AttemptId): Boolean = tasks[attempt]?.state == TaskState.EXITED

    private fun isNewer(
        report: MachineReport,
        agentEpoch: Long,
        seq: Long,
    ): Boolean = report.agentEpoch > agentEpoch || (report.agentEpoch == agentEpoch && report.seq > seq)

    private fun tasksOf(report: MachineReport): Map<AttemptId, TaskReport> {
        val tasks = LinkedHashMap<AttemptId, TaskReport>()
        for (task in report.tasks) {
            val id = TaskId.parse(task.task) ?: continue
            tasks[AttemptId(id, task.attempt)] = task
        }
        return tasks
    }

    /** Sets the termination time at the first status with a notice; a status without a notice clears it. */
    private fun applyNotice(
        noticeS: Double?,
        now: Micros,
    ) {
        if (noticeS == null) {
            noticeEndsUs = null
        } else if (noticeEndsUs == null) {
            noticeEndsUs = now + (noticeS * SECOND).toLong()
        }
    }

    /** Records that a start of [attempt] was sent in a direct command with [token] to the agent in [agentEpoch]. */
    fun recordStartSent(
        attempt: AttemptId,
        token: Long,
        agentEpoch: Long,
    ) {
        inFlightStarts[attempt] = DirectStart(token, agentEpoch)
    }

    /** Records that the agent has executed and answered the latest start of [attempt], which proves nothing about copies of it. */
    fun recordStartExecuted(attempt: AttemptId) {
        inFlightStarts.remove(attempt)?.let { executedStarts[attempt] = it }
    }

    /** Records that the latest start of [attempt] was refused or never sent: that start can't be executed later. */
    fun recordStartNotExecuted(attempt: AttemptId) {
        inFlightStarts.remove(attempt)
    }

    /** Records that the call with the start of [attempt] timed out: the start may be executed until its token or epoch is too old. */
    fun recordStartTimeout(attempt: AttemptId) {
        inFlightStarts.remove(attempt)?.let { timedOutStarts[attempt] = it }
    }

    private fun isStartPending(attempt: AttemptId): Boolean = attempt in inFlightStarts || attempt in timedOutStarts

    /** Whether a direct start of [attempt] could be executed if the agent did not list the attempt. */
    private fun mayStartAgain(attempt: AttemptId): Boolean = isStartPending(attempt) || attempt in executedStarts

    /** Records that the answer to the latest heartbeat carries [starts]. */
    fun recordStartsInAnswer(starts: Set<AttemptId>) {
        startsInAnswer = starts
    }

    /** What the newest status proves about [attempt] to a controller whose fencing token is [token]. */
    fun proof(
        attempt: AttemptId,
        token: Long,
    ): Proof {
        val report = tasks[attempt]
        if (report?.state == TaskState.EXITED && report.cause == ExitCause.DONE) return Proof.Completed
        // While the agent has a different token, a command of another controller may still arrive.
        if (latestStatus == null || this.token != token || isStartPending(attempt)) return Proof.None
        return when {
            report == null -> if (attempt in startsInAnswer || attempt in executedStarts) Proof.None else Proof.Ended(null)
            report.state == TaskState.EXITED -> Proof.Ended(report.cause)
            else -> Proof.None
        }
    }

    /** Records that this controller answered a heartbeat at [now], which may have renewed the agent's lease. */
    fun recordHeartbeatAnswered(now: Micros) {
        leaseRenewedUs = now
    }

    /**
     * Whether the agent's lease has certainly expired. In that case the agent has killed all its tasks. Two conditions must hold:
     * - The agent has shown a token of this controller, so it ignores answers of other controllers. This controller has
     *   controlled the machine without interruption since [since], starting with [firstToken].
     * - The time since this controller's last answer, and since the newest status, is longer than [leaseUs] plus a margin for
     *   clock drift.
     */
    fun hasLeaseExpired(
        now: Micros,
        since: Micros,
        firstToken: Long,
        leaseUs: Micros,
    ): Boolean {
        if (latestStatus == null || token < firstToken || leaseRenewedUs < since) return false
        return isLeaseExpired(now, maxOf(leaseRenewedUs, lastStatusUs), leaseUs)
    }

    /**
     * Whether a command with [token] may make the agent forget [attempt]: no start of it can be executed any more. The agent refuses
     * starts of other controllers and of earlier claims, since it has shown [token], and no start with [token] remains.
     */
    fun mayForget(
        attempt: AttemptId,
        token: Long,
    ): Boolean = this.token == token && !mayStartAgain(attempt) && attempt !in startsInAnswer

    /** Records that [image] of [gb] GB is on the machine. Evicts the oldest images beyond [cacheGb] GB, as the machine does. */
    fun recordImage(
        image: String,
        gb: Double,
        cacheGb: Double,
    ) {
        images.remove(image)
        images[image] = gb
        while (images.size > 1 && images.values.sum() > cacheGb) images.remove(images.keys.first())
    }

    /** Whether [image] is on the machine. */
    fun hasImage(image: String): Boolean = image in images

    companion object {
        /** Each monotonic clock drifts by up to 0.05 %; 1/500 allows for twice the drift of two clocks. */
        private const val CLOCK_DRIFT_DIVISOR = 500
        private const val EXPIRY_MARGIN: Micros = SECOND

        /** Whether a lease of [leaseUs] that was last renewed at [renewedUs] has certainly expired at [now]. */
        fun isLeaseExpired(
            now: Micros,
            renewedUs: Micros,
            leaseUs: Micros,
        ): Boolean = now - renewedUs > leaseUs + leaseUs / CLOCK_DRIFT_DIVISOR + EXPIRY_MARGIN
    }
}
