package mintpick.engine.scheduling

import mintpick.config.Operators
import mintpick.core.JobId
import mintpick.core.Micros
import mintpick.core.Resources
import mintpick.core.SECOND
import mintpick.core.ShareNode
import mintpick.core.ShareTree
import mintpick.core.UsageWindow
import mintpick.core.capacity
import mintpick.core.demand
import mintpick.engine.membership.ShardClaims
import mintpick.engine.runtime.EngineContext
import mintpick.engine.state.StateStoreClient

/**
 * Tracks each team's usage of machine time in a sliding window, and compares it with the team's share in the budget tree.
 * Determines which jobs are funded and which teams come first. Each controller charges the tasks on its own machines, and adds the
 * usage that its peers have stored ([UsageSummaryStore]). From "Ai2 replaces GPU priority scheduling with time budgets and fair
 * share". Event-loop thread only.
 */
class UsageAccounting(
    private val context: EngineContext,
    private val stateStore: StateStoreClient,
    private val shardClaims: ShardClaims,
    private val operators: Operators,
    private val summaryStore: UsageSummaryStore,
) {
    private val teams = context.settings.teams
    private val window = UsageWindow(operators.windowUs, operators.slotUs)
    private val tree = ShareTree(budgetTree())
    private val fundedJobs = FundedJobs(context)
    private var isRestored = false
    private var lastChargeUs: Micros? = null

    /** Share-seconds by team as of the last refresh; the ranks and comparisons below are derived from them. */
    private var usageByTeam: Map<String, Double> = emptyMap()
    private var refreshedUs: Micros = -REFRESH_INTERVAL
    private var cachedRanks: FairShareRanks? = null
    private val isOverShareByTeam = HashMap<String, Boolean>()

    private val cache get() = context.cache

    /**
     * The operators' tree with a branch of weight 1 for each team that it omits; without one, a branch for each team, weighted by
     * its CPU guarantee.
     */
    private fun budgetTree(): ShareNode.Group {
        val configured = operators.shares
        if (configured == null) {
            return ShareNode.Group("root", 1.0, teams.map { ShareNode.Team(it.name, if (it.cpus > 0) it.cpus else 1.0) })
        }
        val teamsInTree = configured.teams().toSet()
        val otherTeams = teams.filter { it.name !in teamsInTree }
        return configured.copy(children = configured.children + otherTeams.map { ShareNode.Team(it.name, 1.0) })
    }

    /** Charges the tasks that have run since the last charge, if that is due, and stores a summary if one is due. */
    fun tick() {
        if (!stateStore.isServing) return
        restore()
        val previousChargeUs = lastChargeUs
        if (previousChargeUs != null && context.now - previousChargeUs < CHARGE_INTERVAL) return
        lastChargeUs = context.now
        if (previousChargeUs != null) charge((context.now - previousChargeUs).toDouble() / SECOND)
        summaryStore.storeIfDue(window)
    }

    /** Restores the usage that an earlier process of this controller stored. */
    private fun restore() {
        if (isRestored) return
        isRestored = true
        for (stored in summaryStore.usageStoredBy(context.self)) window.set(stored.slot, stored.byTeam)
    }

    private fun charge(seconds: Double) {
        val total = clusterCapacity()
        if (total == Resources.ZERO) return
        val used = HashMap<String, Resources>()
        for (machine in cache.machines.values) {
            if (!shardClaims.controls(machine.id)) continue
            for (task in cache.tasksOn(machine.id).keys) {
                val spec = cache.job(task.job)?.spec ?: continue
                used.merge(spec.team, spec.demand, Resources::plus)
            }
        }
        for ((team, amount) in used) window.add(team, amount.dominantShare(total) * seconds, context.wallClockUs)
        window.expire(context.wallClockUs)
    }

    /** Total capacity of all recorded machines of known types. */
    private fun clusterCapacity(): Resources {
        var total = Resources.ZERO
        for (machine in cache.machines.values) total += cache.machineTypes[machine.record.type]?.capacity ?: continue
        return total
    }

    /**
     * Share-seconds that [team] has used in the window, up to [REFRESH_INTERVAL] old: this controller's own charges plus the last
     * summaries stored by its peers.
     */
    fun usageOf(team: String): Double {
        refresh()
        return usageByTeam[team] ?: 0.0
    }

    private fun refresh() {
        if (context.now - refreshedUs < REFRESH_INTERVAL) return
        refreshedUs = context.now
        usageByTeam = sumUsage()
        cachedRanks = null
        isOverShareByTeam.clear()
    }

    private fun sumUsage(): Map<String, Double> {
        val sums = HashMap<String, Double>()
        for (team in teams) sums[team.name] = window.usageOf(team.name)
        val oldestSlot = window.slotOf(context.wallClockUs - operators.windowUs)
        for (node in cache.usage.keys) {
            if (node == context.self) continue
            for (stored in summaryStore.usageStoredBy(node)) {
                if (stored.slot < oldestSlot) continue
                for ((team, use) in stored.byTeam) sums.merge(team, use, Double::plus)
            }
        }
        return sums
    }

    /** The teams' ranks by fair share, computed once per refresh of their usage. */
    fun fairShareRanks(): FairShareRanks {
        refresh()
        return cachedRanks ?: FairShareRanks(tree.ranks(::usageOf)).also { cachedRanks = it }
    }

    /** Whether [team] has used more than its share of the total usage. */
    fun isOverShare(team: String): Boolean {
        refresh()
        return isOverShareByTeam.getOrPut(team) { tree.isOverShare(team, ::usageOf) }
    }

    /** Whether the guarantee of its team pays for [job]. */
    fun isFunded(job: JobId): Boolean = job in fundedJobs

    private companion object {
        const val CHARGE_INTERVAL: Micros = SECOND
        const val REFRESH_INTERVAL: Micros = SECOND / 2
    }
}
