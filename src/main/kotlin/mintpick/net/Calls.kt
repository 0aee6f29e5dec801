package mintpick.net

import mintpick.core.Micros

/**
 * Whom a call goes to; each kind has its own threads, so that a machine that does not answer never delays calls to the state store.
 * Immutable, for any thread.
 */
sealed interface Target {
    /** Host and port, as `host:port`. */
    val address: String

    /** The state store; an [urgent] call, the renewal of the lease, has a thread of its own. */
    data class State(
        override val address: String,
        val urgent: Boolean = false,
    ) : Target

    /** The cloud's interface for machines. */
    data class Cloud(
        override val address: String,
    ) : Target

    /** A worker's agent. A [suspect] has not answered lately: calls to it must not delay calls to the others. */
    data class Worker(
        override val address: String,
        val suspect: Boolean = false,
    ) : Target

    /** Another controller. */
    data class Peer(
        override val address: String,
    ) : Target
}

/**
 * An HTTP request to be made. Immutable once built, for any thread.
 *
 * @param path path and query, encoded
 * @param body null for a request without one
 * @param timeoutUs bound in microseconds on the connect and on each wait for bytes of the answer
 */
class Call(
    val target: Target,
    val method: String,
    val path: String,
    val body: ByteArray? = null,
    val timeoutUs: Micros,
    val contentType: String = "application/json",
)

/** How a call ended. The difference between the last two decides whether it may still take effect. */
sealed interface Outcome {
    /** The answer was read whole, whatever its [status] says. */
    class Answered(
        val status: Int,
        val body: ByteArray,
    ) : Outcome {
        /** The body as UTF-8; malformed bytes become replacement characters. */
        fun text(): String = body.decodeToString()
    }

    /** No connection came about, so the request never was and never will be received. */
    data object NotSent : Outcome

    /** Sent, yet not answered: it may have been executed, or may be later. */
    data object Unanswered : Outcome
}

/** What a user, worker or peer gets. Immutable once built, for any thread. [retryAfterS] is in seconds. */
class Answer(
    val status: Int,
    val body: ByteArray,
    val retryAfterS: Int? = null,
    val contentType: String = "application/json",
    /** Whether its connection is to be closed with it. */
    val closes: Boolean = false,
) {
    companion object {
        /** A JSON answer with the body [text]. */
        fun json(
            status: Int,
            text: String,
            retryAfterS: Int? = null,
        ) = Answer(status, text.encodeToByteArray(), retryAfterS)
    }
}
