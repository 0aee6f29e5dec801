package mintpick.config

/**
 * Division of a process's sockets into bounded parts, so that the controller's own calls can't take those that users and health checks
 * need. Immutable.
 *
 * @param maxSockets the platform's limit of open sockets
 */
data class SocketBudget(
    val maxSockets: Int,
) {
    /** Calls to agents in progress. */
    val agentCalls: Int = (maxSockets / SOCKETS_PER_AGENT_CALL).coerceIn(MIN_AGENT_CALLS, MAX_AGENT_CALLS)

    /** Calls in progress to agents that have not answered recently, each of which may take its whole time-out. */
    val suspectAgentCalls: Int = (maxSockets / SOCKETS_PER_SUSPECT_CALL).coerceIn(MIN_AGENT_CALLS, MAX_SUSPECT_CALLS)

    /** Own connections that are kept for further calls. */
    val keptCalls: Int = OTHER_CALLS + maxSockets / SOCKETS_PER_KEPT_CALL

    private companion object {
        const val SOCKETS_PER_AGENT_CALL = 30
        const val SOCKETS_PER_SUSPECT_CALL = 45
        const val SOCKETS_PER_KEPT_CALL = 12
        const val MIN_AGENT_CALLS = 4
        const val MAX_AGENT_CALLS = 48

        /** Enough for an eighth of the fleet failing at the same time, when each call to a failed machine takes its whole time-out. */
        const val MAX_SUSPECT_CALLS = 32

        /** Calls to the state store, the cloud and peers in progress. */
        const val OTHER_CALLS = 18
    }
}
