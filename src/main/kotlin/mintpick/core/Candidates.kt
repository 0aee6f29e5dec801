package mintpick.core

import mintpick.wire.JobSpec
import java.util.random.RandomGenerator

/** A machine that tasks may be placed on; input of placement and of the scale-out planner. */
data class CandidateMachine(
    val machine: MachineId,
    val type: String,
    val zone: String,
    val spot: Boolean,
    /** Resources that are not assigned to any task. */
    val free: Resources,
    /** Capacity of the empty machine. */
    val total: Resources,
    /** Whether the machine has the image with the given name. */
    val hasImage: (String) -> Boolean,
    /** Whether this controller controls the machine; otherwise it would have to be borrowed from a peer. */
    val isControlled: Boolean,
    /** Resources assigned to work that services may preempt. */
    val preemptible: Resources = Resources.ZERO,
    /** Whether the agent has accepted this controller. Until then it starts no tasks, but tasks may be placed on it in advance. */
    val isReady: Boolean = true,
    /** False for a machine that is requested or booting. */
    val hasBooted: Boolean = true,
)

/**
 * Candidate machines of one planning pass, the fullest first, with the free capacity that the pass has not reserved yet.
 * Instances derived by [with] share the reservations on the machines that they have in common. Event-loop thread only.
 */
class Candidates private constructor(
    internal val entries: List<Entry>,
) {
    /** A candidate and its remaining free resources. */
    internal class Entry(
        val candidate: CandidateMachine,
        var free: Resources,
    ) {
        /** Dominant share of the machine that was not used by services at the start of the pass. */
        val shareNotUsedByServices: Double = (candidate.free + candidate.preemptible).dominantShare(candidate.total)

        /** Dominant share of the machine that is free. */
        val freeShare: Double get() = free.dominantShare(candidate.total)

        /** Whether the placement constraints of [spec] allow this machine. */
        fun isAllowed(spec: JobSpec): Boolean = Placer.isAllowed(spec, candidate.type, candidate.zone, candidate.spot)
    }

    /**
     * The on-demand machines, ordered by the share that services use, the largest first. Ordering them by total use would scatter
     * services over the gaps on machines full of batch work. None of these machines could be released when that work is done.
     */
    internal val mostServicesFirst: List<Entry> by lazy {
        entries.filter { !it.candidate.spot }.sortedBy { it.shareNotUsedByServices }
    }

    /** Zones of all candidates, whether they have free capacity or not. */
    internal val zones: Set<String> by lazy { entries.mapTo(HashSet()) { it.candidate.zone } }

    private val byMachine: Map<MachineId, Entry> by lazy { entries.associateBy { it.candidate.machine } }

    /** Specifications that fit on no machine in this pass. Others with at least the same demand need not be tried. */
    private val unplaceable = ArrayList<JobSpec>()

    /** Whether [count] tasks of [spec] would fit on these machines if they were empty. */
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

    /** The candidate [machine] as at the start of the pass; null if it is not a candidate. */
    operator fun get(machine: MachineId): CandidateMachine? = byMachine[machine]?.candidate

    /** Reserves [demand] on [machine] for the rest of the pass; no effect if it is not a candidate. */
    fun reserve(
        machine: MachineId,
        demand: Resources,
    ) {
        byMachine[machine]?.let { it.free -= demand }
    }

    /** These machines and [more]; reservations on these machines are shared between both instances. */
    fun with(more: Collection<CandidateMachine>): Candidates = Candidates(sorted(entries + more.map { Entry(it, it.free) }))

    /** A random sample of at most [count] machines with their current free resources; all machines if there are not more. */
    fun sample(
        random: RandomGenerator,
        count: Int,
    ): List<CandidateMachine> {
        val drawn = if (entries.size <= count) entries else List(count) { entries[random.nextInt(entries.size)] }.distinct()
        return drawn.map { it.candidate.copy(free = it.free) }
    }

    /** Records that no machine has capacity for a task of [spec]. Ignored if [spec] names types or a zone: other jobs may still fit. */
    internal fun recordUnplaceable(spec: JobSpec) {
        if (spec.types == null && spec.zone == null) unplaceable += spec
    }

    /**
     * Whether a specification that needs no more than [spec], and may use every machine that [spec] may use, was already found to
     * be unplaceable.
     */
    internal fun isUnplaceable(spec: JobSpec): Boolean = unplaceable.any { (it.spot || !spec.spot) && it.demand.fits(spec.demand) }

    companion object {
        /** Candidates for a new pass, without reservations. */
        fun of(machines: Collection<CandidateMachine>): Candidates = Candidates(sorted(machines.map { Entry(it, it.free) }))

        private fun sorted(entries: List<Entry>): List<Entry> = entries.sortedBy { it.freeShare }
    }
}
