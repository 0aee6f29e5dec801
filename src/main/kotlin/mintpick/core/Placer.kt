package mintpick.core

import mintpick.wire.JobSpec
import java.util.random.RandomGenerator

/** A task, by its index in its job, and the machine chosen for it. */
data class PlacedTask(
    val task: Int,
    val machine: MachineId,
)

/** Tasks of one job that machines are to be found for. */
data class PlacementRequest(
    val spec: JobSpec,
    /** The waiting tasks, in the order in which they are to be placed. */
    val tasks: Sequence<Int>,
    /** Tasks of the job that are placed already, by zone; empty if the job has no rule about zones. */
    val tasksPerZone: Map<String, Int>,
    /** Most tasks to place. */
    val maxTasks: Int,
    /** So much waits that a sample of the machines, from a random one on, has to do in place of the fullest. */
    val isOverloaded: Boolean = false,
    /** Machines that take no task of the job. */
    val excludedMachines: Set<MachineId> = emptySet(),
    /** Whether on-demand machines take no task of the job, although its own rules allow them. */
    val spotOnly: Boolean = false,
)

/**
 * Finds machines for waiting tasks. It changes nothing but what [Candidates] remembers of unplaceable specifications.
 *
 * @param random decides where the search begins under overload
 * @param sampleSize how many machines with free capacity are compared for one job
 */
