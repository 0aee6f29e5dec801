package mintpick.core

import kotlin.math.max

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

    /** The rank of each team, from 0 for the one to be served first: equals share one. */
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

    /** Use against weight of every branch on the way to [team], from the top; empty for an unknown team. */
    fun usageRatios(
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
        for ((left, right) in usageRatios(a, use).zip(usageRatios(b, use))) {
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
