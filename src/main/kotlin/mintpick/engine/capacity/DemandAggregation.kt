package mintpick.engine.capacity

import mintpick.core.CapacityDemand
import mintpick.core.Resources
import mintpick.core.demand
import mintpick.core.isGang
import mintpick.wire.JobSpec

/** Identifies demands that are aggregated into one. */
private sealed interface AggregationKey {
    /** Key of a job with placement rules across its tasks, which prevent aggregation with other jobs. */
    data class PerJob(
        val jobId: String,
    ) : AggregationKey

    /** Requirements that all aggregated demands share. */
    data class Requirements(
        val jobClass: String,
        val resources: Resources,
        val types: List<String>?,
        val zone: String?,
        val spot: Boolean,
        val spread: Boolean,
        val mayRentOnDemand: Boolean,
        val spotOnly: Boolean,
    ) : AggregationKey
}

private fun keyOf(demand: CapacityDemand): AggregationKey {
    val spec = demand.spec
    val isConstrained = demand.tasksPerZone.isNotEmpty() || demand.excludedMachines.isNotEmpty()
    if (spec.oneZone || spec.isGang || isConstrained) return AggregationKey.PerJob(spec.id)
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

/**
 * Combines demands with the same requirements into one, at the position of the first. Hundreds of waiting services typically have
 * few distinct requirements.
 */
internal fun aggregateDemands(demands: List<CapacityDemand>): List<CapacityDemand> = demands.groupBy(::keyOf).values.map(::aggregate)

private fun aggregate(demands: List<CapacityDemand>): CapacityDemand {
    val first = demands.first()
    if (demands.size == 1) return first
    val count = demands.sumOf { it.count }
    val spec: JobSpec = first.spec.copy(tasks = count)
    return first.copy(spec = spec, count = count)
}
