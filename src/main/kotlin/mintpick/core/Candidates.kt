package mintpick.core

import mintpick.wire.JobSpec
import java.util.random.RandomGenerator

/** A machine that tasks may be placed on, as placement and the scale-out planner see it. */
data class CandidateMachine(
    val machine: MachineId,
    val type: String,
    val zone: String,
    val spot: Boolean,
    /** What no task holds. */
    val free: Resources,
    /** What the machine has when it is empty. */
    val total: Resources,
    /** Whether the machine has the image with the given name. */
    val hasImage: (String) -> Boolean,
    /** Commanded by this controller, as against one that would have to be borrowed. */
    val isOwned: Boolean,
    /** Held by work that services may preempt. */
    val preemptible: Resources = Resources.ZERO,
    /** Its agent has accepted this controller: until then it takes no work, though work may wait for it. */
    val isReady: Boolean = true,
    /** Has booted: false for a machine that was only requested or is booting. */
    val hasBooted: Boolean = true,
)

/**
 * Candidate machines as one planning pass fills them, the fullest first. Views that [with] derives share what is left of the
 * machines that they have in common. Event-loop thread only.
 */
class Candidates private constructor(
    internal val entries: List<Entry>,
) {
    /** A candidate and what the pass has left free on it. */
    internal class Entry(
        val candidate: CandidateMachine,
        var free: Resources,
    ) {
        /** The dominant share of the machine that services did not hold when the pass began. */
        val shareNotHeldByServices: Double = (candidate.free + candidate.preemptible).dominantShare(candidate.total)

        /** The dominant share of the machine that is free. */
        val freeShare: Double get() = free.dominantShare(candidate.total)

        /** Whether the rules of [spec] for machines allow this one. */
        fun isAllowed(spec: JobSpec): Boolean = Placer.isAllowed(spec, candidate.type, candidate.zone, candidate.spot)
    }

    /**
     * The on-demand machines, those first of which services hold most: the gaps of machines that batch work has filled would
     * scatter services over all of them, and none could be returned when that work is done.
     */
    internal val fullestOfServicesFirst: List<Entry> by lazy {
        entries.filter { !it.candidate.spot }.sortedBy { it.shareNotHeldByServices }
    }

    /** The zones that there is a machine in, whatever it holds. */
    internal val zones: Set<String> by lazy { entries.mapTo(HashSet()) { it.candidate.zone } }

    private val byMachine: Map<MachineId, Entry> by lazy { entries.associateBy { it.candidate.machine } }

    /** Specifications that no machine held a task of in this pass: what needs as much need not be tried again. */
    private val unplaceable = ArrayList<JobSpec>()

    /** Whether [count] tasks of [spec] would fit on these machines, were they empty. */
    fun couldFit(
        spec: JobSpec,
        count: Int,
    ): Boolean {
        var taskCapacity = 0
        for (entry in entries) {
            if (entry.isAllowed(spec)) taskCapacity += spec.demand.countIn(entry.candidate.total)
            if (taskCapacity >= count) return true
        }
        return false
    }

    /** The candidate [machine] as it was when the pass began; null if it is not among these. */
    operator fun get(machine: MachineId): CandidateMachine? = byMachine[machine]?.candidate

    /** Takes [demand] of what is free on [machine] for the rest of the pass; no effect if it is not among these. */
    fun reserve(
        machine: MachineId,
        demand: Resources,
    ) {
        byMachine[machine]?.let { it.free -= demand }
    }

    /** These machines and [more]; what is taken from one view is taken from the other. */
    fun with(more: Collection<CandidateMachine>): Candidates = Candidates(sorted(entries + more.map { Entry(it, it.free) }))

    /** Up to [count] of the machines, drawn with [random], with what is free on them now. All of them if there are no more. */
    fun sample(
        random: RandomGenerator,
        count: Int,
    ): List<CandidateMachine> {
        val drawn = if (entries.size <= count) entries else List(count) { entries[random.nextInt(entries.size)] }.distinct()
        return drawn.map { it.candidate.copy(free = it.free) }
    }

    /** Remembers that no machine holds a task of [spec]; one that names types or a zone says nothing about other jobs. */
    internal fun recordUnplaceable(spec: JobSpec) {
        if (spec.types == null && spec.zone == null) unplaceable += spec
    }

    /** Whether what needs at most as much as [spec], and may use the same machines at least, was unplaceable already. */
    internal fun isUnplaceable(spec: JobSpec): Boolean = unplaceable.any { (it.spot || !spec.spot) && it.demand.fits(spec.demand) }

    companion object {
        /** The given [machines], of which nothing is taken yet. */
        fun of(machines: Collection<CandidateMachine>): Candidates = Candidates(sorted(machines.map { Entry(it, it.free) }))

        private fun sorted(entries: List<Entry>): List<Entry> = entries.sortedBy { it.freeShare }
    }
}
