package mintpick.engine.membership

/** Whom this controller is in contact with at the moment, which decides whether it may take shards and machines from others. */
interface ClusterConnectivity {
    /** Whether every other controller has sent a hint lately, so that shards may go back to their preferred controllers. */
    val hasHintsFromAllPeers: Boolean

    /** Whether our calls reach agents, so that machines that we take from other controllers are served. */
    val canReachAgents: Boolean
}
