package mintpick.core

import mintpick.wire.JobSpec
import kotlin.math.max
import kotlin.math.min

/** A node of the budget tree: a team, or a group of them. */
sealed interface ShareNode {
    val name: String
    val weight: Double

    /** Names of all teams in this branch. */
    fun teams(): List<String>

    data class Team(
        override val name: String,
        override val weight: Double,
    ) : ShareNode {
        override fun teams() = listOf(name)
    }

    data class Group(
        override val name: String,
        override val weight: Double,
        val children: List<ShareNode>,
    ) : ShareNode {
        override fun teams() = children.flatMap { it.teams() }
    }
}

/**
 * The budget tree: of two teams the one comes first whose branch, at the level where they part, has used
 * less against its weight.
 */
class ShareTree(
    root: ShareNode.Group,
) {
    private val paths = HashMap<String, List<ShareNode>>()
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

    /** Teams in the order in which they are to be served, as places: equals share one. */
    fun places(use: (String) -> Double): Map<String, Int> {
        val sorted = paths.keys.sortedWith { a, b -> compare(a, b, use) }
        val places = HashMap<String, Int>()
        var place = 0
        sorted.forEachIndexed { i, team ->
            if (i > 0 && compare(sorted[i - 1], team, use) != 0) place++
            places[team] = place
        }
        return places
    }

    /** Use against weight of every branch on the way to [team], from the top. */
    fun ratios(
        team: String,
        use: (String) -> Double,
    ): List<Pair<ShareNode, Double>> =
        paths[team]
            .orEmpty()
            .drop(1)
            .map { node -> node to members[node].orEmpty().sumOf(use) / max(node.weight, MIN_WEIGHT) }

    /** Negative if [a] goes before [b]. */
    fun compare(
        a: String,
        b: String,
        use: (String) -> Double,
    ): Int {
        if (a == b) return 0
        for ((left, right) in ratios(a, use).zip(ratios(b, use))) {
            if (left.first != right.first) return left.second.compareTo(right.second)
        }
        return 0
    }

    /** Whether [team] has used more than its part of what all have used: at some level its branch is above the mean. */
    fun isOverShare(
        team: String,
        use: (String) -> Double,
    ): Boolean {
        val path = paths[team] ?: return true
        for ((parent, child) in path.zipWithNext()) {
            val siblings = (parent as ShareNode.Group).children
            val total = siblings.sumOf { members[it].orEmpty().sumOf(use) }
            val weights = siblings.sumOf { max(it.weight, MIN_WEIGHT) }
            val own = members[child].orEmpty().sumOf(use)
            if (siblings.size > 1 && own * weights > total * max(child.weight, MIN_WEIGHT) + Resources.EPSILON) return true
        }
        return false
    }

    companion object {
        private const val MIN_WEIGHT = 1e-9
    }
}

/** Use by team over a sliding window, in slots: share-seconds of the dominant resource. */
class UsageWindow(
    private val windowUs: Micros,
    private val slotUs: Micros,
) {
    private val slots = HashMap<Long, HashMap<String, Double>>()

    fun slotOf(wall: Micros): Long = wall / slotUs

    fun add(
        team: String,
        shareSeconds: Double,
        wall: Micros,
    ) {
        slots.getOrPut(slotOf(wall)) { HashMap() }.merge(team, shareSeconds, Double::plus)
    }

    fun set(
        slot: Long,
        use: Map<String, Double>,
    ) {
        slots[slot] = HashMap(use)
    }

    fun expire(wall: Micros) {
        val oldest = slotOf(wall - windowUs)
        slots.keys.removeIf { it < oldest }
    }

    fun use(team: String): Double = slots.values.sumOf { it[team] ?: 0.0 }

    fun snapshot(): Map<Long, Map<String, Double>> = slots.mapValues { it.value.toMap() }
}

/** What the platform's fields say about funding, which the wire does not carry itself. */
object Contract {
    /**
     * The span for which a funded task is protected: its owner's estimate, but never shorter than the
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
        var room = guarantee
        val paid = LinkedHashSet<JobId>()
        for ((id, need) in jobs) {
            room -= need
            if (!Resources.ZERO.fitsGuarantee(room, guarantee)) break
            paid += id
        }
        return paid
    }

    /** A resource without a guarantee is not budgeted, so it does not unfund what fits in the others. */
    private fun Resources.fitsGuarantee(
        room: Resources,
        guarantee: Resources,
    ): Boolean =
        (guarantee.cpus > 0 || guarantee.gpus > 0) &&
            (guarantee.cpus <= 0 || cpus <= room.cpus + Resources.EPSILON) &&
            (guarantee.gpus <= 0 || gpus <= room.gpus + Resources.EPSILON)
}
