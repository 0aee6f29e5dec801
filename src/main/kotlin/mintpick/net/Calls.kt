package mintpick.net

import mintpick.core.Micros

/**
 * Receiver of a call. Each kind has threads of its own, so that calls to an unresponsive machine never delay calls to the state
 * store. Immutable and thread-safe.
 */
sealed interface Target {
    /** Host and port, as `host:port`. */
    val address: String

    /** The state store. An [urgent] call, used for renewals of the lease, runs on a thread reserved for such calls. */
    data class State(
        override val address: String,
        val urgent: Boolean = false,
    ) : Target

    /** The cloud API. */
    data class Cloud(
        override val address: String,
    ) : Target

    /** An agent. A [suspect] has not answered recent calls; calls to it must not delay calls to other agents. */
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
 * An HTTP request to send. Must not be changed once built; thread-safe.
 *
 * @param path path and query, percent-encoded
 * @param body null for a request without body
 * @param timeoutUs time-out in microseconds, for connecting and for each read of the answer
 */
class Call(
    val target: Target,
    val method: String,
    val path: String,
    val body: ByteArray? = null,
    val timeoutUs: Micros,
    val contentType: String = "application/json",
)

/** Outcome of a call. [NotSent] means that the request has no effect; after [Unanswered] it may still take effect. */
sealed interface Outcome {
    /** An answer was received, with any [status]. */
    class Answered(
        val status: Int,
        val body: ByteArray,
        /** Whether the body was longer than the memory allows. [body] is empty then. */
        val isTooLong: Boolean,
    ) : Outcome {
        /** A complete answer. */
        constructor(status: Int, body: ByteArray) : this(status, body, isTooLong = false)

        /** Returns the body decoded as UTF-8, with malformed bytes replaced by the replacement character. */
        fun text(): String = body.decodeToString()
    }

    /** The call was dropped or no connection was established. The request was not received and never will be. */
    data object NotSent : Outcome

    /** Unknown outcome: the request may have been sent, but no valid answer was received. It may have been executed, or may be later. */
    data object Unanswered : Outcome
}

/** Answer to a request of a user, an agent or a peer. Must not be changed once built; thread-safe. [retryAfterS] is in seconds. */
class Answer(
    val status: Int,
    val body: ByteArray,
    val retryAfterS: Int? = null,
    val contentType: String = "application/json",
    /** Whether to close the connection after this answer. */
    val closes: Boolean = false,
) {
    /** Why the request was not carried out; null if it was. */
    var reason: String? = null
        private set

    companion object {
        /** Builds an answer with the JSON in [text] as its body to a request that was not carried out because of [reason]. */
        fun refusal(
            status: Int,
            text: String,
            retryAfterS: Int?,
            reason: String,
        ) = json(status, text, retryAfterS).also { it.reason = reason }

        /** Builds an answer with the JSON in [text] as its body. */
        fun json(
            status: Int,
            text: String,
            retryAfterS: Int? = null,
        ) = Answer(status, text.encodeToByteArray(), retryAfterS)
    }
}
