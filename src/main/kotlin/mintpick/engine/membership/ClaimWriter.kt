package mintpick.engine.membership

import kotlinx.serialization.json.JsonElement
import mintpick.engine.runtime.EngineContext
import mintpick.engine.state.StateStoreClient
import mintpick.engine.state.Write
import mintpick.store.Keys
import mintpick.store.TransactionResult
import mintpick.wire.ClaimRecord
import mintpick.wire.WireJson
import org.slf4j.LoggerFactory

/** Writes and deletes claims by compare-and-swap. Each record is in at most one transaction in flight. */
internal class ClaimWriter(
    private val context: EngineContext,
    private val stateStore: StateStoreClient,
) {
    private val inFlightKeys = HashSet<String>()

    /**
     * Claims those of the [targets] that are in no transaction in flight, up to the size limit of a transaction. The same
     * transaction raises the epochs of the shards [epochShards]. [then] receives whether it was committed; without a lease,
     * without a target left or while the rate limits allow no write, it receives false at once.
     */
    fun claim(
        targets: List<ClaimTarget>,
        reason: String,
        epochShards: Set<Int> = emptySet(),
        then: (isCommitted: Boolean) -> Unit = {},
    ) {
        val record = claimRecord() ?: return then(false)
        val maxTargets = maxOf(1, context.settings.limits.transactionOps - epochShards.size)
        val available = targets.filter { it.key !in inFlightKeys }.take(maxTargets)
        if (available.isEmpty() || stateStore.writesAllowed() < 1) return then(false)
        val keys = available.map { it.key }
        inFlightKeys += keys
        val claims = keys.map { Write(it, record, leased = true) }
        val epochs = epochShards.map { Write(Keys.shardEpoch(it), record) }
        stateStore.transact(available.map { it.guard }, claims + epochs) { result ->
            inFlightKeys -= keys.toSet()
            if (result is TransactionResult.Committed) {
                LOG.info("claimed keys={} token={} reason={}", keys.map { it.removePrefix(Keys.ROOT) }, result.revision, reason)
            }
            then(result is TransactionResult.Committed)
        }
    }

    /** Deletes the record of [target], unless it is in a transaction in flight. */
    fun delete(target: ClaimTarget) {
        if (!inFlightKeys.add(target.key)) return
        stateStore.transact(listOf(target.guard), listOf(Write(target.key, null))) { inFlightKeys.remove(target.key) }
    }

    private fun claimRecord(): JsonElement? {
        val lease = stateStore.lease ?: return null
        return WireJson.encodeToJsonElement(ClaimRecord.serializer(), ClaimRecord(context.self.text, lease))
    }

    private companion object {
        val LOG = LoggerFactory.getLogger(ClaimWriter::class.java)
    }
}
