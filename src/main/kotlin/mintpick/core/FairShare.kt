package mintpick.core

import mintpick.wire.JobSpec
import kotlin.math.max
import kotlin.math.min

/**
 * A node of the budget tree: a team, or a group of them. The tree, its shares set by managers, is that of "Ai2 replaces GPU
 * priority scheduling with time budgets and fair share".
 */
sealed interface ShareNode {
    val name: String

    /** Its share, relative to the weights of its siblings. */
    val weight: Double

    /** Names of all teams in this branch. */
    fun teams(): List<String>

    /** A leaf. */
    data class Team(
        override val name: String,
        override val weight: Double,
    ) : ShareNode {
        override fun teams() = listOf(name)
    }

    /** A branch of several teams or groups. */
    data class Group(
        override val name: String,
        override val weight: Double,
        val children: List<ShareNode>,
    ) : ShareNode {
        override fun teams() = children.flatMap { it.teams() }
    }
}

/** What a branch of the budget tree has used against its weight. */
data class BranchUse(
    val branch: ShareNode,
    /** Share-seconds by weight. */
    val ratio: Double,
)

/**
 * Hierarchical fair share over the budget tree: of two teams the one comes first whose branch, at the level where their paths
 * diverge, has used less against its weight. From "Ai2 replaces GPU priority scheduling with time budgets and fair share".
 * The functions take each team's use as a function, in share-seconds.
 */
class ShareTree(
    root: ShareNode.Group,
) {
    /** The nodes on the way to each team, from the root. */
    private val paths = HashMap<String, List<ShareNode>>()

    /** The teams in each node's branch. */
    private val members = HashMap<ShareNode, List<String>>()

    init {
        walk(root, emptyList())
    }

    private fun walk(
        node: ShareNode,
        above: List<ShareNode>,
    ) {
        val path = above + node
        members[node] = node.teams()
        when (node) {
            is ShareNode.Team -> paths[node.name] = path
            is ShareNode.Group -> node.children.forEach { walk(it, path) }
        }
    }

    /** The rank of each team, the one to be served first lowest: equals share one. */
    fun places(use: (String) -> Double): Map<String, Int> {
        val sorted = paths.keys.sortedWith { a, b -> compare(a, b, use) }
        val ranks = HashMap<String, Int>()
        var rank = 0
        sorted.forEachIndexed { i, team ->
            if (i > 0 && compare(sorted[i - 1], team, use) != 0) rank++
            ranks[team] = rank
        }
        return ranks
    }

    /** Use against weight of every branch on the way to [team], from the top; empty for an unknown team. */
    fun ratios(
        team: String,
        use: (String) -> Double,
    ): List<BranchUse> =
        paths[team]
            .orEmpty()
            .drop(1)
            .map { BranchUse(it, useOf(it, use) / weightOf(it)) }

    private fun useOf(
        branch: ShareNode,
        use: (String) -> Double,
    ): Double = members[branch].orEmpty().sumOf(use)

    private fun weightOf(branch: ShareNode): Double = max(branch.weight, MIN_WEIGHT)

    /** Negative if team [a] is served before team [b], 0 if neither is. */
    fun compare(
        a: String,
        b: String,
        use: (String) -> Double,
    ): Int {
        if (a == b) return 0
        for ((left, right) in ratios(a, use).zip(ratios(b, use))) {
            if (left.branch != right.branch) return left.ratio.compareTo(right.ratio)
        }
        return 0
    }

    /** Whether [team] has used more than its share of what all have used: at some level its branch is above the mean. */
    fun isOverShare(
        team: String,
        use: (String) -> Double,
    ): Boolean {
        val path = paths[team] ?: return true
        for ((parent, child) in path.zipWithNext()) {
            val siblings = (parent as ShareNode.Group).children
            val totalUse = siblings.sumOf { useOf(it, use) }
            val totalWeight = siblings.sumOf { weightOf(it) }
            val fairUse = totalUse * weightOf(child)
            val isAboveMean = useOf(child, use) * totalWeight > fairUse + Resources.EPSILON
            if (siblings.size > 1 && isAboveMean) return true
        }
        return false
    }

    private companion object {
        /** In place of weights of 0, which nothing can be divided by. */
        const val MIN_WEIGHT = 1e-9
    }
}

