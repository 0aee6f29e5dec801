package mintpick.testing

import mintpick.core.SECOND
import mintpick.wire.JobSpec
import mintpick.wire.Priority

/** Creates and submits jobs with predecessors, in the usual shapes of pipelines. Job ids are numbered from [nextId]. */
internal class Pipelines(
    private val cluster: SimulatedCluster,
    private var nextId: Int,
) {
    val jobs = ArrayList<JobSpec>()

    private fun job(
        predecessors: List<JobSpec>,
        tasks: Int = 2,
        team: String = "blue",
    ): JobSpec {
        val last = jobs.size % 3 == 2
        val spec =
            SampleJobs
                .spec(
                    "req-%06d".format(nextId++),
                    team,
                    tasks,
                    cpus = 1.0,
                    estimateS = 1.0 + cluster.random.nextInt(6),
                    priority = if (last) Priority.HIGH else Priority.LOW,
                ).copy(predecessors = predecessors.map { it.id }.ifEmpty { null }, deadlineS = if (last) 90.0 else null)
        jobs += spec
        return spec
    }

    /** Creates jobs that each have the one before as predecessor; the first has [predecessors]. */
    fun chain(
        length: Int,
        predecessors: List<JobSpec> = emptyList(),
    ): List<JobSpec> {
        val created = ArrayList<JobSpec>()
        repeat(length) { created += job(listOfNotNull(created.lastOrNull()).ifEmpty { predecessors }, tasks = 1) }
        return created
    }

    /** Creates a job, [width] jobs of two teams that follow it, and a last job that has all of these as predecessors. */
    fun diamond(
        width: Int,
        predecessors: List<JobSpec> = emptyList(),
    ): List<JobSpec> {
        val first = job(predecessors)
        val middle = List(width) { job(listOf(first), tasks = 3, team = if (it % 2 == 0) "red" else "blue") }
        return listOf(first) + middle + job(middle)
    }

    /** Submits each of [created] as soon as its predecessors are accepted, and cancels [cancelled] [cancelAfterS] after its submission. */
    fun submit(
        created: List<JobSpec>,
        cancelled: JobSpec? = null,
        cancelAfterS: Long = 5,
    ) = created.forEach { cluster.addUser(it, if (it === cancelled) cancelAfterS * SECOND else null) }
}
