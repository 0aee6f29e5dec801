package mintpick.engine.capacity

import mintpick.core.SECOND
import mintpick.testing.SampleJobs
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Test

class ClassDemandTest {
    private val demand = ClassDemand(SampleJobs.spec(tasks = 2))

    @Test
    fun `the peak covers samples within the retention time, and the current demand is the latest sample`() {
        assertEquals(0, demand.currentTasks)
        assertEquals(0, demand.peakTasks)
        demand.addSample(DemandSample(0, 9), RETENTION)
        demand.addSample(DemandSample(RETENTION, 4), RETENTION)
        assertEquals(4, demand.currentTasks)
        assertEquals(9, demand.peakTasks)
        demand.addSample(DemandSample(RETENTION + 1, 3), RETENTION)
        assertEquals(3, demand.currentTasks)
        assertEquals(4, demand.peakTasks)
    }

    @Test
    fun `the size of the largest job is capped, and the spec is that of the latest job`() {
        demand.observeJob(SampleJobs.spec(tasks = 7, cpus = 1.0))
        assertEquals(7, demand.largestJobTasks)
        demand.observeJob(SampleJobs.spec(tasks = 100, cpus = 2.0))
        demand.observeJob(SampleJobs.spec(tasks = 3, cpus = 4.0))
        assertEquals(16, demand.largestJobTasks)
        assertEquals(4.0, demand.spec.cpus)
    }

    private companion object {
        const val RETENTION = 60 * SECOND
    }
}
