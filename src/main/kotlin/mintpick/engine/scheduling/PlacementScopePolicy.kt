package mintpick.engine.scheduling

import mintpick.core.Candidates
import mintpick.core.Job
import mintpick.core.MILLI
import mintpick.core.Micros
import mintpick.core.NodeId
import mintpick.core.SECOND
import mintpick.core.isGang
import mintpick.engine.membership.ControllerHealth
import mintpick.engine.membership.ShardClaims
import mintpick.engine.runtime.EngineContext

/**
 * Which controller places which job, and on whose machines: the split of the project's design, on top of "Ai2 replaces GPU
 * priority scheduling with time budgets and fair share". Event-loop thread only.
 */
class PlacementScopePolicy(
    private val context: EngineContext,
    private val shardClaims: ShardClaims,
    private val health: ControllerHealth,
) {
    private val controllers = (context.settings.peers.map { it.node } + context.settings.node).sorted().map(::NodeId)

    /**
     * Where this controller may place [job], whose record has not changed for [unchangedUs]; null if others place it.
     *
     * The preferred controller places a job on the machines of its own shards; the leader takes what no controller's shards can
     * hold as a whole, from everybody's machines. Exception: what the preferred controller has had no room for may be placed by
     * another controller on its own machines, see docs/design.md.
     */
    fun candidatesFor(
        job: Job,
        unchangedUs: Micros,
        candidates: PassCandidates,
    ): Candidates? {
        if (shardClaims.isLeader && needsAllMachines(job, unchangedUs, candidates)) return candidates.all
        val preferred = shardClaims.preferredController(job.id)
        if (preferred == context.self || preferred == null) return candidates.own
        return if (mayPlaceForPeer(job, preferred, unchangedUs)) candidates.own else null
    }

    private fun needsAllMachines(
        job: Job,
        unchangedUs: Micros,
        candidates: PassCandidates,
    ): Boolean {
        if (!mayNeedAllMachines(job, unchangedUs)) return false
        // This controller's machines may hold a gang, were they empty, and never be empty at the same time.
        val isStarvedGang = job.spec.isGang && unchangedUs >= LEADER_FALLBACK_DELAY
        return isStarvedGang || !candidates.own.couldHold(job.spec, job.waiting)
    }

    /** Placed whole or not at all, or unschedulable for a while. */
    private fun mayNeedAllMachines(
        job: Job,
        unchangedUs: Micros,
    ): Boolean {
        if (unchangedUs < SECOND_FALLBACK_DELAY) return false
        return job.spec.isGang || job.spec.oneZone || unchangedUs >= LEADER_FALLBACK_DELAY
    }

    /** Whether this controller may place what [preferred] has no room for; one helper later, so that two rarely write at once. */
    private fun mayPlaceForPeer(
        job: Job,
        preferred: NodeId,
        unchangedUs: Micros,
    ): Boolean {
        val delay = if (isFirstFallback(job, preferred)) FIRST_FALLBACK_DELAY else SECOND_FALLBACK_DELAY
        return health.mayLackCapacity(preferred) && unchangedUs >= delay
    }

    /** The job's id picks which of the two other controllers helps first. */
    private fun isFirstFallback(
        job: Job,
        preferred: NodeId,
    ): Boolean {
        val firstFallbackIndex = Math.floorMod(job.id.text.hashCode(), 2)
        return firstFallbackIndex == if (isNextAfter(preferred)) 0 else 1
    }

    private fun isNextAfter(controller: NodeId): Boolean {
        val next = (controllers.indexOf(controller) + 1) % controllers.size
        return controllers[next] == context.self
    }

    private companion object {
        const val FIRST_FALLBACK_DELAY: Micros = 200 * MILLI
        const val SECOND_FALLBACK_DELAY: Micros = 1_500 * MILLI

        /** An array that fits on no controller's machines is the leader's only then: while a cluster boots, nothing fits anywhere. */
        const val LEADER_FALLBACK_DELAY: Micros = 15 * SECOND
    }
}
