package mintpick.engine.capacity

import mintpick.core.CapacityDemand
import mintpick.core.Resources
import mintpick.core.demand
import mintpick.core.isGang
import mintpick.wire.JobSpec

/** What demands must have in common to be packed as one. */
private sealed interface AggregationKey {
    /** Rules that hold for the tasks of one job together keep it from being merged with others. */
    data class PerJob(
        val jobId: String,
    ) : AggregationKey

    data class Requirements(
        val jobClass: String,
        val resources: Resources,
        val types: List<String>?,
        val zone: String?,
        val spot: Boolean,
        val spread: Boolean,
        val mayRentOnDemand: Boolean,
        val keepsToSpot: Boolean,
    ) : AggregationKey
}

private fun keyOf(demand: CapacityDemand): AggregationKey {
    val spec = demand.spec
    if (spec.oneZone || spec.isGang || demand.tasksPerZone.isNotEmpty()) return AggregationKey.PerJob(spec.id)
    return AggregationKey.Requirements(
        spec.jobClass,
        spec.demand,
        spec.types,
        spec.zone,
        spec.spot,
        spec.spread,
        demand.mayRentOnDemand,
        demand.spotOnly,
    )
}

/** Jobs that need the same count as one, at the place of the first: hundreds of services that wait at once are few kinds. */
internal fun aggregateDemands(demands: List<CapacityDemand>): List<CapacityDemand> = demands.groupBy(::keyOf).values.map(::aggregate)

private fun aggregate(demands: List<CapacityDemand>): CapacityDemand {
    val first = demands.first()
    if (demands.size == 1) return first
    val count = demands.sumOf { it.count }
    val spec: JobSpec = first.spec.copy(tasks = count)
    return first.copy(spec = spec, count = count)
}
