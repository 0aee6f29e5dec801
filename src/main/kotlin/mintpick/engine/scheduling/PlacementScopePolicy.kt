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
 * Decides whether this controller may place a job, and on whose machines. This division of work between controllers is the
 * project's own design, on top of "Ai2 replaces GPU priority scheduling with time budgets and fair share". Event-loop thread only.
 */
class PlacementScopePolicy(
    private val context: EngineContext,
    private val shardClaims: ShardClaims,
    private val health: ControllerHealth,
) {
    private val controllers = (context.settings.peers.map { it.node } + context.settings.node).sorted().map(::NodeId)

    /**
     * The candidates on which this controller may place [job]; null if other controllers place it. The job's record has been
     * unchanged for [unchangedUs].
     *
     * The preferred controller places a job on the machines of its own shards. The leader places jobs that no single controller's
     * machines can hold as a whole, on the machines of all controllers. Exception: if the preferred controller may lack capacity,
     * another controller may place the job on its own machines, see docs/design.md.
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
        // A gang may fit on this controller's machines if all are empty, but they may never be empty at the same time.
        val isStarvedGang = job.spec.isGang && unchangedUs >= LEADER_FALLBACK_DELAY
        return isStarvedGang || !candidates.own.couldFit(job.spec, job.waitingCount)
    }

    /** Whether [job] is a gang, bound to one zone, or unplaced for so long that one controller's machines may not suffice. */
    private fun mayNeedAllMachines(
        job: Job,
        unchangedUs: Micros,
    ): Boolean {
        if (unchangedUs < SECOND_FALLBACK_DELAY) return false
        return job.spec.isGang || job.spec.oneZone || unchangedUs >= LEADER_FALLBACK_DELAY
    }

    /**
     * Whether this controller may place [job] because [preferred] may lack capacity. The two other controllers have different delays,
     * so they rarely write at the same time. Assumes three controllers in the settings.
     */
    private fun mayPlaceForPeer(
        job: Job,
        preferred: NodeId,
        unchangedUs: Micros,
    ): Boolean {
        val delay = if (isFirstFallback(job, preferred)) FIRST_FALLBACK_DELAY else SECOND_FALLBACK_DELAY
        return health.mayLackCapacity(preferred) && unchangedUs >= delay
    }

    /** The job's id determines which of the two other controllers may place the job first. Assumes three controllers in the settings. */
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

        /**
         * How long the record of a job must be unchanged before the leader considers the machines of all controllers for it. While a
         * cluster boots, nothing fits anywhere. Gangs and one-zone jobs are considered after [SECOND_FALLBACK_DELAY]; a gang that
         * would fit on empty machines of one controller also waits this long.
         */
        const val LEADER_FALLBACK_DELAY: Micros = 15 * SECOND
    }
}
