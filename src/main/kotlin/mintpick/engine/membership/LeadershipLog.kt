package mintpick.engine.membership

import mintpick.engine.cache.Claim
import mintpick.engine.runtime.EngineContext
import org.slf4j.LoggerFactory

/** Logs each change of the leader and its fencing token, as this controller learns of it. Event-loop thread only. */
internal class LeadershipLog(
    private val context: EngineContext,
) {
    private var last: Claim? = null

    /** Compares the leader with the last one. Must be called in each step. */
    fun tick() {
        val leader = context.cache.leader
        if (leader === last) return
        val isNew = leader?.node != last?.node || leader?.version != last?.version
        last = leader
        if (isNew) LOG.info("leader node={} token={} revision={}", leader?.node?.text, leader?.version, context.cache.revision)
    }

    private companion object {
        val LOG = LoggerFactory.getLogger(LeadershipLog::class.java)
    }
}
