package mintpick.core

import mintpick.wire.JobSpec
import mintpick.wire.MachineType

/** A kind of machine that can be rented in a zone: spot or on-demand. */
data class Offer(
    val type: String,
    val zone: String,
    val spot: Boolean,
)

/** Tasks, waiting or forecast, that capacity is needed for. */
data class CapacityDemand(
    /** What each of the tasks needs, and the zone rules of the job. */
    val spec: JobSpec,
    /** Number of tasks. */
    val count: Int,
    /** Tasks of the job that run already, by zone. */
    val tasksPerZone: Map<String, Int> = emptyMap(),
    /** Whether on-demand machines may be rented for work that may run on spot ones. */
    val mayRentOnDemand: Boolean = true,
    /** Work that may run on spot machines takes no capacity of on-demand ones, and is no reason to keep those. */
    val spotOnly: Boolean = false,
)

/** What to rent, and which of the existing machines no demand needs. */
data class ScaleOutPlan(
    /** Number of machines to rent, in the order in which the offers were first chosen. */
    val newMachines: Map<Offer, Int>,
    /** Existing machines that none of the tasks was packed into. */
    val unusedMachines: Set<MachineId>,
)

/**
 * Works out by bin packing which machines are missing for tasks that have no free capacity. Pure.
 *
 * @param types the machine types that can be rented, by name
 * @param zones the zones that machines may be rented in
 */
