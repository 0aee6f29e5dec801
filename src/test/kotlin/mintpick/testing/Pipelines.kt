package mintpick.testing

import mintpick.core.SECOND
import mintpick.wire.JobSpec
import mintpick.wire.Priority

/** Jobs that wait for others, in the shapes that pipelines have. Ids go on from [next]. */
internal class Pipelines(
    private val cluster: SimulatedCluster,
    private var next: Int,
) {
    val jobs = ArrayList<JobSpec>()

    private fun job(
        needs: List<JobSpec>,
        tasks: Int = 2,
        team: String = "blue",
    ): JobSpec {
        val last = jobs.size % 3 == 2
        val spec =
            SampleJobs
                .spec(
                    "req-%06d".format(next++),
                    team,
                    tasks,
                    cpus = 1.0,
                    estimateS = 1.0 + cluster.random.nextInt(6),
                    priority = if (last) Priority.HIGH else Priority.LOW,
                ).copy(predecessors = needs.map { it.id }.ifEmpty { null }, deadlineS = if (last) 90.0 else null)
        jobs += spec
        return spec
    }

    /** Each job needs the one before; the first needs [on]. */
    fun chain(
        length: Int,
        on: List<JobSpec> = emptyList(),
    ): List<JobSpec> {
        val made = ArrayList<JobSpec>()
        repeat(length) { made += job(listOfNotNull(made.lastOrNull()).ifEmpty { on }, tasks = 1) }
        return made
    }

    /** A first step, some beside each other, and a last that needs them all, of two teams. */
    fun diamond(
        wide: Int,
        on: List<JobSpec> = emptyList(),
    ): List<JobSpec> {
        val first = job(on)
        val middle = List(wide) { job(listOf(first), tasks = 3, team = if (it % 2 == 0) "red" else "blue") }
        return listOf(first) + middle + job(middle)
    }

    /** Submits [made] from now on, each as soon as those that it needs are accepted, and cancels [cancelled] after a while. */
    fun submit(
        made: List<JobSpec>,
        cancelled: JobSpec? = null,
        cancelAfterS: Long = 5,
    ) = made.forEach { cluster.user(it, if (it === cancelled) cancelAfterS * SECOND else null) }
}
