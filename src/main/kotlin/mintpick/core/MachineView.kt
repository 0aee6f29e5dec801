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
    val firstHeardUs: Micros,
) {
    /** A start that may still be executed; [session] is the one of the worker that it was sent to. */
    private class OpenStart(
        val token: Long,
        val session: Long,
    ) {
        /** A command with an older session or token is dropped from now on, however late it arrives. */
        fun isRefusedAfter(report: MachineReport): Boolean = report.session > session || report.token > token
    }

    /** The newest message; null before the first. */
    var latest: MachineReport? = null
        private set

    /** When the newest message came. */
    var heardUs: Micros = firstHeardUs
        private set

    /** When a report (not an answer to a command) last came. */
    var reportedUs: Micros = firstHeardUs
        private set

    /** When the machine ends according to a notice of its termination; null without one. */
    var noticeEndsUs: Micros? = null
        private set

    /** When the worker's lease was renewed at the latest. */
    private var renewedUs: Micros = firstHeardUs
    private var tasks: Map<AttemptId, TaskReport> = emptyMap()

    /** Starts in direct commands that may still be answered. */
    private val inFlight = HashMap<AttemptId, OpenStart>()

    /** The latest start of each attempt that was not answered: it may be executed later, whatever became of a repetition. */
    private val lost = HashMap<AttemptId, OpenStart>()

    /** Starts that went out with the answer to the latest report; until a newer message they may still arrive. */
    private var answered: Set<AttemptId> = emptySet()

    /** Images on the machine with their sizes in GB, the oldest first. */
    private val images = LinkedHashMap<String, Double>()
    private var lastReportSession = 0L
    private var lastReportSeq = -1L

    /** The worker's session (its incarnation); 0 before the first message. */
    val session: Long get() = latest?.session ?: 0

    /** The highest fencing token that the worker has shown; 0 before the first message. */
    val token: Long get() = latest?.token ?: 0

    /** The attempts in the newest message and their states. */
    val reported: Collection<Map.Entry<AttemptId, TaskReport>> get() = tasks.entries

    /** Names of the images on the machine. */
    val imageNames: Set<String> get() = images.keys

    /** A start without an answer on a machine that has reported since: only a higher token makes it harmless. */
    val needsHigherToken: Boolean get() = lost.isNotEmpty()

    /** What the newest message says of [attempt]; null if it is absent there. */
    fun state(attempt: AttemptId): TaskReport? = tasks[attempt]

    /**
     * Whether the worker may still wait for an answer to [report]. It has one report in flight at a time, so one that is not
     * newer than an earlier one is a late copy, and nobody reads the answer. To be asked once for each report.
     */
    fun awaits(report: MachineReport): Boolean {
        if (!isNewer(report, lastReportSession, lastReportSeq)) return false
        lastReportSession = report.session
        lastReportSeq = report.seq
        return true
    }

    /**
     * Takes a message that came at [now], [direct] if it answers a command or a probe; false if a newer one is known already,
     * which delayed packets make possible.
     */
    fun take(
        report: MachineReport,
        now: Micros,
        direct: Boolean,
    ): Boolean {
        val before = latest
        if (before != null && !isNewer(report, before.session, before.seq)) return false
        latest = report
        heardUs = now
        if (!direct) reportedUs = now
        tasks = tasksOf(report)
        // The worker has read that answer or given it up; in a later session it drops it.
        if (!direct || report.session > (before?.session ?: 0)) answered = emptySet()
        takeNotice(report.noticeS, now)
        inFlight.values.removeIf { it.isRefusedAfter(report) }
        lost.values.removeIf { it.isRefusedAfter(report) }
        return true
    }

    private fun isNewer(
        report: MachineReport,
        session: Long,
        seq: Long,
    ): Boolean = report.session > session || (report.session == session && report.seq > seq)

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
    fun startSent(
        attempt: AttemptId,
        token: Long,
        session: Long,
    ) {
        inFlight[attempt] = OpenStart(token, session)
    }

    /** The latest start of [attempt] was answered, or never left: it can't be executed later. */
    fun startSettled(attempt: AttemptId) {
        inFlight.remove(attempt)
    }

    /** No answer came: the start of [attempt] may be executed at any later time while its token and session hold. */
    fun startLost(attempt: AttemptId) {
        inFlight.remove(attempt)?.let { lost[attempt] = it }
    }

    private fun isOpen(attempt: AttemptId): Boolean = attempt in inFlight || attempt in lost

    /** The answer to the latest report carries the [starts]. */
    fun answeredWith(starts: Set<AttemptId>) {
        answered = starts
    }

    /** What the newest message proves of [attempt] to a controller whose fencing token is [token]. */
    fun proof(
        attempt: AttemptId,
        token: Long,
    ): Proof {
        val report = tasks[attempt]
        if (report?.state == TaskState.EXITED && report.cause == ExitCause.DONE) return Proof.Completed
        // Below that token an earlier controller's command may still be on its way.
        if (latest == null || this.token != token || isOpen(attempt)) return Proof.None
        return when {
            report == null -> if (attempt in answered) Proof.None else Proof.Ended(null)
            report.state == TaskState.EXITED -> Proof.Ended(report.cause)
            else -> Proof.None
        }
    }

    /** This controller answered a report at [now], so the worker's lease may have been renewed as of then. */
    fun answeredReport(now: Micros) {
        renewedUs = now
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
        if (latest == null || token < firstToken || renewedUs < since) return false
        return isLeaseExpired(now, maxOf(renewedUs, heardUs), leaseUs)
    }

    /** Whether the worker may forget [attempt], as a command with [token] says: no start that may still arrive can bring it back. */
    fun mayForget(
        attempt: AttemptId,
        token: Long,
    ): Boolean = this.token == token && !isOpen(attempt) && attempt !in answered

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
