package mintpick.core

import mintpick.wire.JobSpec
import java.util.random.RandomGenerator

/** A task, identified by its index in its job, and the machine chosen for it. */
data class PlacedTask(
    val task: Int,
    val machine: MachineId,
)

/** Request to find machines for tasks of one job. */
data class PlacementRequest(
    val spec: JobSpec,
    /** The waiting tasks in the order of placement. */
    val tasks: Sequence<Int>,
    /** Number of already placed tasks of the job by zone; empty if the job has no zone constraint. */
    val tasksPerZone: Map<String, Int>,
    /** Maximum number of tasks to place. */
    val maxTasks: Int,
    /** Whether the queue is so long that the search samples machines from a random position instead of starting at the fullest. */
    val isOverloaded: Boolean = false,
    /** Machines on which no task of the job may be placed. */
    val excludedMachines: Set<MachineId> = emptySet(),
    /** Tasks that can't start on a machine yet, by machine. They are placed there only if no other task can be instead. */
    val blockedTasks: Map<MachineId, Set<Int>> = emptyMap(),
    /** Whether to use spot machines only, although the job itself also allows on-demand machines. */
    val spotOnly: Boolean = false,
)

/**
 * Finds machines for waiting tasks. Its only side effect is to record unplaceable specifications in [Candidates].
 *
 * @param random determines the start position of the search under overload
 * @param sampleSize number of machines with free capacity that are compared for one job
 */
class Placer(
    private val random: RandomGenerator,
    private val sampleSize: Int,
) {
    /** A machine with free capacity for [taskCapacity] tasks. */
    private class Match(
        val entry: Candidates.Entry,
        val taskCapacity: Int,
    ) {
        val zone: String get() = entry.candidate.zone
        val machine: MachineId get() = entry.candidate.machine
    }

    /**
     * Places as many tasks of [request] as [candidates] have capacity for, within the job's zone constraints and considering the
     * zones of its already placed tasks. Reserves nothing: the caller reserves the capacity of the placements that it uses.
     */
    fun place(
        request: PlacementRequest,
        candidates: Candidates,
    ): List<PlacedTask> {
        val spec = request.spec
        if (request.maxTasks <= 0 || candidates.isUnplaceable(spec)) return emptyList()
        val zones = openZones(request, candidates)
        val matches = unblockedFirst(Search(request, candidates, zones).run().filter { isPermitted(it, request) }, request)
        if (matches.isEmpty()) {
            val searchedAllMachines = zones == candidates.zones && request.excludedMachines.isEmpty() && !request.spotOnly
            if (searchedAllMachines) candidates.recordUnplaceable(spec)
            return emptyList()
        }
        val zoneCounts = HashMap(request.tasksPerZone)
        val machines = if (spec.spread) pickSpread(request, matches, zoneCounts) else pickInOrder(request, matches, zoneCounts)
        return assignTasks(request, machines)
    }

    /** Assigns the next waiting tasks to [machines], one to each entry, so that as few as possible are blocked there. */
    private fun assignTasks(
        request: PlacementRequest,
        machines: List<MachineId>,
    ): List<PlacedTask> {
        val tasks = request.tasks.take(request.maxTasks)
        if (request.blockedTasks.isEmpty()) return tasks.zip(machines.asSequence(), ::PlacedTask).toList()
        val unassigned = tasks.toMutableList()
        return machines.take(unassigned.size).map { machine ->
            val blocked = request.blockedTasks[machine].orEmpty()
            val task = unassigned.firstOrNull { it !in blocked } ?: unassigned.first()
            unassigned.remove(task)
            PlacedTask(task, machine)
        }
    }

    private fun isPermitted(
        match: Match,
        request: PlacementRequest,
    ): Boolean = match.machine !in request.excludedMachines && (match.entry.candidate.spot || !request.spotOnly)

    /** Moves the machines on which every task of [request] is blocked to the end. */
    private fun unblockedFirst(
        matches: List<Match>,
        request: PlacementRequest,
    ): List<Match> {
        if (request.blockedTasks.isEmpty()) return matches
        return matches.sortedBy { match ->
            val blocked = request.blockedTasks[match.machine].orEmpty()
            request.tasks.take(request.maxTasks).all { it in blocked }
        }
    }

    /** Zones in which another task of [request] may be placed. */
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

    /** The zone with free capacity for the most tasks of [spec]; null if no machine is allowed. */
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
     * Search for machines in [zones] with capacity for a task of [request]. Jobs that may use spot machines consider on-demand
     * machines only if spot capacity is insufficient, or if they are spread. The fullest machines come first: empty ones stay empty
     * and can be released. Under overload, when more tasks wait than can be served, a sample from a random position is nearly as
     * good and far cheaper.
     */
    private inner class Search(
        private val request: PlacementRequest,
        candidates: Candidates,
        private val zones: Set<String>,
    ) {
        private val spec = request.spec
        private val maxTasks = request.maxTasks
        private val entries = if (spec.isService && !spec.spot) candidates.mostServicesFirst else candidates.entries
        private val matches = ArrayList<Match>()

        /** Number of tasks that fit on the matches, counting at most [maxTasks] for each machine. */
        private var foundCapacity = 0

        /** Returns the machines found, the best first. */
        fun run(): List<Match> {
            val startsAnywhere = request.isOverloaded && !spec.isService && entries.isNotEmpty()
            val start = if (startsAnywhere) random.nextInt(entries.size) else 0
            if (spec.spot) scan(start, spot = true)
            if (foundCapacity < maxTasks || spec.spread) scan(start, spot = false)
            return matches.sortedWith(bestFirst(spec))
        }

        /** Adds spot machines if [spot] is set, otherwise on-demand machines, from position [start] until there are enough. */
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
            // The fullest machines may all be in one zone, but spread jobs need the other zones, too.
            val coversZones = !spec.spread || zones.all { (machinesPerZone[it] ?: 0) >= sampleSize / SAMPLE_SURPLUS }
            return coversZones && matches.size >= sampleSize && foundCapacity >= maxTasks * SAMPLE_SURPLUS
        }
    }

    private fun bestFirst(spec: JobSpec): Comparator<Match> =
        compareByDescending<Match> { it.entry.candidate.spot }
            .thenByDescending { it.entry.candidate.hasImage(spec.image) }
            .thenByDescending { it.entry.candidate.isControlled && it.entry.candidate.isReady }
            // The fullest first: machines that stay empty can be released.
            .thenBy { if (spec.isService) it.entry.shareNotUsedByServices else it.entry.freeShare }
            .thenBy { it.machine.text }

    /** One machine for each task: fills the matches one after another, as far as the job's zone constraint allows. */
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

    /** One machine for each task, always in the zone with the fewest tasks of the job. */
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
        /** A sample must have capacity for this many times the tasks to place. */
        private const val SAMPLE_SURPLUS = 3

        /** Whether the placement constraints of [spec] allow a machine of [type] in [zone] that is or is not a [spot] machine. */
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
