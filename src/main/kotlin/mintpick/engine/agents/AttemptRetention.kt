package mintpick.engine.agents

import mintpick.core.MAX_RETAINED_ATTEMPTS
import mintpick.core.MachineId
import mintpick.core.MachineView
import mintpick.core.Micros
import mintpick.core.SECOND
import mintpick.engine.membership.ShardClaims
import mintpick.engine.runtime.EngineContext
import mintpick.engine.runtime.TokenBucket

/**
 * Bounds how many ended attempts agents keep in their lists because a direct start of them could be executed again. A higher token
 * lets an agent forget all of them; it costs a write of the state store for each shard or borrowed machine. Beyond a number of
 * retained attempts a machine gets its starts in answers to heartbeats, which are never executed late. Event-loop thread only.
 */
internal class AttemptRetention(
    private val context: EngineContext,
    private val shardClaims: ShardClaims,
    private val index: AgentIndex,
) {
    private val controllers = context.settings.peers.size + 1
    private val raises = TokenBucket(context.settings.limits.writeRps * WRITE_SHARE / controllers, burst = 1.0)
    private val minRaiseIntervalUs: Micros = context.settings.leaseUs / 2
    private val machinesWithBlockedStart = HashSet<MachineId>()
    private var nextTickUs: Micros = 0

    /** Whether the machine of [view] may be sent starts in direct commands. */
    fun allowsDirectStarts(view: MachineView): Boolean = view.retainedAttempts.size < MAX_RETAINED_ATTEMPTS

    /** Whether a start on [machine] waits until its agent has forgotten an earlier attempt of the same task. */
    fun isStartBlocked(machine: MachineId): Boolean = machine in machinesWithBlockedStart

    /** Raises the tokens of machines that retain many attempts, or one whose task is to start there again. Must be called in each step. */
    fun tick() {
        if (context.now < nextTickUs) return
        nextTickUs = context.now + TICK_INTERVAL
        machinesWithBlockedStart.clear()
        for (machine in index.controlledMachines) {
            val view = index.view(machine) ?: continue
            if (view.retainedAttempts.isNotEmpty()) examine(view)
        }
    }

    private fun examine(view: MachineView) {
        context.metrics.recordRetainedAttempts(view.retainedAttempts.size)
        val isBlocked = hasBlockedStart(view)
        if (isBlocked) machinesWithBlockedStart += view.id
        // Only an agent in contact can show the higher token.
        if (!index.isFresh(view)) return
        if (isBlocked) raiseToken(view, ShardClaims.MIN_RAISE_INTERVAL)
        if (view.retainedAttempts.size >= RAISE_THRESHOLD) raiseToken(view, minRaiseIntervalUs)
    }

    private fun hasBlockedStart(view: MachineView): Boolean {
        val placed = context.cache.tasksOn(view.id)
        return view.retainedAttempts.any { retained -> placed[retained.task].let { it != null && it != retained.attempt } }
    }

    private fun raiseToken(
        view: MachineView,
        minIntervalUs: Micros,
    ) {
        if (raises.available(context.now) < 1) return
        if (shardClaims.raiseToken(view.id, "retained-attempts", minIntervalUs)) raises.charge(context.now, 1.0)
    }

    private companion object {
        const val TICK_INTERVAL: Micros = SECOND

        /** Fraction of the state store's writes that may be used to let agents forget attempts. */
        const val WRITE_SHARE = 0.05

        /** Number of retained attempts on a machine from which its token is raised. */
        const val RAISE_THRESHOLD = 16
    }
}
