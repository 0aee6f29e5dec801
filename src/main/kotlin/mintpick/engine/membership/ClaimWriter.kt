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
    /** Records that are claimed in one transaction. */
    private inner class Attempt(
        val targets: List<ClaimTarget>,
        val reason: String,
        val epochShards: Set<Int>,
        val then: (isCommitted: Boolean) -> Unit,
    ) {
        val keys = targets.map { it.key }
        var remainingTries = MAX_TRIES

        /** Whether every record to write still had its expected version, so that only epochs have changed. */
        fun isOnlyRefusedByEpochs(conflict: TransactionResult.Conflict): Boolean = conflict.failed.none { it in keys }

        fun end(isCommitted: Boolean) {
            inFlightKeys -= keys.toSet()
            then(isCommitted)
        }
    }

    private val inFlightKeys = HashSet<String>()
    private var nextRefusalLogUs: Micros = 0

    /**
     * Claims those of the [targets] that are in no transaction in flight, up to the size limit of a transaction. The same
     * transaction raises the epochs of the shards [epochShards]. If only an epoch has changed, the claim is tried again once the
     * records have been read, up to [MAX_TRIES] times in all. [then] receives whether it was committed; without a lease, without a
     * target left or while the rate limits allow no write, it receives false at once.
     */
    fun claim(
        targets: List<ClaimTarget>,
        reason: String,
        epochShards: Set<Int> = emptySet(),
        then: (isCommitted: Boolean) -> Unit = {},
    ) {
        val maxTargets = maxOf(1, context.settings.limits.transactionOps - epochShards.size)
        val available = targets.filter { it.key !in inFlightKeys }.take(maxTargets)
        if (available.isEmpty()) return then(false)
        val attempt = Attempt(available, reason, epochShards, then)
        inFlightKeys += attempt.keys
        send(attempt)
    }

    private fun send(attempt: Attempt) {
        val record = claimRecord()
        if (record == null || stateStore.writesAllowed() < 1) return attempt.end(isCommitted = false)
        attempt.remainingTries--
        val claims = attempt.keys.map { Write(it, record, leased = true) }
        val epochs = attempt.epochShards.map { Write(Keys.shardEpoch(it), record, isCachedOnCommit = false) }
        stateStore.transact(attempt.targets.flatMap(::guardsOf), claims + epochs) { result ->
            logResult(attempt, result)
            val mayTryAgain = result is TransactionResult.Conflict && attempt.isOnlyRefusedByEpochs(result)
            if (mayTryAgain && attempt.remainingTries > 0) {
                stateStore.afterCatchUp { isCaughtUp -> if (isCaughtUp) send(attempt) else attempt.end(isCommitted = false) }
            } else {
                attempt.end(result is TransactionResult.Committed)
            }
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
        attempt: Attempt,
        result: TransactionResult,
    ) {
        val keys = shortened(attempt.keys)
        when (result) {
            is TransactionResult.Committed -> LOG.info("claimed keys={} token={} reason={}", keys, result.revision, attempt.reason)
            is TransactionResult.Conflict -> logRefusal(keys, attempt.reason, result)
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
        LOG.info("claim refused keys={} reason={} failed={} revision={} known={}", keys, reason, failed, conflict.revision, known)
    }

    private fun shortened(keys: List<String>): List<String> = keys.map { it.removePrefix(Keys.ROOT) }

    private fun claimRecord(): JsonElement? {
        val lease = stateStore.lease ?: return null
        return WireJson.encodeToJsonElement(ClaimRecord.serializer(), ClaimRecord(context.self.text, lease))
    }

    private companion object {
        val LOG = LoggerFactory.getLogger(ClaimWriter::class.java)

        /** How often a claim is sent if epochs change in the meantime. */
        const val MAX_TRIES = 3

        /** Minimum time between two log lines about refused claims. */
        const val REFUSAL_LOG_INTERVAL: Micros = SECOND
    }
}
