package mintpick.core

import kotlin.math.max

/**
 * A node of the budget tree: a team, or a group of teams and groups. The tree and its manually assigned shares follow
 * "Ai2 replaces GPU priority scheduling with time budgets and fair share".
 */
sealed interface ShareNode {
    val name: String

    /** Weight of the node's share, relative to the weights of its siblings. */
    val weight: Double

    /** Names of all teams in this branch. */
    fun teams(): List<String>

    /** A leaf: one team. */
    data class Team(
        override val name: String,
        override val weight: Double,
    ) : ShareNode {
        override fun teams() = listOf(name)
    }

    /** An inner node. */
    data class Group(
        override val name: String,
        override val weight: Double,
        val children: List<ShareNode>,
    ) : ShareNode {
        override fun teams() = children.flatMap { it.teams() }
    }
}

/** Usage of a branch of the budget tree in relation to its weight. */
data class BranchUsage(
    val branch: ShareNode,
    /** Share-seconds divided by weight. */
    val ratio: Double,
)

/**
 * Hierarchical fair share over the budget tree. Two teams are compared at the level where their paths diverge: the jobs of the team whose
 * branch has the lower ratio of usage to weight are placed first. From "Ai2 replaces GPU priority scheduling with time budgets and
 * fair share". The parameter `use` of the functions returns a team's usage in share-seconds.
 */
class ShareTree(
    root: ShareNode.Group,
) {
    /** Path to each team, from the root to the team's leaf. */
    private val paths = HashMap<String, List<ShareNode>>()

    /** Names of the teams below each node. */
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

    /** The rank of each team, starting at 0 for the team whose jobs are placed first. Teams that compare equal share a rank. */
    fun ranks(use: (String) -> Double): Map<String, Int> {
        val sorted = paths.keys.sortedWith { a, b -> compare(a, b, use) }
        val ranks = HashMap<String, Int>()
        var rank = 0
        sorted.forEachIndexed { i, team ->
            if (i > 0 && compare(sorted[i - 1], team, use) != 0) rank++
            ranks[team] = rank
        }
        return ranks
    }

    /** Usage ratio of every branch on the path to [team], from the top; empty for an unknown team. */
    fun usageRatios(
        team: String,
        use: (String) -> Double,
    ): List<BranchUsage> =
        paths[team]
            .orEmpty()
            .drop(1)
            .map { BranchUsage(it, useOf(it, use) / weightOf(it)) }

    private fun useOf(
        branch: ShareNode,
        use: (String) -> Double,
    ): Double = members[branch].orEmpty().sumOf(use)

    private fun weightOf(branch: ShareNode): Double = max(branch.weight, MIN_WEIGHT)

    /** Negative if jobs of team [a] are placed before those of team [b], positive if after them, 0 if they compare equal. */
    fun compare(
        a: String,
        b: String,
        use: (String) -> Double,
    ): Int {
        if (a == b) return 0
        for ((left, right) in usageRatios(a, use).zip(usageRatios(b, use))) {
            if (left.branch != right.branch) return left.ratio.compareTo(right.ratio)
        }
        return 0
    }

    /**
     * Whether [team] has used more than its fair share: at some level its branch has used more than its weight's part of the
     * siblings' total. True for an unknown team.
     */
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
        /** Replaces weights of 0, which would cause a division by zero. */
        const val MIN_WEIGHT = 1e-9
    }
}
