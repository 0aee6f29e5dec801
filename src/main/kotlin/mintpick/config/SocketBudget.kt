package mintpick.config

/**
 * Division of a process's sockets into bounded parts, so that neither agents nor the controller's own calls can take those that users and
 * health checks need. Immutable.
 *
 * @param maxSockets the platform's limit of open sockets
 * @param peers number of other controllers
 */
data class SocketBudget(
    val maxSockets: Int,
    val peers: Int,
) {
    /** Calls to agents in progress. */
    val agentCalls: Int = (maxSockets / SOCKETS_PER_AGENT_CALL).coerceIn(MIN_AGENT_CALLS, MAX_AGENT_CALLS)

    /** Calls in progress to agents that have not answered recently, each of which may take its whole time-out. */
    val suspectAgentCalls: Int = (maxSockets / SOCKETS_PER_SUSPECT_CALL).coerceIn(MIN_AGENT_CALLS, MAX_SUSPECT_CALLS)

    /** Own connections that are kept for further calls. */
    val keptCalls: Int = OTHER_CALLS + maxSockets / SOCKETS_PER_KEPT_CALL

    private val ownSockets: Int = agentCalls + suspectAgentCalls + keptCalls + OTHER_CALLS + peers * SOCKETS_PER_PEER + LISTENERS

    /** Connections that are accepted from users, agents and health checks together. */
    val clients: Int = maxSockets - ownSockets

    /** Connections of users. Agents can't take these. */
    val users: Int = maxSockets / SOCKETS_PER_USER_SOCKET

    /** User requests that wait for an answer. */
    val pendingUserRequests: Int = minOf(users, maxOf(MIN_PENDING_USER_REQUESTS, maxSockets / SOCKETS_PER_PENDING_USER_REQUEST))

    /** Connections of agents, including those that wait for an answer. The remainder of [clients] is left to requests not read yet. */
    val agents: Int = clients - users - maxSockets / SOCKETS_PER_UNREAD_REQUEST

    /** Connections of agents that stay open between two heartbeats. */
    val keptAgents: Int = minOf(maxSockets * 2 / 5, agents * 2 / 3)

    companion object {
        /** Smallest limit that leaves every part a few sockets, with up to six other controllers. */
        const val MIN_SOCKETS = 128

        private const val SOCKETS_PER_USER_SOCKET = 5
        private const val SOCKETS_PER_UNREAD_REQUEST = 20
        private const val SOCKETS_PER_PENDING_USER_REQUEST = 8
        private const val MIN_PENDING_USER_REQUESTS = 48
        private const val LISTENERS = 4

        /** Connections to and from a peer. */
        private const val SOCKETS_PER_PEER = 4
        private const val SOCKETS_PER_AGENT_CALL = 30
        private const val SOCKETS_PER_SUSPECT_CALL = 45
        private const val SOCKETS_PER_KEPT_CALL = 12
        private const val MIN_AGENT_CALLS = 4
        private const val MAX_AGENT_CALLS = 48

        /** Enough for an eighth of the fleet failing at the same time, when each call to a failed machine takes its whole time-out. */
        private const val MAX_SUSPECT_CALLS = 32

        /** Calls to the state store, the cloud and peers in progress. */
        private const val OTHER_CALLS = 18
    }
}
