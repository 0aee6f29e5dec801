package mintpick.users

import java.util.concurrent.ConcurrentHashMap

/** Sender of a request. */
internal enum class RequestOrigin { USER, AGENT_OR_PEER }

/** Requests that were answered with 429 or 503 since the last report, by sender and reason. Thread-safe. */
internal class RefusalCounts {
    private data class Refusal(
        val origin: RequestOrigin,
        val status: Int,
        val reason: String,
    )

    private val counts = ConcurrentHashMap<Refusal, Long>()

    /** Counts a refusal with [status] because of [reason], which must be one of a small number of fixed texts. */
    fun record(
        origin: RequestOrigin,
        status: Int,
        reason: String,
    ) {
        counts.merge(Refusal(origin, status, reason), 1, Long::plus)
    }

    /** Returns a text with the counts since the last call, and resets them; null if nothing was refused. */
    fun takeReport(): String? {
        val taken = counts.keys.mapNotNull { refusal -> counts.remove(refusal)?.let { refusal to it } }
        if (taken.isEmpty()) return null
        return taken
            .sortedByDescending { it.second }
            .joinToString(
                " ",
            ) { (refusal, count) -> "${refusal.origin.name.lowercase()}=$count status=${refusal.status} reason='${refusal.reason}'" }
    }
}
