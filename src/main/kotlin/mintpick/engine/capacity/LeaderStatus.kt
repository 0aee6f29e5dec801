package mintpick.engine.capacity

import mintpick.core.Micros
import mintpick.engine.membership.ControllerHealth
import mintpick.engine.membership.ShardClaims
import mintpick.engine.runtime.EngineContext
import mintpick.engine.state.StateStoreClient

/** Conditions under which this controller may plan capacity. Event-loop thread only. */
class LeaderStatus(
    private val context: EngineContext,
    private val stateStore: StateStoreClient,
    private val shardClaims: ShardClaims,
    private val health: ControllerHealth,
) {
    /** Whether the records are loaded and kept up to date. */
    val isServing: Boolean get() = stateStore.isServing

    /** Time since the records were loaded. */
    val servingForUs: Micros get() = context.now - stateStore.servingSinceUs

    /** Whether the state store responds to this controller. */
    val isHealthy: Boolean get() = health.isHealthy()

    /** Whether this controller is the leader and healthy. A leader that the state store does not respond to may have been replaced. */
    val isActiveLeader: Boolean get() = shardClaims.isLeader && isHealthy
}
