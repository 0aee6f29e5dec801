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
 * Each team's use of machine time over a sliding window against its share of the budget tree: who is funded, and who comes
 * first. Each controller charges what runs on its own machines, and adds what the others have stored ([UsageSummaryStore]).
 * From "Ai2 replaces GPU priority scheduling with time budgets and fair share". Event-loop thread only.
 */
class UsageAccounting(
    private val context: EngineContext,
    private val stateStore: StateStoreClient,
    private val shardClaims: ShardClaims,
    private val operators: Operators,
    private val summaries: UsageSummaryStore,
) {
    private val teams = context.settings.teams
    private val window = UsageWindow(operators.windowUs, operators.slotUs)
    private val tree = ShareTree(budgetTree())
    private val fundedJobs = FundedJobs(context)
    private var isRestored = false
    private var chargedUs: Micros? = null

    /** Share-seconds by team, with what is derived from them and holds until they are summed up anew. */
    private var useByTeam: Map<String, Double> = emptyMap()
    private var summedUs: Micros = -REFRESH_INTERVAL
    private var ranks: TeamRanks? = null
    private val overShare = HashMap<String, Boolean>()

    private val cache get() = context.cache

    /** The operators' tree, if there is one, with a branch of weight 1 for each team that it leaves out; else weights are guarantees. */
    private fun budgetTree(): ShareNode.Group {
        val given = operators.shares
        if (given == null) {
            return ShareNode.Group("root", 1.0, teams.map { ShareNode.Team(it.name, if (it.cpus > 0) it.cpus else 1.0) })
        }
        val named = given.teams().toSet()
        val unnamed = teams.filter { it.name !in named }
        return given.copy(children = given.children + unnamed.map { ShareNode.Team(it.name, 1.0) })
    }

    /** Charges what has run since the last second, and stores a summary when one is due. */
    fun tick() {
        if (!stateStore.isServing) return
        restore()
        val before = chargedUs
        if (before != null && context.now - before < CHARGE_INTERVAL) return
        chargedUs = context.now
        if (before != null) charge((context.now - before).toDouble() / SECOND)
        summaries.storeIfDue(window)
    }

    /** A restarted controller goes on from what its earlier process stored. */
    private fun restore() {
        if (isRestored) return
        isRestored = true
        for (stored in summaries.storedBy(context.self)) window.set(stored.slot, stored.byTeam)
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
        for ((team, amount) in used) window.add(team, amount.dominantShare(total) * seconds, context.wall)
        window.expire(context.wall)
    }

    /** What machines of all known types that have reported add up to. */
    private fun clusterCapacity(): Resources {
        var total = Resources.ZERO
        for (machine in cache.machines.values) total += cache.types[machine.record.type]?.capacity ?: continue
        return total
    }

    /** Share-seconds that [team] has used in the window: here as of now, on other controllers as of their last summaries. */
    fun use(team: String): Double {
        refresh()
        return useByTeam[team] ?: 0.0
    }

    private fun refresh() {
        if (context.now - summedUs < REFRESH_INTERVAL) return
        summedUs = context.now
        useByTeam = sumUse()
        ranks = null
        overShare.clear()
    }

    private fun sumUse(): Map<String, Double> {
        val sums = HashMap<String, Double>()
        for (team in teams) sums[team.name] = window.use(team.name)
        val oldestSlot = window.slotOf(context.wall - operators.windowUs)
        for (node in cache.usage.keys) {
            if (node == context.self) continue
            for (stored in summaries.storedBy(node)) {
                if (stored.slot < oldestSlot) continue
                for ((team, use) in stored.byTeam) sums.merge(team, use, Double::plus)
            }
        }
        return sums
    }

    /** The teams' ranks by fair share; judged once for each refresh of their use. */
    fun teamRanks(): TeamRanks {
        refresh()
        return ranks ?: TeamRanks(tree.ranks(::use)).also { ranks = it }
    }

    /** Whether [team] has used more than its share of what all have used. */
    fun isOverShare(team: String): Boolean {
        refresh()
        return overShare.getOrPut(team) { tree.isOverShare(team, ::use) }
    }

    /** Whether the guarantee of its team pays for [job]. */
    fun isFunded(job: JobId): Boolean = job in fundedJobs

    private companion object {
        const val CHARGE_INTERVAL: Micros = SECOND
        const val REFRESH_INTERVAL: Micros = SECOND / 2
    }
}