class ScaleOutPlanner(
    private val types: Map<String, MachineType>,
    private val zones: List<String>,
    /** Whether most of an offer's latest machines were slow to boot, or have never come up. */
    private val bootsSlowly: (Offer) -> Boolean = { false },
    /** Whether an offer may be requested now: false for a while after it was refused. */
    private val isAvailable: (Offer) -> Boolean,
) {
    private val offers: List<Offer> = types.values.flatMap(::offersOf)

    private fun offersOf(type: MachineType): List<Offer> =
        type.zones
            .filter { it in zones }
            .flatMap { zone -> listOf(Offer(type.name, zone, true), Offer(type.name, zone, false)) }

    /**
     * New machines to rent so that all of [demands] fit on [machines] or on the new ones, of which there are at most
     * [maxNewMachines]. [machines] are filled in the given order, each with as many tasks at a time as it holds, so that a cluster
     * of a thousand machines is walked once for each demand.
     */
    fun plan(
        machines: Collection<CandidateMachine>,
        demands: List<CapacityDemand>,
        maxNewMachines: Int,
    ): ScaleOutPlan {
        val packing = Packing(machines, maxNewMachines)
        demands.forEach(packing::pack)
        return packing.result()
    }

    /** A machine, existing or to be rented, that tasks are packed into. */
    private class MachineBin(
        val offer: Offer,
        var free: Resources,
        var preemptible: Resources,
        /** Null for one that is to be rented. */
        val machine: MachineId?,
    ) {
        var isUsed = false
            private set

        /** What tasks of [spec] may take: services also what they may preempt. */
        fun availableTo(spec: JobSpec): Resources = if (spec.isService) free + preemptible else free

        fun reserve(
            spec: JobSpec,
            count: Int,
        ) {
            isUsed = true
            val demand = spec.demand * count.toDouble()
            if (demand.fits(free)) {
                free -= demand
            } else {
                preemptible = free + preemptible - demand
                free = Resources.ZERO
            }
        }
    }

    /** One pass of bin packing. */
    private inner class Packing(
        machines: Collection<CandidateMachine>,
        private val maxNewMachines: Int,
    ) {
        private val existingBins =
            machines.mapTo(ArrayList()) { MachineBin(Offer(it.type, it.zone, it.spot), it.free, it.preemptible, it.machine) }
        private val newBins = ArrayList<MachineBin>()
        private val newMachines = LinkedHashMap<Offer, Int>()

        /** Specifications that no existing bin had capacity for: what needs as much need not be tried again. */
        private val unplaceable = ArrayList<JobSpec>()

        fun result() = ScaleOutPlan(newMachines, existingBins.filter { !it.isUsed }.mapNotNullTo(HashSet()) { it.machine })

        fun pack(demand: CapacityDemand) {
            val tasksPerZone = HashMap(demand.tasksPerZone)
            var left = demand.count
            if (!isUnplaceable(demand.spec)) left = packIntoExisting(demand, left, tasksPerZone)
            left = fill(demand.spec, left, newBins, tasksPerZone) { true }
            while (left > 0) {
                val bin = openBin(demand, left, tasksPerZone) ?: break
                newBins += bin
                left = fill(demand.spec, left, listOf(bin), tasksPerZone) { true }
            }
        }

        /** Whether what needs at most as much as [spec], and may use the same machines at least, was unplaceable already. */
        private fun isUnplaceable(spec: JobSpec): Boolean =
            unplaceable.any { failed ->
                val hasNoMoreChoice = failed.spot || !spec.spot
                hasNoMoreChoice && failed.isService == spec.isService && failed.demand.fits(spec.demand)
            }

        /** Packs up to [count] tasks into existing machines; the number of tasks left. */
        private fun packIntoExisting(
            demand: CapacityDemand,
            count: Int,
            tasksPerZone: MutableMap<String, Int>,
        ): Int {
            val spec = demand.spec
            var left = count
            // What may use spot machines leaves on-demand ones to what may not.
            if (spec.spot) left = fill(spec, left, existingBins, tasksPerZone) { it.offer.spot }
            if (!spec.spot || !demand.spotOnly) left = fill(spec, left, existingBins, tasksPerZone) { true }
            // Only a search that no rule of the job narrowed says something about other jobs.
            val searchedAllBins = !demand.spotOnly && spec.types == null && spec.zone == null
            val isPlacedNowhere = tasksPerZone.values.sum() == 0
            if (left > 0 && searchedAllBins && isPlacedNowhere) unplaceable += spec
            return left
        }

        /** Packs up to [count] tasks into those of [bins] that [accepts] names; the number of tasks left. */
        private inline fun fill(
            spec: JobSpec,
            count: Int,
            bins: List<MachineBin>,
            tasksPerZone: MutableMap<String, Int>,
            accepts: (MachineBin) -> Boolean,
        ): Int {
            var left = count
            for (bin in bins) {
                if (left == 0) break
                val offer = bin.offer
                if (!accepts(bin) || !Placer.isAllowed(spec, offer.type, offer.zone, offer.spot)) continue
                val zoneCapacity = spec.zoneCap - (tasksPerZone[offer.zone] ?: 0)
                val taken = minOf(left, zoneCapacity, spec.demand.countIn(bin.availableTo(spec)))
                if (taken <= 0) continue
                bin.reserve(spec, taken)
                tasksPerZone.merge(offer.zone, taken, Int::plus)
                left -= taken
            }
            return left
        }

        /** A bin for a new machine of the cheapest suitable offer; null if there is none or enough machines are planned. */
        private fun openBin(
            demand: CapacityDemand,
            left: Int,
            tasksPerZone: Map<String, Int>,
        ): MachineBin? {
            if (newMachines.values.sum() >= maxNewMachines) return null
            val byPreference =
                compareBy<Offer>(
                    { costPerTask(it, demand.spec, left) },
                    { tasksPerZone[it.zone] ?: 0 },
                    { newMachines[it] ?: 0 },
                    { it.zone },
                )
            val offer = offers.filter { isSuitable(it, demand, tasksPerZone) }.minWithOrNull(byPreference) ?: return null
            newMachines.merge(offer, 1, Int::plus)
            return MachineBin(offer, capacityOf(offer), Resources.ZERO, null)
        }
    }

    private fun isSuitable(
        offer: Offer,
        demand: CapacityDemand,
        tasksPerZone: Map<String, Int>,
    ): Boolean {
        val spec = demand.spec
        if ((tasksPerZone[offer.zone] ?: 0) >= spec.zoneCap) return false
        if (!Placer.isAllowed(spec, offer.type, offer.zone, offer.spot) || !isAvailable(offer)) return false
        if (!offer.spot && spec.spot && !demand.mayRentOnDemand) return false
        return spec.demand.countIn(capacityOf(offer)) > 0
    }

    private fun capacityOf(offer: Offer): Resources = types[offer.type]?.capacity ?: Resources.ZERO

    /** Price for each task that the machine would hold of [left] ones. */
    private fun costPerTask(
        offer: Offer,
        spec: JobSpec,
        left: Int,
    ): Double {
        val type = types[offer.type] ?: return Double.MAX_VALUE
        val count = minOf(spec.demand.countIn(type.capacity), maxOf(left, 1))
        val price = if (offer.spot) type.spotPrice else type.price
        val factor = if (bootsSlowly(offer)) SLOW_BOOT_PRICE_FACTOR else 1.0
        return price * factor / maxOf(count, 1)
    }

    private companion object {
        /** How many times as much a machine may cost that boots in time. */
        const val SLOW_BOOT_PRICE_FACTOR = 1.5
    }
}
