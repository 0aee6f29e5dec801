package mintpick.engine.capacity

import mintpick.core.CapacityDemand
import mintpick.core.Resources
import mintpick.core.demand
import mintpick.core.isGang
import mintpick.wire.JobSpec

/** What demands must have in common to be packed as one. */
private sealed interface MergeKey {
    /** Rules that hold for the tasks of one job together keep it from being merged with others. */
    data class SingleJob(
        val jobId: String,
    ) : MergeKey

    data class Shape(
        val jobClass: String,
        val resources: Resources,
        val types: List<String>?,
        val zone: String?,
        val spot: Boolean,
        val spread: Boolean,
        val mayRentOnDemand: Boolean,
        val keepsToSpot: Boolean,
    ) : MergeKey
}

private fun keyOf(demand: CapacityDemand): MergeKey {
    val spec = demand.spec
    if (spec.oneZone || spec.isGang || demand.perZone.isNotEmpty()) return MergeKey.SingleJob(spec.id)
    return MergeKey.Shape(
        spec.jobClass,
        spec.demand,
        spec.types,
        spec.zone,
        spec.spot,
        spec.spread,
        demand.mayRentOnDemand,
        demand.keepsToSpot,
    )
}

/** Jobs that need the same count as one, at the place of the first: hundreds of services that wait at once are few kinds. */
internal fun mergeDemands(demands: List<CapacityDemand>): List<CapacityDemand> = demands.groupBy(::keyOf).values.map(::mergeSame)

private fun mergeSame(same: List<CapacityDemand>): CapacityDemand {
    val first = same.first()
    if (same.size == 1) return first
    val count = same.sumOf { it.count }
    val spec: JobSpec = first.spec.copy(tasks = count)
    return first.copy(spec = spec, count = count)
}
