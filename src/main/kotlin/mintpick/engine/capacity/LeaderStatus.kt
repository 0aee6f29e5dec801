package mintpick.engine.capacity

import mintpick.core.Micros
import mintpick.engine.membership.ControllerHealth
import mintpick.engine.membership.ShardClaims
import mintpick.engine.runtime.EngineContext
import mintpick.engine.state.StateStoreClient

/** Whether this controller may plan capacity now. Event-loop thread only. */
class LeaderStatus(
    private val context: EngineContext,
    private val stateStore: StateStoreClient,
    private val shardClaims: ShardClaims,
    private val health: ControllerHealth,
) {
    /** Whether the records are loaded and kept up to date. */
    val isServing: Boolean get() = stateStore.isServing

    /** How long the records have been loaded. */
    val servingForUs: Micros get() = context.now - stateStore.servingSinceUs

    /** Whether the state service answers this controller. */
    val isHealthy: Boolean get() = health.isHealthy()

    /** A leader that the state service does not answer has perhaps been replaced already. */
    val isActiveLeader: Boolean get() = shardClaims.isLeader && isHealthy
}
