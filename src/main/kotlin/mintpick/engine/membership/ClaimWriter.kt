package mintpick.engine.membership

import kotlinx.serialization.json.JsonElement
import mintpick.core.Micros
import mintpick.core.SECOND
import mintpick.engine.runtime.EngineContext
import mintpick.engine.state.StateStoreClient
import mintpick.engine.state.Write
import mintpick.store.Keys
import mintpick.store.TransactionResult
import mintpick.wire.ClaimRecord
import mintpick.wire.Guard
import mintpick.wire.WireJson
import org.slf4j.LoggerFactory

/**
 * Writes and deletes claims by compare-and-swap. Each record is in at most one transaction in flight.
 *
 * The version of a claim is a fencing token, so a claim may be committed only if its writer has read every earlier claim that
 * controls one of the same machines: an agent obeys the highest token, whoever holds it. [guardsOf] ensures this for all claims.
 */
internal class ClaimWriter(
    private val context: EngineContext,
    private val stateStore: StateStoreClient,
) {
    private val inFlightKeys = HashSet<String>()
    private var nextRefusalLogUs: Micros = 0

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
        val epochs = epochShards.map { Write(Keys.shardEpoch(it), record, isCachedOnCommit = false) }
        stateStore.transact(available.flatMap(::guardsOf), claims + epochs) { result ->
            inFlightKeys -= keys.toSet()
            logResult(keys, reason, result)
            // The records that refuted the guards are read now, so that the next attempt is based on them.
            if (result is TransactionResult.Conflict) stateStore.afterCatchUp { }
            then(result is TransactionResult.Committed)
        }
    }

    /** Deletes the record of [target], unless it is in a transaction in flight. */
    fun delete(target: ClaimTarget) {
        if (!inFlightKeys.add(target.key)) return
        stateStore.transact(guardsOf(target), listOf(Write(target.key, null))) { inFlightKeys.remove(target.key) }
    }

    /**
     * The guards under which [target] may be written. A borrowing changes no shard claim but raises the shard's epoch, so a shard
     * claim is also guarded by the epoch: it fails if a machine of the shard has been borrowed unnoticed.
     */
    private fun guardsOf(target: ClaimTarget): List<Guard> {
        val ownRecord = Guard(target.key, target.version)
        if (target !is ClaimTarget.Shard) return listOf(ownRecord)
        val epochKey = Keys.shardEpoch(target.shard)
        return listOf(ownRecord, Guard(epochKey, context.cache.version(epochKey)))
    }

    private fun logResult(
        keys: List<String>,
        reason: String,
        result: TransactionResult,
    ) {
        when (result) {
            is TransactionResult.Committed -> LOG.info("claimed keys={} token={} reason={}", shortened(keys), result.revision, reason)
            is TransactionResult.Conflict -> logRefusal(keys, reason, result)
            else -> Unit
        }
    }

    private fun logRefusal(
        keys: List<String>,
        reason: String,
        conflict: TransactionResult.Conflict,
    ) {
        if (context.now < nextRefusalLogUs) return
        nextRefusalLogUs = context.now + REFUSAL_LOG_INTERVAL
        val failed = shortened(conflict.failed)
        val known = context.cache.revision
        LOG.info(
            "claim refused keys={} reason={} failed={} revision={} known={}",
            shortened(keys),
            reason,
            failed,
            conflict.revision,
            known,
        )
    }

    private fun shortened(keys: List<String>): List<String> = keys.map { it.removePrefix(Keys.ROOT) }

    private fun claimRecord(): JsonElement? {
        val lease = stateStore.lease ?: return null
        return WireJson.encodeToJsonElement(ClaimRecord.serializer(), ClaimRecord(context.self.text, lease))
    }

    private companion object {
        val LOG = LoggerFactory.getLogger(ClaimWriter::class.java)

        /** Minimum time between two log lines about refused claims. */
        const val REFUSAL_LOG_INTERVAL: Micros = SECOND
    }
}
