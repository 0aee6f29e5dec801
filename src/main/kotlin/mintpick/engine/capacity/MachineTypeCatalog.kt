package mintpick.engine.capacity

import mintpick.cloud.CloudProtocol
import mintpick.core.Micros
import mintpick.core.SECOND
import mintpick.engine.cache.MachineTypePieces
import mintpick.engine.membership.ShardClaims
import mintpick.engine.runtime.EngineContext
import mintpick.engine.state.RecordFormatNegotiator
import mintpick.engine.state.StateStoreClient
import mintpick.engine.state.Write
import mintpick.net.Outcome
import mintpick.store.Keys
import mintpick.store.RecordFormat
import mintpick.wire.MachineType

/** Fetches the cloud's machine types and stores them for all controllers. Event-loop thread only. */
class MachineTypeCatalog(
    private val context: EngineContext,
    private val stateStore: StateStoreClient,
    private val shardClaims: ShardClaims,
    private val formats: RecordFormatNegotiator,
    private val cloud: CloudClient,
) {
    private var nextFetchUs: Micros = 0

    private val cache get() = context.cache

    /** Fetches the types when due: the leader regularly, other controllers only while no types are stored. */
    fun tick() {
        if (context.now < nextFetchUs) return
        if (cache.machineTypes.isNotEmpty() && !shardClaims.isLeader) return
        if (!cloud.readBudget.take(context.now, 1.0)) return
        nextFetchUs = context.now + RETRY_INTERVAL
        context.call(cloud.protocol.types(), ::onFetched)
    }

    private fun onFetched(outcome: Outcome) {
        val result = cloud.protocol.readTypes(outcome)
        if (result !is CloudProtocol.Result.Ok || result.value.types.isEmpty()) return
        nextFetchUs = context.now + FETCH_INTERVAL
        if (result.value.types != cache.machineTypes.values.toList()) store(result.value.types)
    }

    /**
     * Stores [types], divided into pieces if they are too large for one value. Versions that support only one piece do not read
     * the others.
     */
    private fun store(types: List<MachineType>) {
        val pieces = MachineTypePieces.encode(types, formats.maxValueBytes, formats.current == RecordFormat.VERBOSE)
        val writes = pieces.mapIndexed { i, value -> Write(Keys.types(i), value) }
        val obsolete = (pieces.size until cache.machineTypePieceCount).map { Write(Keys.types(it), null) }
        (writes + obsolete)
            .chunked(context.settings.limits.transactionOps)
            .forEach { stateStore.transact(emptyList(), it) { } }
    }

    private companion object {
        const val FETCH_INTERVAL: Micros = 30 * SECOND
        const val RETRY_INTERVAL: Micros = SECOND
    }
}
