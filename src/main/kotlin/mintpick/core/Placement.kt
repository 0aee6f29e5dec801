package mintpick.core

import mintpick.wire.JobSpec
import java.util.random.RandomGenerator

/** A machine as placement sees it. */
data class Room(
    val machine: MachineId,
    val type: String,
    val zone: String,
    val spot: Boolean,
    val free: Resources,
    val total: Resources,
    val hasImage: (String) -> Boolean,
    /** Ours to command, as against one that would have to be borrowed. */
    val own: Boolean,
    /** Held by work that makes way for services. */
    val yielding: Resources = Resources.ZERO,
    /** In touch with us: until then it takes no work, though work may wait for it. */
    val ready: Boolean = true,
    /** Up: false for a machine that was only asked for or is booting. */
    val up: Boolean = true,
)

/** Finds machines for waiting tasks. Pure: it sees rooms, and says which task goes where. */
class Placer(
    private val random: RandomGenerator,
    private val sample: Int,
) {
    internal class Slot(
        val room: Room,
        var free: Resources,
    ) {
        val leftByServices: Double = (room.free + room.yielding).dominantShare(room.total)
    }

    /** Rooms as one planning pass fills them. Parts taken from the same rooms share what is left. */
    class Rooms private constructor(
        internal val slots: List<Slot>,
    ) {
        /**
         * Those that services fill most come first: the gaps of machines that batch work has filled would scatter
         * services over all of them, and none could be returned when that work is done.
         */
        internal val byServices: List<Slot> by lazy { slots.filter { !it.room.spot }.sortedBy { it.leftByServices } }

        /** The zones that there is a machine in, whatever it holds. */
        internal val zones: Set<String> by lazy { slots.mapTo(HashSet()) { it.room.zone } }

        private val byMachine: Map<MachineId, Slot> by lazy { slots.associateBy { it.room.machine } }

        /** Shapes that found no room at all in this pass: what needs as much need not look again. */
        private val missed = ArrayList<JobSpec>()

        /** Whether [count] tasks of [spec] could be on these machines, were they empty. */
        fun couldHold(
            spec: JobSpec,
            count: Int,
        ): Boolean {
            var held = 0
            for (slot in slots) {
                if (allowed(spec, slot.room.type, slot.room.zone, slot.room.spot)) held += spec.demand.countIn(slot.room.total)
                if (held >= count) return true
            }
            return false
        }

        operator fun get(machine: MachineId): Room? = byMachine[machine]?.room

        fun take(
            machine: MachineId,
            demand: Resources,
        ) {
            byMachine[machine]?.let { it.free -= demand }
        }

        /** These rooms and [more]; what is taken from one is taken from the other. */
        fun with(more: Collection<Room>): Rooms = Rooms(sorted(slots + more.map { Slot(it, it.free) }))

        /** Up to [count] of the rooms, drawn at random. */
        fun some(
            random: RandomGenerator,
            count: Int,
        ): List<Room> {
            val drawn = if (slots.size <= count) slots else List(count) { slots[random.nextInt(slots.size)] }.distinct()
            return drawn.map { it.room.copy(free = it.free) }
        }

        internal fun miss(spec: JobSpec) {
            if (spec.types == null && spec.zone == null) missed += spec
        }

        internal fun isMissed(spec: JobSpec): Boolean = missed.any { (it.spot || !spec.spot) && it.demand.fits(spec.demand) }

        companion object {
            fun of(rooms: Collection<Room>): Rooms = Rooms(sorted(rooms.map { Slot(it, it.free) }))

            private fun sorted(slots: List<Slot>): List<Slot> = slots.sortedBy { it.free.dominantShare(it.room.total) }
        }
    }

    /**
     * Places as many of [tasks] as there is room for, within the job's zone rules given where its other tasks
     * are. Takes nothing: what is used of the answer is for the caller to take.
     */
    fun place(
        spec: JobSpec,
        tasks: Sequence<Int>,
        rooms: Rooms,
        perZone: Map<String, Int>,
        limit: Int,
        overloaded: Boolean = false,
        avoided: Set<MachineId> = emptySet(),
        spotOnly: Boolean = false,
    ): List<Pair<Int, MachineId>> {
        if (limit <= 0 || rooms.isMissed(spec)) return emptyList()
        val onlyZone = if (spec.oneZone) perZone.entries.firstOrNull { it.value > 0 }?.key ?: bestZone(spec, rooms) else null
        val zones = openZones(spec, rooms, perZone, onlyZone)
        val found =
            candidates(spec, rooms, zones, limit, overloaded)
                .filter { (slot, _) -> slot.room.machine !in avoided && (slot.room.spot || !spotOnly) }
        if (found.isEmpty()) {
            if (zones == rooms.zones && avoided.isEmpty() && !spotOnly) rooms.miss(spec)
            return emptyList()
        }
        val counts = HashMap(perZone)
        val picks = if (spec.spread) spreadPicks(spec, found, counts, limit) else bulkPicks(spec, found, counts, limit)
        return tasks.take(limit).zip(picks.asSequence()).toList()
    }

    /** Zones that may take another task of [spec]. */
    private fun openZones(
        spec: JobSpec,
        rooms: Rooms,
        perZone: Map<String, Int>,
        onlyZone: String?,
    ): Set<String> =
        when {
            onlyZone != null -> setOf(onlyZone)
            spec.spread -> rooms.zones.filterTo(HashSet()) { (perZone[it] ?: 0) < spec.zoneCap }
            else -> rooms.zones
        }

    /**
     * Machines in [zones] with room for a task of [spec], the best first. What may use spot machines looks at others only if
     * they do not hold it. The fullest are seen first, so that what is empty stays empty and can be returned; [overloaded],
     * with more waiting than can be served, a sample from a random place on is nearly as good and far cheaper.
     */
    private fun candidates(
        spec: JobSpec,
        rooms: Rooms,
        zones: Set<String>,
        limit: Int,
        overloaded: Boolean,
    ): List<Pair<Slot, Int>> {
        val found = ArrayList<Pair<Slot, Int>>()
        val slots = if (spec.isService && !spec.spot) rooms.byServices else rooms.slots
        val start = if (overloaded && !spec.isService && slots.isNotEmpty()) random.nextInt(slots.size) else 0
        var held = 0
        for (spot in if (spec.spot) listOf(true, false) else listOf(false)) {
            if (held >= limit && !spec.spread) break
            val perZone = HashMap<String, Int>()
            for (i in slots.indices) {
                val slot = slots[(start + i) % slots.size]
                val room = slot.room
                if (room.spot != spot ||
                    !allowed(spec, room.type, room.zone, room.spot) ||
                    room.zone !in zones
                ) {
                    continue
                }
                val count = spec.demand.countIn(slot.free)
                if (count == 0) continue
                found += slot to count
                held += minOf(count, limit)
                perZone.merge(room.zone, 1, Int::plus)
                // The fullest may all be in one zone, and what spreads needs the others, too.
                val covered = !spec.spread || zones.all { (perZone[it] ?: 0) >= sample / SURPLUS }
                if (covered && found.size >= sample && held >= limit * SURPLUS) break
            }
        }
        return found.sortedWith(order(spec))
    }

    private fun order(spec: JobSpec): Comparator<Pair<Slot, Int>> {
        val image = spec.image
        // The fullest first: what stays empty can be returned.
        return compareByDescending<Pair<Slot, Int>> { it.first.room.spot }
            .thenByDescending { it.first.room.hasImage(image) }
            .thenByDescending { it.first.room.own && it.first.room.ready }
            .thenBy { if (spec.isService) it.first.leftByServices else it.first.free.dominantShare(it.first.room.total) }
            .thenBy { it.first.room.machine.text }
    }

    private fun bulkPicks(
        spec: JobSpec,
        found: List<Pair<Slot, Int>>,
        counts: MutableMap<String, Int>,
        limit: Int,
    ): List<MachineId> {
        val picks = ArrayList<MachineId>()
        for ((slot, fits) in found) {
            val zone = slot.room.zone
            val count = minOf(fits, limit - picks.size, spec.zoneCap - (counts[zone] ?: 0))
            if (count <= 0) continue
            repeat(count) { picks += slot.room.machine }
            counts.merge(zone, count, Int::plus)
            if (picks.size >= limit) break
        }
        return picks
    }

    /** One task at a time, each in the zone that has the fewest. */
    private fun spreadPicks(
        spec: JobSpec,
        found: List<Pair<Slot, Int>>,
        counts: MutableMap<String, Int>,
        limit: Int,
    ): List<MachineId> {
        val queues =
            found.groupBy { it.first.room.zone }.mapValues { (_, inZone) ->
                ArrayDeque(
                    inZone.map { (slot, count) ->
                        slot.room.machine to
                            count
                    },
                )
            }
        val picks = ArrayList<MachineId>()
        while (picks.size < limit) {
            val (zone, queue) =
                queues.entries
                    .filter { (zone, queue) -> queue.isNotEmpty() && (counts[zone] ?: 0) < spec.zoneCap }
                    .minByOrNull { counts[it.key] ?: 0 } ?: break
            val (machine, count) = queue.removeFirst()
            if (count > 1) queue.addFirst(machine to count - 1)
            picks += machine
            counts.merge(zone, 1, Int::plus)
        }
        return picks
    }

    private fun bestZone(
        spec: JobSpec,
        rooms: Rooms,
    ): String? =
        rooms.slots
            .filter { allowed(spec, it.room.type, it.room.zone, it.room.spot) }
            .groupBy { it.room.zone }
            .maxByOrNull { (_, inZone) -> inZone.sumOf { spec.demand.countIn(it.free) } }
            ?.key

    companion object {
        /** How many times what is needed a sample has to hold. */
        private const val SURPLUS = 3

        /** The job's own rules for a machine. */
        fun allowed(
            spec: JobSpec,
            type: String,
            zone: String,
            spot: Boolean,
        ): Boolean = (spec.types == null || type in spec.types) && (spec.zone == null || zone == spec.zone) && (spec.spot || !spot)
    }
}
