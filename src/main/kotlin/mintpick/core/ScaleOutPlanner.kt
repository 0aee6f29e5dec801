package mintpick.core

import mintpick.wire.JobSpec
import mintpick.wire.MachineType

/** What kind of machine can be rented where. */
data class Offer(
    val type: String,
    val zone: String,
    val spot: Boolean,
)

/** Works out which machines are missing for tasks that have no room. Pure. */
class ScaleOutPlanner(
    private val types: Map<String, MachineType>,
    private val zones: List<String>,
    /** Whether most of an offer's latest machines were late to boot, or have never come up. */
    private val troubled: (Offer) -> Boolean = { false },
    /** Whether an offer may be tried now: false for a while after it was refused. */
    private val available: (Offer) -> Boolean,
) {
    /** Tasks of one job, or of one that is expected, to find room for. */
    data class Want(
        val spec: JobSpec,
        val count: Int,
        val perZone: Map<String, Int> = emptyMap(),
        /** Whether work that may use spot machines is worth an ordinary one. */
        val ordinary: Boolean = true,
        /** Not there yet: no reason to keep ordinary machines for what may use spot ones. */
        val spare: Boolean = false,
    )

    private class Bin(
        val offer: Offer,
        var free: Resources,
        var yielding: Resources,
        val machine: MachineId?,
        var used: Boolean = false,
    ) {
        fun roomFor(spec: JobSpec): Resources = if (spec.isService) free + yielding else free

        fun take(
            spec: JobSpec,
            count: Int,
        ) {
            used = true
            val demand = spec.demand * count.toDouble()
            if (demand.fits(free)) {
                free -= demand
            } else {
                yielding = free + yielding - demand
                free = Resources.ZERO
            }
        }
    }

    /** What to rent, and which of the rooms nothing needs. */
    data class Plan(
        val rent: Map<Offer, Int>,
        val unused: Set<MachineId>,
    )

    private val offers: List<Offer> =
        types.values.flatMap { type ->
            type.zones.filter { it in zones }.flatMap { zone -> listOf(Offer(type.name, zone, true), Offer(type.name, zone, false)) }
        }

    /**
     * New machines to rent so that all of [wants] find room in [rooms] or on them. Rooms are filled in the given
     * order, each with as many tasks at a time as it holds: a fleet of a thousand is walked once for each want.
     */
    fun plan(
        rooms: Collection<Room>,
        wants: List<Want>,
        maxNew: Int,
    ): Plan {
        val bins = rooms.mapTo(ArrayList()) { Bin(Offer(it.type, it.zone, it.spot), it.free, it.yielding, it.machine) }
        val fresh = ArrayList<Bin>()
        val rented = LinkedHashMap<Offer, Int>()
        // Shapes that no room held any more: what needs as much need not look again.
        val missed = ArrayList<JobSpec>()
        for (want in wants) {
            val counts = HashMap(want.perZone)
            var left = want.count
            if (missed.none { (it.spot || !want.spec.spot) && it.isService == want.spec.isService && it.demand.fits(want.spec.demand) }) {
                // What may use spot machines leaves ordinary ones to what may not.
                if (want.spec.spot) left = fill(want.spec, left, bins, counts) { it.offer.spot }
                if (!want.spec.spot || !want.spare) left = fill(want.spec, left, bins, counts) { true }
                if (left > 0 &&
                    !want.spare &&
                    counts.values.sum() == 0 &&
                    want.spec.types == null &&
                    want.spec.zone == null
                ) {
                    missed += want.spec
                }
            }
            left = fill(want.spec, left, fresh, counts) { true }
            while (left > 0) {
                val bin = open(want, counts, left, rented, maxNew) ?: break
                fresh += bin
                left = fill(want.spec, left, listOf(bin), counts) { true }
            }
        }
        return Plan(rented, bins.filter { !it.used }.mapNotNullTo(HashSet()) { it.machine })
    }

    /** Puts up to [count] tasks into [bins]; says how many are left. */
    private inline fun fill(
        spec: JobSpec,
        count: Int,
        bins: List<Bin>,
        counts: MutableMap<String, Int>,
        among: (Bin) -> Boolean,
    ): Int {
        var left = count
        for (bin in bins) {
            if (left == 0) break
            val offer = bin.offer
            if (!among(bin) || !Placer.allowed(spec, offer.type, offer.zone, offer.spot)) continue
            val taken = minOf(left, spec.zoneCap - (counts[offer.zone] ?: 0), spec.demand.countIn(bin.roomFor(spec)))
            if (taken <= 0) continue
            bin.take(spec, taken)
            counts.merge(offer.zone, taken, Int::plus)
            left -= taken
        }
        return left
    }

    private fun open(
        want: Want,
        counts: Map<String, Int>,
        left: Int,
        rented: MutableMap<Offer, Int>,
        maxNew: Int,
    ): Bin? {
        if (rented.values.sum() >= maxNew) return null
        val offer =
            offers
                .filter { (counts[it.zone] ?: 0) < want.spec.zoneCap }
                .filter { Placer.allowed(want.spec, it.type, it.zone, it.spot) && available(it) }
                .filter { it.spot || !want.spec.spot || want.ordinary }
                .filter { want.spec.demand.countIn(capacityOf(it)) > 0 }
                .minWithOrNull(compareBy({ cost(it, want.spec, left) }, { counts[it.zone] ?: 0 }, { rented[it] ?: 0 }, { it.zone }))
                ?: return null
        rented.merge(offer, 1, Int::plus)
        return Bin(offer, capacityOf(offer), Resources.ZERO, null)
    }

    private fun capacityOf(offer: Offer): Resources = types[offer.type]?.capacity ?: Resources.ZERO

    /** Price for each task that the machine would hold. */
    fun cost(
        offer: Offer,
        spec: JobSpec,
        left: Int,
    ): Double {
        val type = types[offer.type] ?: return Double.MAX_VALUE
        val count = minOf(spec.demand.countIn(type.capacity), maxOf(left, 1))
        val price = if (offer.spot) type.spotPrice else type.price
        return price * (if (troubled(offer)) TROUBLED_FACTOR else 1.0) / maxOf(count, 1)
    }

    private companion object {
        /** How many times as much a machine may cost that is up in time. */
        const val TROUBLED_FACTOR = 1.5
    }
}
