package mintpick.core

import mintpick.wire.JobSpec
import mintpick.wire.MachineType

/** A machine type that can be rented in a zone, as a spot or an on-demand machine. */
data class Offer(
    val type: String,
    val zone: String,
    val spot: Boolean,
)

/** Demand for capacity: waiting or forecast tasks with the same specification. */
data class CapacityDemand(
    /** Resources that each task needs, and the placement constraints of the job. */
    val spec: JobSpec,
    /** Number of tasks. */
    val count: Int,
    /** Number of already placed tasks of the job by zone. */
    val tasksPerZone: Map<String, Int> = emptyMap(),
    /** Whether on-demand machines may be rented for work that may run on spot machines. */
    val mayRentOnDemand: Boolean = true,
    /** Whether tasks that may run on spot machines use no on-demand machines, and so give no reason to keep these. */
    val spotOnly: Boolean = false,
    /** Existing machines on which no task of the job may be placed. */
    val excludedMachines: Set<MachineId> = emptySet(),
)

/** Machines to rent, and existing machines that no demand needs. */
data class ScaleOutPlan(
    /** Number of machines to rent by offer, in the order in which the offers were first chosen. */
    val newMachines: Map<Offer, Int>,
    /** Existing machines that none of the tasks was packed into. */
    val unusedMachines: Set<MachineId>,
)

/**
 * Plans by bin packing which machines to rent for demand that exceeds the free capacity. Without side effects.
 *
 * @param types the machine types that can be rented, by name
 * @param zones the zones in which machines may be rented
 */
class ScaleOutPlanner(
    private val types: Map<String, MachineType>,
    private val zones: List<String>,
    /** Whether most of the latest machines of an offer were slow to boot or have not come up at all. */
    private val bootsSlowly: (Offer) -> Boolean = { false },
    /** Whether an offer may be requested now; false for some time after it was refused. */
    private val isAvailable: (Offer) -> Boolean,
) {
    private val offers: List<Offer> = types.values.flatMap(::offersOf)

    private fun offersOf(type: MachineType): List<Offer> =
        type.zones
            .filter { it in zones }
            .flatMap { zone -> listOf(Offer(type.name, zone, true), Offer(type.name, zone, false)) }

    /**
     * Plans new machines, at most [maxNewMachines], such that all [demands] fit on [machines] and the new ones. [machines] are
     * filled in the given order, each with as many tasks at once as fit. So a cluster of a thousand machines is traversed only
     * once for each demand, or twice if the demand prefers spot machines.
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

    /** A bin that tasks are packed into: an existing machine or one to be rented. */
    private class MachineBin(
        val offer: Offer,
        var free: Resources,
        var preemptible: Resources,
        /** Null for a machine that is to be rented. */
        val machine: MachineId?,
    ) {
        var isUsed = false
            private set

        /** Resources that tasks of [spec] may use. For services these include preemptible resources. */
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

        /** Specifications that no existing bin had capacity for. Others with at least the same demand need not be tried. */
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

        /**
         * Whether a specification that needs no more than [spec], and may use every machine that [spec] may use, was already found
         * to be unplaceable.
         */
        private fun isUnplaceable(spec: JobSpec): Boolean =
            unplaceable.any { failed ->
                val allowsSameMachines = failed.spot || !spec.spot
                allowsSameMachines && failed.isService == spec.isService && failed.demand.fits(spec.demand)
            }

        /** Packs up to [count] tasks into existing machines; returns the number of tasks left. */
        private fun packIntoExisting(
            demand: CapacityDemand,
            count: Int,
            tasksPerZone: MutableMap<String, Int>,
        ): Int {
            val spec = demand.spec
            var left = count
            // Spot machines first: on-demand machines are left to tasks that can't use spot machines.
            val excluded = demand.excludedMachines
            if (spec.spot) left = fill(spec, left, existingBins, tasksPerZone) { it.offer.spot && it.machine !in excluded }
            if (!spec.spot || !demand.spotOnly) left = fill(spec, left, existingBins, tasksPerZone) { it.machine !in excluded }
            // Only a search without constraints of the job applies to other jobs, too.
            val searchedAllBins = !demand.spotOnly && spec.types == null && spec.zone == null && excluded.isEmpty()
            val isPlacedNowhere = tasksPerZone.values.sum() == 0
            if (left > 0 && searchedAllBins && isPlacedNowhere) unplaceable += spec
            return left
        }

        /** Packs up to [count] tasks into those of [bins] for which [accepts] is true; returns the number of tasks left. */
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

        /** A bin for a new machine of the cheapest suitable offer; null if there is none or [maxNewMachines] are planned. */
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

    /** Price of a machine of [offer] divided by the number of tasks, of the [left] ones, that fit on it. */
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
        /** Price factor for offers that boot slowly; others are preferred unless they cost more than this. */
        const val SLOW_BOOT_PRICE_FACTOR = 1.5
    }
}
