package mintpick.engine.membership

/** Current connectivity of this controller, which decides whether it may claim shards and machines of other controllers. */
interface ClusterConnectivity {
    /** Whether every peer has sent a hint recently; only then are shards moved back to their balanced owners. */
    val hasHintsFromAllPeers: Boolean

    /** Whether calls from this controller reach agents, so that it can serve machines claimed from other controllers. */
    val canReachAgents: Boolean
}
