package mintpick.engine.capacity

import mintpick.core.CapacityDemand
import mintpick.testing.SampleJobs
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Test

class DemandAggregationTest {
    private fun demand(
        id: String,
        count: Int,
        cpus: Double = 1.0,
        oneZone: Boolean = false,
        perZone: Map<String, Int> = emptyMap(),
        spotOnly: Boolean = false,
    ) = CapacityDemand(
        SampleJobs.spec(tasks = count, cpus = cpus, oneZone = oneZone).copy(id = id),
        count,
        perZone,
        spotOnly = spotOnly,
    )

    private fun aggregated(vararg demands: CapacityDemand): List<String> =
        aggregateDemands(demands.toList()).map { "${it.spec.id}:${it.spec.tasks}:${it.count}" }

    @Test
    fun `demands with the same requirements become one demand at the position of the first`() {
        assertEquals(listOf("a:5:5", "b:1:1"), aggregated(demand("a", 2), demand("b", 1, cpus = 2.0), demand("c", 3)))
    }

    @Test
    fun `demands of jobs with zone rules across their tasks are not aggregated`() {
        val oneZone = listOf(demand("a", 2, oneZone = true), demand("b", 2, oneZone = true))
        assertEquals(listOf("a:2:2", "b:2:2"), aggregated(*oneZone.toTypedArray()))
        val running = listOf(demand("a", 2, perZone = mapOf("north" to 1)), demand("b", 2, perZone = mapOf("north" to 1)))
        assertEquals(listOf("a:2:2", "b:2:2"), aggregated(*running.toTypedArray()))
    }

    @Test
    fun `demands that may use different machines are not aggregated`() {
        assertEquals(listOf("a:2:2", "b:2:2"), aggregated(demand("a", 2), demand("b", 2, spotOnly = true)))
    }
}