/**
 * Use by team over a sliding window, in slots: share-seconds of the dominant resource. The window is that of "Ai2 replaces GPU
 * priority scheduling with time budgets and fair share"; its length there is 7 days. Times are times of day in microseconds.
 *
 * @param windowUs the window's length
 * @param slotUs a slot's length; use is forgotten slot by slot
 */
class UsageWindow(
    private val windowUs: Micros,
    private val slotUs: Micros,
) {
    private val slots = HashMap<Long, HashMap<String, Double>>()

    /** The number of the slot that the time of day [wall] is in. */
    fun slotOf(wall: Micros): Long = wall / slotUs

    /** Adds what [team] has used to the slot of [wall]. */
    fun add(
        team: String,
        shareSeconds: Double,
        wall: Micros,
    ) {
        slots.getOrPut(slotOf(wall)) { HashMap() }.merge(team, shareSeconds, Double::plus)
    }

    /** Sets what all teams used in [slot], in place of what is known of it. */
    fun set(
        slot: Long,
        use: Map<String, Double>,
    ) {
        slots[slot] = HashMap(use)
    }

    /** Forgets the slots that are over before the window that ends at [wall]. */
    fun expire(wall: Micros) {
        val oldest = slotOf(wall - windowUs)
        slots.keys.removeIf { it < oldest }
    }

    /** Share-seconds that [team] has used in the slots that are kept. */
    fun use(team: String): Double = slots.values.sumOf { it[team] ?: 0.0 }

    /** Use by team of each slot that is kept. */
    fun snapshot(): Map<Long, Map<String, Double>> = slots.mapValues { it.value.toMap() }
}

/**
 * What the source ("Ai2 replaces GPU priority scheduling with time budgets and fair share") has jobs declare, derived from the
 * platform's fields, since the wire does not carry it: the minimum runtime, and what is funded.
 */
object Contract {
    /**
     * The span in microseconds for which a funded task is protected: its owner's estimate, but never shorter than the
     * fetch of its image nor longer than the cap. A service protects itself as long as its team pays for it.
     */
    fun minimumRuntime(
        spec: JobSpec,
        fetchUs: Micros,
        capUs: Micros,
    ): Micros = if (spec.isService) capUs else max(fetchUs, min(capUs, (spec.estimateS * SECOND).toLong()))

    /**
     * Which of a team's unfinished jobs its guarantee pays for: the earliest ones that fit into it together.
     * [jobs] come in order of submission with what they still need.
     */
    fun funded(
        guarantee: Resources,
        jobs: List<Pair<JobId, Resources>>,
    ): Set<JobId> {
        var left = guarantee
        val funded = LinkedHashSet<JobId>()
        for ((id, need) in jobs) {
            left -= need
            if (!isWithin(guarantee, left)) break
            funded += id
        }
        return funded
    }

    /**
     * Whether no budgeted resource of [guarantee] is overdrawn with [left] left. A resource without a guarantee is not budgeted,
     * so it does not unfund what fits in the others; without any guarantee nothing is funded.
     */
    private fun isWithin(
        guarantee: Resources,
        left: Resources,
    ): Boolean {
        val hasGuarantee = guarantee.cpus > 0 || guarantee.gpus > 0
        val cpusSuffice = guarantee.cpus <= 0 || left.cpus + Resources.EPSILON >= 0
        val gpusSuffice = guarantee.gpus <= 0 || left.gpus + Resources.EPSILON >= 0
        return hasGuarantee && cpusSuffice && gpusSuffice
    }
}
