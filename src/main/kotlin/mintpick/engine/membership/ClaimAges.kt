package mintpick.engine.membership

import mintpick.core.Micros
import mintpick.engine.runtime.EngineContext

/** Tracks how long this controller has seen the claim of each shard unchanged or missing. */
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

    /** Compares the current claims with those seen at the last call. */
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

    /** How long the claim of [shard] has not changed, in microseconds; null if no claim of it has been observed. */
    fun unchangedForUs(shard: Int): Micros? = observed[shard]?.let { context.now - it.sinceUs }

    /** How long [shard] has had no claim, in microseconds; 0 if it was not observed without one. */
    fun unclaimedForUs(shard: Int): Micros = context.now - (unclaimedSinceUs[shard] ?: context.now)
}
