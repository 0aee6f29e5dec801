package mintpick.engine.scheduling

import mintpick.config.Operators
import mintpick.core.Contract
import mintpick.core.Job
import mintpick.core.JobId
import mintpick.core.Micros
import mintpick.core.NodeId
import mintpick.core.Resources
import mintpick.core.SECOND
import mintpick.core.ShareNode
import mintpick.core.ShareTree
import mintpick.core.UsageWindow
import mintpick.core.capacity
import mintpick.core.demand
import mintpick.engine.membership.ShardClaims
import mintpick.engine.runtime.EngineContext
import mintpick.engine.state.FormatGate
import mintpick.engine.state.StateStoreClient
import mintpick.engine.state.UsageLayout
import mintpick.engine.state.Write
import mintpick.store.Keys
import mintpick.store.RecordFormat
import mintpick.wire.StoredStage
import mintpick.wire.UsageRecord
import mintpick.wire.WireJson

/** Keeps each team's windowed use of machine time, and says who is funded and who comes first. */
class UsageAccounting(
    private val context: EngineContext,
    private val stateStore: StateStoreClient,
    private val shardClaims: ShardClaims,
    private val operators: Operators,
    private val formats: FormatGate,
) {
    private val window = UsageWindow(operators.windowUs, operators.slotUs)
    private val teams = context.settings.teams
    private val tree: ShareTree = ShareTree(budgets())
    private var lastUs: Micros? = null
    private var nextSummaryUs: Micros = 0
    private var restored = false
    private var busy = false
    private var fundedAt: Micros = -FUNDED_EVERY
    private var fundedJobs: Set<JobId> = emptySet()
    private var usage: Map<String, Double> = emptyMap()
    private var places: Map<String, Int>? = null
    private val overShare = HashMap<String, Boolean>()
    private var usageAt: Micros = -REFRESH

    private val cache get() = context.cache

    private fun budgets(): ShareNode.Group {
        val given = operators.shares
        if (given == null) return ShareNode.Group("root", 1.0, teams.map { ShareNode.Team(it.name, if (it.cpus > 0) it.cpus else 1.0) })
        val named = given.teams().toSet()
        return given.copy(children = given.children + teams.filter { it.name !in named }.map { ShareNode.Team(it.name, 1.0) })
    }

    fun tick() {
        if (!stateStore.serving) return
        restore()
        val before = lastUs
        if (before != null && context.now - before < TICK) return
        lastUs = context.now
        if (before != null) charge((context.now - before).toDouble() / SECOND)
        summarize()
    }

    /** A restarted controller goes on from what its earlier process stored. */
    private fun restore() {
        if (restored) return
        restored = true
        for ((slot, use) in stored(context.me)) window.set(slot, use)
    }

    /** Use by slot and team that [node] has stored; what a piece tells of a slot counts before the whole of earlier versions. */
    private fun stored(node: NodeId): Map<Long, Map<String, Double>> {
        val slots = HashMap<Long, HashMap<String, Double>>()
        for ((_, record) in cache.usage[node].orEmpty().toSortedMap()) {
            val first = record.firstTeam ?: 0
            for ((slot, shares) in record.slots) {
                val use = slots.getOrPut(slot.toLongOrNull() ?: continue) { HashMap() }
                shares.forEachIndexed { i, share -> teams.getOrNull(first + i)?.let { use[it.name] = share } }
            }
        }
        return slots
    }

    /** The cluster's size is what machines of all known kinds that have reported add up to. */
    private fun charge(seconds: Double) {
        var total = Resources.ZERO
        for (machine in cache.machines.values) total += cache.types[machine.record.type]?.capacity ?: continue
        if (total == Resources.ZERO) return
        val used = HashMap<String, Resources>()
        for (machine in cache.machines.values) {
            if (!shardClaims.controls(machine.id)) continue
            for (task in cache.tasksOn(machine.id).keys) {
                val spec = cache.job(task.job)?.spec ?: continue
                used.merge(spec.team, spec.demand, Resources::plus)
            }
        }
        used.forEach { (team, amount) -> window.add(team, amount.dominantShare(total) * seconds, context.wall) }
        window.expire(context.wall)
    }

    private fun summarize() {
        if (busy || context.now < nextSummaryUs || !stateStore.reachable || stateStore.writesAllowed() < SPARE_WRITES) return
        nextSummaryUs = context.now + operators.summaryEveryUs
        busy = true
        val writes = if (formats.current == RecordFormat.VERBOSE) listOf(wholeSummary()) else pieceSummaries()
        var open = 0
        for (some in writes.chunked(context.settings.limits.transactionOps)) {
            open++
            stateStore.transact(emptyList(), some) { if (--open == 0) busy = false }
        }
    }

    /** All that the window holds in one record, as earlier versions keep it. */
    private fun wholeSummary(): Write {
        val slots = window.snapshot().entries.associate { (slot, use) -> slot.toString() to shares(use, teams.indices) }
        return summary(0, UsageRecord(context.wall, slots))
    }

    /** The pieces of the present slot; a record of earlier versions goes once all its slots have left the window. */
    private fun pieceSummaries(): List<Write> {
        val snapshot = window.snapshot()
        val pieces =
            layout().piecesOf(window.slotOf(context.wall)).map { piece ->
                val slots =
                    snapshot.filterKeys { it in piece.slots }.entries.associate { (slot, use) ->
                        "$slot" to shares(use, piece.teams)
                    }
                summary(piece.number, UsageRecord(context.wall, slots, piece.teams.first))
            }
        val oldest = window.slotOf(context.wall - operators.windowUs)
        val whole = cache.usage[context.me]?.get(0)
        val isOver = whole != null && whole.slots.keys.none { (it.toLongOrNull() ?: 0) >= oldest }
        return if (isOver) pieces + Write(Keys.usage(context.me.text), null) else pieces
    }

    private fun layout() = UsageLayout(teams.size, (operators.windowUs / operators.slotUs).toInt() + 1, formats.valueBytes)

    private fun shares(
        use: Map<String, Double>,
        among: IntRange,
    ): List<Double> = among.map { Math.round((use[teams[it].name] ?: 0.0) * ROUND) / ROUND }

    private fun summary(
        piece: Int,
        record: UsageRecord,
    ) = Write(Keys.usage(context.me.text, piece), WireJson.encodeToJsonElement(UsageRecord.serializer(), record))

    /** Use by team: our own as it is now, the other controllers' as of their last summaries. */
    fun use(team: String): Double {
        if (context.now - usageAt >= REFRESH) {
            usageAt = context.now
            val sums = HashMap<String, Double>()
            teams.forEach { sums[it.name] = window.use(it.name) }
            val oldest = window.slotOf(context.wall - operators.windowUs)
            for (node in cache.usage.keys) {
                if (node == context.me) continue
                for ((slot, use) in stored(node)) if (slot >= oldest) use.forEach { (team, share) -> sums.merge(team, share, Double::plus) }
            }
            usage = sums
            places = null
            overShare.clear()
        }
        return usage[team] ?: 0.0
    }

    /** The teams' places in the order of fair share; judged once for each refresh of their use. */
    fun places(): Map<String, Int> {
        use("")
        return places ?: tree.places(::use).also { places = it }
    }

    fun isOverShare(team: String): Boolean {
        use(team)
        return overShare.getOrPut(team) { tree.isOverShare(team, ::use) }
    }

    /** Jobs that their teams' guarantees pay for. */
    fun isFunded(job: JobId): Boolean {
        if (context.now - fundedAt >= FUNDED_EVERY) {
            fundedAt = context.now
            val byTeam = cache.jobs.filter { it.stage == StoredStage.OPEN && it.isReleased }.groupBy { it.spec.team }
            fundedJobs =
                teams.flatMapTo(HashSet()) { team ->
                    val jobs = byTeam[team.name].orEmpty().sortedWith(compareBy<Job> { it.submittedUs }.thenBy { it.id.text })
                    Contract.funded(
                        Resources(team.cpus, team.gpus, 0.0),
                        jobs.map {
                            it.id to
                                it.spec.demand * (it.spec.tasks - it.done).toDouble()
                        },
                    )
                }
        }
        return job in fundedJobs
    }

    companion object {
        private const val TICK: Micros = SECOND
        private const val FUNDED_EVERY: Micros = SECOND / 10
        private const val REFRESH: Micros = SECOND / 2
        private const val ROUND = 1e3
        private const val SPARE_WRITES = 3
    }
}
