package mintpick.net

import mintpick.core.Micros

/** Whom a call goes to; each kind has its own threads, so that a hanging machine never holds up the state service. */
sealed interface Target {
    val address: String

    data class State(
        override val address: String,
        val urgent: Boolean = false,
    ) : Target

    data class Cloud(
        override val address: String,
    ) : Target

    /** A [suspect] has not answered lately: it must not hold up calls to the others. */
    data class Worker(
        override val address: String,
        val suspect: Boolean = false,
    ) : Target

    data class Peer(
        override val address: String,
    ) : Target
}

/** An HTTP request to be made. */
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
    class Answered(
        val status: Int,
        val body: ByteArray,
    ) : Outcome {
        fun text(): String = body.decodeToString()
    }

    /** No connection came about, so the request never was and never will be received. */
    data object NotSent : Outcome

    /** Sent, yet not answered: it may have been executed, or may be later. */
    data object Unanswered : Outcome
}

/** What a user, worker or peer gets. */
class Answer(
    val status: Int,
    val body: ByteArray,
    val retryAfterS: Int? = null,
    val contentType: String = "application/json",
    /** Whether its connection is to be closed with it. */
    val closes: Boolean = false,
) {
    companion object {
        fun json(
            status: Int,
            text: String,
            retryAfterS: Int? = null,
        ) = Answer(status, text.encodeToByteArray(), retryAfterS)
    }
}