class Placer(
    private val random: RandomGenerator,
    private val sampleSize: Int,
) {
    /** A machine that holds [count] tasks. */
    private class Match(
        val entry: Candidates.Entry,
        val taskCapacity: Int,
    ) {
        val zone: String get() = entry.candidate.zone
        val machine: MachineId get() = entry.candidate.machine
    }

    /**
     * Places as many tasks of [request] as [candidates] have capacity for, within the job's zone rules given where its other
     * tasks are. Takes nothing: what is used of the answer is for the caller to take from [candidates].
     */
    fun place(
        request: PlacementRequest,
        candidates: Candidates,
    ): List<PlacedTask> {
        val spec = request.spec
        if (request.maxTasks <= 0 || candidates.isUnplaceable(spec)) return emptyList()
        val zones = openZones(request, candidates)
        val matches = Search(request, candidates, zones).run().filter { isPermitted(it, request) }
        if (matches.isEmpty()) {
            val searchedAllMachines = zones == candidates.zones && request.excludedMachines.isEmpty() && !request.spotOnly
            if (searchedAllMachines) candidates.recordUnplaceable(spec)
            return emptyList()
        }
        val zoneCounts = HashMap(request.tasksPerZone)
        val machines = if (spec.spread) pickSpread(request, matches, zoneCounts) else pickInOrder(request, matches, zoneCounts)
        return request.tasks
            .take(request.maxTasks)
            .zip(machines.asSequence(), ::PlacedTask)
            .toList()
    }

    private fun isPermitted(
        match: Match,
        request: PlacementRequest,
    ): Boolean = match.machine !in request.excludedMachines && (match.entry.candidate.spot || !request.spotOnly)

    /** Zones that may take another task of [request]. */
    private fun openZones(
        request: PlacementRequest,
        candidates: Candidates,
    ): Set<String> {
        val spec = request.spec
        val onlyZone = if (spec.oneZone) zoneInUse(request) ?: bestZone(spec, candidates) else null
        return when {
            onlyZone != null -> setOf(onlyZone)
            spec.spread -> candidates.zones.filterTo(HashSet()) { (request.tasksPerZone[it] ?: 0) < spec.zoneCap }
            else -> candidates.zones
        }
    }

    private fun zoneInUse(request: PlacementRequest): String? =
        request.tasksPerZone.entries
            .firstOrNull { it.value > 0 }
            ?.key

    /** The zone that holds most tasks of [spec]; null if no machine is allowed. */
    private fun bestZone(
        spec: JobSpec,
        candidates: Candidates,
    ): String? =
        candidates.entries
            .filter { it.isAllowed(spec) }
            .groupBy { it.candidate.zone }
            .maxByOrNull { (_, inZone) -> inZone.sumOf { spec.demand.countIn(it.free) } }
            ?.key

    /**
     * A search for machines in [zones] that hold a task of [request]. What may use spot machines considers others only if they do
     * not hold it. The fullest are seen first, so that what is empty stays empty and can be returned; under overload, with more
     * waiting than can be served, a sample from a random position on is nearly as good and far cheaper.
     */
    private inner class Search(
        private val request: PlacementRequest,
        candidates: Candidates,
        private val zones: Set<String>,
    ) {
        private val spec = request.spec
        private val maxTasks = request.maxTasks
        private val entries = if (spec.isService && !spec.spot) candidates.fullestOfServicesFirst else candidates.entries
        private val matches = ArrayList<Match>()

        /** Tasks that the matches hold, of each machine no more than the limit. */
        private var foundCapacity = 0

        /** The machines found, the best first. */
        fun run(): List<Match> {
            val startsAnywhere = request.isOverloaded && !spec.isService && entries.isNotEmpty()
            val start = if (startsAnywhere) random.nextInt(entries.size) else 0
            if (spec.spot) scan(start, spot = true)
            if (foundCapacity < maxTasks || spec.spread) scan(start, spot = false)
            return matches.sortedWith(bestFirst(spec))
        }

        /** Adds the spot machines, or the on-demand ones, from the position [start] on until there are enough. */
        private fun scan(
            start: Int,
            spot: Boolean,
        ) {
            val machinesPerZone = HashMap<String, Int>()
            for (i in entries.indices) {
                val entry = entries[(start + i) % entries.size]
                val candidate = entry.candidate
                if (candidate.spot != spot || !entry.isAllowed(spec) || candidate.zone !in zones) continue
                val count = spec.demand.countIn(entry.free)
                if (count == 0) continue
                matches += Match(entry, count)
                foundCapacity += minOf(count, maxTasks)
                machinesPerZone.merge(candidate.zone, 1, Int::plus)
                if (isEnough(machinesPerZone)) break
            }
        }

        private fun isEnough(machinesPerZone: Map<String, Int>): Boolean {
            // The fullest may all be in one zone, and what spreads needs the others, too.
            val coversZones = !spec.spread || zones.all { (machinesPerZone[it] ?: 0) >= sampleSize / SAMPLE_SURPLUS }
            return coversZones && matches.size >= sampleSize && foundCapacity >= maxTasks * SAMPLE_SURPLUS
        }
    }

    private fun bestFirst(spec: JobSpec): Comparator<Match> =
        compareByDescending<Match> { it.entry.candidate.spot }
            .thenByDescending { it.entry.candidate.hasImage(spec.image) }
            .thenByDescending { it.entry.candidate.isOwned && it.entry.candidate.isReady }
            // The fullest first: what stays empty can be returned.
            .thenBy { if (spec.isService) it.entry.shareNotHeldByServices else it.entry.freeShare }
            .thenBy { it.machine.text }

    /** A machine for each task, filling one match after the other as far as the job's rule for zones allows. */
    private fun pickInOrder(
        request: PlacementRequest,
        matches: List<Match>,
        zoneCounts: MutableMap<String, Int>,
    ): List<MachineId> {
        val picks = ArrayList<MachineId>()
        for (match in matches) {
            val zoneCapacity = request.spec.zoneCap - (zoneCounts[match.zone] ?: 0)
            val count = minOf(match.taskCapacity, request.maxTasks - picks.size, zoneCapacity)
            if (count <= 0) continue
            repeat(count) { picks += match.machine }
            zoneCounts.merge(match.zone, count, Int::plus)
            if (picks.size >= request.maxTasks) break
        }
        return picks
    }

    /** A machine for each task, one at a time, each in the zone that has the fewest tasks of the job. */
    private fun pickSpread(
        request: PlacementRequest,
        matches: List<Match>,
        zoneCounts: MutableMap<String, Int>,
    ): List<MachineId> {
        val queues = matches.groupBy { it.zone }.mapValues { (_, inZone) -> ArrayDeque(inZone) }
        val picks = ArrayList<MachineId>()
        while (picks.size < request.maxTasks) {
            val (zone, queue) =
                queues.entries
                    .filter { (zone, queue) -> queue.isNotEmpty() && (zoneCounts[zone] ?: 0) < request.spec.zoneCap }
                    .minByOrNull { zoneCounts[it.key] ?: 0 } ?: break
            val match = queue.removeFirst()
            if (match.taskCapacity > 1) queue.addFirst(Match(match.entry, match.taskCapacity - 1))
            picks += match.machine
            zoneCounts.merge(zone, 1, Int::plus)
        }
        return picks
    }

    companion object {
        /** How many times what is needed a sample has to hold. */
        private const val SAMPLE_SURPLUS = 3

        /** Whether the job's own rules for machines allow one of [type] in [zone], a [spot] one or not. */
        fun isAllowed(
            spec: JobSpec,
            type: String,
            zone: String,
            spot: Boolean,
        ): Boolean {
            val isTypeAllowed = spec.types == null || type in spec.types
            val isZoneAllowed = spec.zone == null || zone == spec.zone
            return isTypeAllowed && isZoneAllowed && (spec.spot || !spot)
        }
    }
}
