package mintpick.engine.runtime

import mintpick.core.MILLI
import mintpick.core.Micros
import java.util.EnumMap

/** How records are read from the state store. */
enum class ReadKind { WATCH, CATCH_UP, SNAPSHOT_PAGE }

/** How a heartbeat was answered, and why. */
enum class HeartbeatOutcome {
    /** With all outstanding commands. */
    COMMANDS,

    /** With stops of cancelled tasks only. */
    STOPS_ONLY,

    /** A delayed copy, whose answer no agent reads. */
    DELAYED_COPY,

    /** On behalf of the machine's controller, which is separated from the machine by a network partition. */
    ON_BEHALF,

    /** Redirected to the machine's controller. */
    REDIRECTED,

    /** Refused: the records are being loaded, or no claim gives control of the machine. */
    NOT_READY,

    /** Redirected without a name: the agent has received a higher fencing token. */
    HIGHER_TOKEN,

    /** Redirected without a name: this controller may not renew leases at present. */
    MAY_NOT_RENEW,

    /** Redirected without a name: the machine is known to be terminated. */
    TERMINATED,
}

/** Why a task that the records place on a machine was not started with the commands sent there. */
enum class WithheldStart {
    /** The job has ended, is cancelled, or waits for predecessors. */
    NOT_RUNNABLE,

    /** The attempt is being stopped. */
    STOPPING,

    /** The machine is being drained. */
    DRAINING,

    /** A cancellation that is unknown here may have been confirmed. */
    CANCELLATION_MAY_BE_UNKNOWN,

    /** The records may be older than the claim that gives control of the machine. */
    RECORDS_TOO_OLD,

    /** The agent still lists another attempt of the task, and could refuse the start for that. */
    EARLIER_ATTEMPT_LISTED,
}

/**
 * What one engine has done since the last report: reads of the state store, answers to heartbeats, and starts withheld, by reason.
 * Times are in microseconds. Event-loop thread only.
 */
class EngineMetrics {
    private class Reads {
        var served = 0L
        var failed = 0L
        var longestUs: Micros = 0
    }

    private val reads = EnumMap<ReadKind, Reads>(ReadKind::class.java)
    private val heartbeats = EnumMap<HeartbeatOutcome, Long>(HeartbeatOutcome::class.java)
    private val withheldStarts = EnumMap<WithheldStart, Long>(WithheldStart::class.java)
    private var otherTokens = 0L
    private var unprovenExpiries = 0L
    private var mostRetainedAttempts = 0
    private var unexplainedAttempts = 0L
    private var answersOfOthers = 0L

    /** Records the end of a read that took [durationUs]. */
    fun recordRead(
        kind: ReadKind,
        durationUs: Micros,
        isServed: Boolean,
    ) {
        val reads = reads.getOrPut(kind) { Reads() }
        if (isServed) reads.served++ else reads.failed++
        reads.longestUs = maxOf(reads.longestUs, durationUs)
    }

    /** Records the answer to a heartbeat. */
    fun recordHeartbeat(outcome: HeartbeatOutcome) {
        heartbeats.merge(outcome, 1, Long::plus)
    }

    /** Records that a placed task was not started because of [reason]. */
    fun recordWithheldStart(reason: WithheldStart) {
        withheldStarts.merge(reason, 1, Long::plus)
    }

    /** Records that an agent has shown a token above that of this controller's claim. */
    fun recordOtherToken() {
        otherTokens++
    }

    /** Records that a lease was not taken for expired after its time, because another controller may have renewed it. */
    fun recordUnprovenExpiry() {
        unprovenExpiries++
    }

    /** Records that [count] ended attempts on one machine may not be forgotten yet. */
    fun recordRetainedAttempts(count: Int) {
        mostRetainedAttempts = maxOf(mostRetainedAttempts, count)
    }

    /** Records [count] attempts that an agent has started although no start of this controller explains them. */
    fun recordUnexplainedAttempts(count: Int) {
        unexplainedAttempts += count
    }

    /** Records that another machine than the one that was called has answered. */
    fun recordAnswerOfOther() {
        answersOfOthers++
    }

    /** Returns a line for the log with the values since the last call, and resets them. */
    fun takeReport(): String {
        val readTexts = reads.map { (kind, it) -> "${kind.label()}=${it.served}/${it.failed} longest_ms=${it.longestUs / MILLI}" }
        val answers = "heartbeats ${textOf(heartbeats)} withheld_starts ${textOf(withheldStarts)}"
        val report =
            "reads ${readTexts.joinToString(" ")} $answers other_tokens=$otherTokens unproven_expiries=$unprovenExpiries " +
                "most_retained_attempts=$mostRetainedAttempts unexplained_attempts=$unexplainedAttempts " +
                "answers_of_others=$answersOfOthers"
        reads.clear()
        heartbeats.clear()
        withheldStarts.clear()
        otherTokens = 0
        unprovenExpiries = 0
        mostRetainedAttempts = 0
        unexplainedAttempts = 0
        answersOfOthers = 0
        return report
    }

    private fun textOf(counts: Map<out Enum<*>, Long>): String =
        counts.entries.joinToString(" ") { (kind, count) -> "${kind.label()}=$count" }
}

/** The name of an enum entry as it is printed in log lines. */
internal fun Enum<*>.label(): String = name.lowercase()
