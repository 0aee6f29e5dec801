package mintpick.core

import mintpick.wire.ExitCause
import mintpick.wire.MachineReport
import mintpick.wire.TaskReport
import mintpick.wire.TaskState

/** An attempt of a task. */
data class AttemptId(
    val task: TaskId,
    val attempt: Int,
)

/** What became of an assignment, as far as a machine's reports prove it. */
sealed interface Proof {
    /** Nothing is proven. */
    data object None : Proof

    /** The task has completed. */
    data object Completed : Proof

    /** The attempt runs nowhere and never will. */
    data class Over(
        val cause: ExitCause?,
    ) : Proof
}

/**
 * What is known of one machine from its worker's messages: a state machine fed with reports and with
 * the commands that were sent, which tells what they prove.
 */
class MachineView(
    val id: MachineId,
    val firstHeardUs: Micros,
) {
    private class OpenLaunch(
        val token: Long,
        val session: Long,
    ) {
        /** A command with an older session or token is dropped from now on, however late it arrives. */
        fun isRefusedAfter(report: MachineReport): Boolean = report.session > session || report.token > token
    }

    var latest: MachineReport? = null
        private set
    var heardUs: Micros = firstHeardUs
        private set

    /** When a report (not an answer to a command) last came. */
    var reportedUs: Micros = firstHeardUs
        private set
    private var renewedUs: Micros = firstHeardUs
    var noticeEndsUs: Micros? = null
        private set
    private var tasks: Map<AttemptId, TaskReport> = emptyMap()

    /** Starts sent straight to the worker that may still be answered. */
    private val inFlight = HashMap<AttemptId, OpenLaunch>()

    /** The latest start of each attempt that was not answered: it may be carried out later, whatever became of a repetition. */
    private val lost = HashMap<AttemptId, OpenLaunch>()

    /** Starts that went out with the answer to the latest report; until a newer message they may be under way. */
    private var answered: Set<AttemptId> = emptySet()
    private val images = LinkedHashMap<String, Double>()

    val session: Long get() = latest?.session ?: 0
    val token: Long get() = latest?.token ?: 0
    val reported: Collection<Map.Entry<AttemptId, TaskReport>> get() = tasks.entries

    fun state(attempt: AttemptId): TaskReport? = tasks[attempt]

    private var lastSession = 0L
    private var lastSeq = -1L

    /**
     * Whether the worker may still wait for an answer to [report]. It has one report in flight at a time, so one
     * that is not newer than a report we had is a late copy, and nobody reads what we answer. Ask once for each.
     */
    fun awaits(report: MachineReport): Boolean {
        if (report.session < lastSession || (report.session == lastSession && report.seq <= lastSeq)) return false
        lastSession = report.session
        lastSeq = report.seq
        return true
    }

    /** Takes a message; false if a newer one is known already, which delayed packets make possible. */
    fun take(
        report: MachineReport,
        now: Micros,
        direct: Boolean,
    ): Boolean {
        val before = latest
        if (before != null &&
            (report.session < before.session || (report.session == before.session && report.seq <= before.seq))
        ) {
            return false
        }
        latest = report
        heardUs = now
        if (!direct) reportedUs = now
        tasks =
            report.tasks
                .mapNotNull { task -> TaskId.parse(task.task)?.let { AttemptId(it, task.attempt) to task } }
                .toMap()
        // The worker has read that answer or given it up; in a later session it drops it.
        if (!direct || report.session > (before?.session ?: 0)) answered = emptySet()
        val notice = report.noticeS
        if (notice == null) {
            noticeEndsUs = null
        } else if (noticeEndsUs == null) {
            noticeEndsUs = now + (notice * SECOND).toLong()
        }
        inFlight.values.removeIf { it.isRefusedAfter(report) }
        lost.values.removeIf { it.isRefusedAfter(report) }
        return true
    }

    /** A start was sent straight to the worker. */
    fun launching(
        attempt: AttemptId,
        token: Long,
        session: Long,
    ) {
        inFlight[attempt] = OpenLaunch(token, session)
    }

    /** The latest start was answered, or never left: it can't be executed later. */
    fun launchSettled(attempt: AttemptId) {
        inFlight.remove(attempt)
    }

    /** No answer came: the start may be executed at any later time while its token and session hold. */
    fun launchLost(attempt: AttemptId) {
        inFlight.remove(attempt)?.let { lost[attempt] = it }
    }

    /** A start without an answer on a machine that has spoken since: only a higher token makes it harmless. */
    val needsHigherToken: Boolean get() = lost.isNotEmpty()

    private fun isOpen(attempt: AttemptId): Boolean = attempt in inFlight || attempt in lost

    fun answeredWith(starts: Set<AttemptId>) {
        answered = starts
    }

    /** What the latest message proves of [attempt] to a controller whose token is [token]. */
    fun proof(
        attempt: AttemptId,
        token: Long,
    ): Proof {
        val report = tasks[attempt]
        if (report?.state == TaskState.EXITED && report.cause == ExitCause.DONE) return Proof.Completed
        // Below our token an earlier controller's command may still be on its way.
        if (latest == null || this.token != token || isOpen(attempt)) return Proof.None
        return when {
            report == null -> if (attempt in answered) Proof.None else Proof.Over(null)
            report.state == TaskState.EXITED -> Proof.Over(report.cause)
            else -> Proof.None
        }
    }

    /** We answered a report with a token of ours, so the worker's lease may have been renewed as of then. */
    fun answeredReport(now: Micros) {
        renewedUs = now
    }

    /**
     * Whether the worker's lease has surely lapsed, so that it has killed whatever it ran: it has shown a token
     * of ours ([since] and [firstToken] say from when and which on the machine was ours without a break), so
     * nobody else's answers count with it, and our own last answer is longer ago than the lease and the drift
     * of two clocks.
     */
    fun hasLapsed(
        now: Micros,
        since: Micros,
        firstToken: Long,
        leaseUs: Micros,
    ): Boolean {
        if (latest == null || token < firstToken || renewedUs < since) return false
        return isLeaseOver(now, maxOf(renewedUs, heardUs), leaseUs)
    }

    /** Whether the worker may forget [attempt]: no start that is still under way may bring it back. */
    fun mayForget(
        attempt: AttemptId,
        token: Long,
    ): Boolean = this.token == token && !isOpen(attempt) && attempt !in answered

    /** Remembers that an image is on the machine; the oldest give way as they do there. */
    fun sawImage(
        image: String,
        gb: Double,
        cacheGb: Double,
    ) {
        images.remove(image)
        images[image] = gb
        while (images.size > 1 && images.values.sum() > cacheGb) images.remove(images.keys.first())
    }

    fun hasImage(image: String): Boolean = image in images

    val imageNames: Set<String> get() = images.keys

    companion object {
        /** Steady clocks drift by 0.05 % each; allowed for is twice what two of them make up. */
        private const val DRIFT_PART = 500
        private const val LAPSE_MARGIN: Micros = SECOND

        /** Whether a lease that was renewed at [renewedUs] at the latest has surely lapsed. */
        fun isLeaseOver(
            now: Micros,
            renewedUs: Micros,
            leaseUs: Micros,
        ): Boolean = now - renewedUs > leaseUs + leaseUs / DRIFT_PART + LAPSE_MARGIN
    }
}
