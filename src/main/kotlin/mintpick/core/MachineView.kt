package mintpick.core

import mintpick.wire.ExitCause
import mintpick.wire.MachineReport
import mintpick.wire.TaskReport
import mintpick.wire.TaskState

/** An attempt of a task; attempts of a task are numbered from its first placement on. */
data class AttemptId(
    val task: TaskId,
    val attempt: Int,
)

/** What became of an attempt, as far as its machine's reports prove it. */
sealed interface Proof {
    /** Nothing is proven. */
    data object None : Proof

    /** The task has completed. */
    data object Completed : Proof

    /** The attempt runs nowhere and never will; [cause] is null if its worker does not know it. */
    data class Ended(
        val cause: ExitCause?,
    ) : Proof
}

/**
 * What is known of one machine from its worker's messages: a state machine fed with reports and with the commands that were
 * sent, which says what they prove. Times are microseconds of the steady clock. Event-loop thread only.
 */
class MachineView(
    val id: MachineId,
    /** When the first message came or the first command was sent. */
    val firstContactUs: Micros,
) {
    /** A start that may still be executed; [session] is the one of the worker that it was sent to. */
    private class PendingStart(
        val token: Long,
        val agentEpoch: Long,
    ) {
        /** A command with an older session or token is dropped from now on, however late it arrives. */
        fun isRefusedAfter(report: MachineReport): Boolean = report.agentEpoch > agentEpoch || report.token > token
    }

    /** The newest message; null before the first. */
    var latestStatus: MachineReport? = null
        private set

    /** When the newest message came. */
    var lastStatusUs: Micros = firstContactUs
        private set

    /** When a report (not an answer to a command) last came. */
    var lastHeartbeatUs: Micros = firstContactUs
        private set

    /** When the machine ends according to a notice of its termination; null without one. */
    var noticeEndsUs: Micros? = null
        private set

    /** When the worker's lease was renewed at the latest. */
    private var leaseRenewedUs: Micros = firstContactUs
    private var tasks: Map<AttemptId, TaskReport> = emptyMap()

    /** Starts in direct commands that may still be answered. */
    private val inFlightStarts = HashMap<AttemptId, PendingStart>()

    /** The latest start of each attempt that was not answered: it may be executed later, whatever became of a repetition. */
    private val timedOutStarts = HashMap<AttemptId, PendingStart>()

    /** Starts that went out with the answer to the latest report; until a newer message they may still arrive. */
    private var startsInResponse: Set<AttemptId> = emptySet()

    /** Images on the machine with their sizes in GB, the oldest first. */
    private val images = LinkedHashMap<String, Double>()
    private var lastHeartbeatEpoch = 0L
    private var lastHeartbeatSeq = -1L

    /** The worker's session (its incarnation); 0 before the first message. */
    val agentEpoch: Long get() = latestStatus?.agentEpoch ?: 0

    /** The highest fencing token that the worker has shown; 0 before the first message. */
    val token: Long get() = latestStatus?.token ?: 0

    /** The attempts in the newest message and their states. */
    val reportedAttempts: Collection<Map.Entry<AttemptId, TaskReport>> get() = tasks.entries

    /** Names of the images on the machine. */
    val imageNames: Set<String> get() = images.keys

    /** A start without an answer on a machine that has reported since: only a higher token makes it harmless. */
    val needsHigherToken: Boolean get() = timedOutStarts.isNotEmpty()

    /** What the newest message says of [attempt]; null if it is absent there. */
    fun taskReport(attempt: AttemptId): TaskReport? = tasks[attempt]

    /**
     * Whether the worker may still wait for an answer to [report]. It has one report in flight at a time, so one that is not
     * newer than an earlier one is a late copy, and nobody reads the answer. To be asked once for each report.
     */
    fun recordHeartbeat(report: MachineReport): Boolean {
        if (!isNewer(report, lastHeartbeatEpoch, lastHeartbeatSeq)) return false
        lastHeartbeatEpoch = report.agentEpoch
        lastHeartbeatSeq = report.seq
        return true
    }

    /**
     * Takes a message that came at [now], [direct] if it answers a command or a probe; false if a newer one is known already,
     * which delayed packets make possible.
     */
    fun applyStatus(
        report: MachineReport,
        now: Micros,
        isResponse: Boolean,
    ): Boolean {
        val before = latestStatus
        if (before != null && !isNewer(report, before.agentEpoch, before.seq)) return false
        latestStatus = report
        lastStatusUs = now
        if (!isResponse) lastHeartbeatUs = now
        tasks = tasksOf(report)
        // The worker has read that answer or given it up; in a later session it drops it.
        if (!isResponse || report.agentEpoch > (before?.agentEpoch ?: 0)) startsInResponse = emptySet()
        takeNotice(report.noticeS, now)
        inFlightStarts.values.removeIf { it.isRefusedAfter(report) }
        timedOutStarts.values.removeIf { it.isRefusedAfter(report) }
        return true
    }

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

    /** The first message with a notice sets its end, and one without any clears it. */
    private fun takeNotice(
        noticeS: Double?,
        now: Micros,
    ) {
        if (noticeS == null) {
            noticeEndsUs = null
        } else if (noticeEndsUs == null) {
            noticeEndsUs = now + (noticeS * SECOND).toLong()
        }
    }

    /** A start of [attempt] was sent in a direct command with [token] to the worker's [session]. */
    fun recordStartSent(
        attempt: AttemptId,
        token: Long,
        agentEpoch: Long,
    ) {
        inFlightStarts[attempt] = PendingStart(token, agentEpoch)
    }

    /** The latest start of [attempt] was answered, or never left: it can't be executed later. */
    fun recordStartResolved(attempt: AttemptId) {
        inFlightStarts.remove(attempt)
    }

    /** No answer came: the start of [attempt] may be executed at any later time while its token and session hold. */
    fun recordStartTimeout(attempt: AttemptId) {
        inFlightStarts.remove(attempt)?.let { timedOutStarts[attempt] = it }
    }

    private fun isStartPending(attempt: AttemptId): Boolean = attempt in inFlightStarts || attempt in timedOutStarts

    /** The answer to the latest report carries the [starts]. */
    fun recordStartsInResponse(starts: Set<AttemptId>) {
        startsInResponse = starts
    }

    /** What the newest message proves of [attempt] to a controller whose fencing token is [token]. */
    fun proof(
        attempt: AttemptId,
        token: Long,
    ): Proof {
        val report = tasks[attempt]
        if (report?.state == TaskState.EXITED && report.cause == ExitCause.DONE) return Proof.Completed
        // Below that token an earlier controller's command may still be on its way.
        if (latestStatus == null || this.token != token || isStartPending(attempt)) return Proof.None
        return when {
            report == null -> if (attempt in startsInResponse) Proof.None else Proof.Ended(null)
            report.state == TaskState.EXITED -> Proof.Ended(report.cause)
            else -> Proof.None
        }
    }

    /** This controller answered a report at [now], so the worker's lease may have been renewed as of then. */
    fun recordHeartbeatResponse(now: Micros) {
        leaseRenewedUs = now
    }

    /**
     * Whether the worker's lease has surely expired, so that it has killed whatever it ran: it has shown a token of this
     * controller ([since] and [firstToken] say from when and with which token it has commanded the machine without a break),
     * so nobody else's answers count with it, and this controller's last answer is longer ago than [leaseUs] and the drift of
     * two clocks.
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

    /** Whether the worker may forget [attempt], as a command with [token] says: no start that may still arrive can bring it back. */
    fun mayForget(
        attempt: AttemptId,
        token: Long,
    ): Boolean = this.token == token && !isStartPending(attempt) && attempt !in startsInResponse

    /** Remembers that [image] with a size of [gb] GB is on the machine; the oldest are evicted as they are there, from a cache of [cacheGb] GB. */
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
        /** Steady clocks drift by 0.05 % each; allowed for is twice what two of them make up. */
        private const val CLOCK_DRIFT_DIVISOR = 500
        private const val EXPIRY_MARGIN: Micros = SECOND

        /** Whether a lease of [leaseUs] that was renewed at [renewedUs] at the latest has surely expired at [now]. */
        fun isLeaseExpired(
            now: Micros,
            renewedUs: Micros,
            leaseUs: Micros,
        ): Boolean = now - renewedUs > leaseUs + leaseUs / CLOCK_DRIFT_DIVISOR + EXPIRY_MARGIN
    }
}
