package mintpick.engine.membership

import mintpick.core.Micros
import mintpick.engine.runtime.EngineContext

/** For how long each shard's claim has stood unchanged, or has been absent, as far as this controller has observed. */
internal class ClaimAges(
    private val context: EngineContext,
    private val shardCount: Int,
) {
    private class ObservedClaim(
        val version: Long,
        val sinceUs: Micros,
    )

    private val observed = HashMap<Int, ObservedClaim>()
    private val unclaimedSinceUs = HashMap<Int, Micros>()

    /** Compares all claims with those of the last call. */
    fun observe() {
        for (shard in 0 until shardCount) observe(shard)
    }

    private fun observe(shard: Int) {
        val claim = context.cache.claims[shard]
        if (claim == null) {
            unclaimedSinceUs.putIfAbsent(shard, context.now)
            observed.remove(shard)
            return
        }
        unclaimedSinceUs.remove(shard)
        if (observed[shard]?.version != claim.version) observed[shard] = ObservedClaim(claim.version, context.now)
    }

    /** For how long the claim of [shard] has not changed, in microseconds; null: it has not been observed. */
    fun unchangedForUs(shard: Int): Micros? = observed[shard]?.let { context.now - it.sinceUs }

    /** For how long [shard] has been without a claim, in microseconds; 0 if it was not observed to be. */
    fun unclaimedForUs(shard: Int): Micros = context.now - (unclaimedSinceUs[shard] ?: context.now)
}
