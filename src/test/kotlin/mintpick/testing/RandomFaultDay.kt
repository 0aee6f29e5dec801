package mintpick.testing

import mintpick.config.Settings
import mintpick.core.Job
import mintpick.core.SECOND
import mintpick.wire.JobKind
import mintpick.wire.JobSpec
import mintpick.wire.Priority

private const val JOBS = 24
private const val ARRAYS = 5
private const val FIRST_ARRAY = 501

/** More than the smallest value that a state store of these days accepts. */
private const val IMAGE_CHARACTERS = 3_000

/** Result of the random simulation of [seed]: the faults injected, task starts and the first breaches of rules. */
internal class RandomFaultDay(
    val seed: Long,
    val faults: List<String>,
    val starts: Int,
    val breaches: List<String>,
)

private fun jobOf(
    cluster: SimulatedCluster,
    n: Int,
): JobSpec {
    val id = "req-%06d".format(n)
    val random = cluster.random
    if (n % 3 == 0) {
        val tasks = 1 + random.nextInt(3)
        val spread = random.nextBoolean()
        val zone = if (!spread && random.nextInt(4) == 0) "south" else null
        return SampleJobs.spec(id, "red", tasks, JobKind.SERVICE, Priority.PRODUCTION, 1.0, spot = false, spread = spread, zone = zone)
    }
    val team = if (n % 2 == 0) "red" else "blue"
    val estimateS = 2.0 + random.nextInt(30)
    val spec = SampleJobs.spec(id, team, 1 + random.nextInt(6), oneZone = random.nextInt(4) == 0, estimateS = estimateS)
    return spec.copy(predecessors = predecessorsOf(n).map { "req-%06d".format(it) }.ifEmpty { null })
}

/** An array of several chunks, with or without a limit of its team, a zone rule and names enough for a separate specification. */
private fun arrayOf(
    cluster: SimulatedCluster,
    n: Int,
): JobSpec {
    val random = cluster.random
    val team = if (random.nextInt(3) == 0) "red" else "blue"
    val tasks = Job.TASKS_PER_CHUNK + 1 + random.nextInt(2 * Job.TASKS_PER_CHUNK)
    val estimateS = 1.0 + random.nextInt(6)
    val spec = SampleJobs.spec("req-%06d".format(n), team, tasks, cpus = 0.25, oneZone = random.nextInt(4) == 0, estimateS = estimateS)
    val image = if (random.nextBoolean()) "img-1" else String(CharArray(IMAGE_CHARACTERS) { 'a' + random.nextInt(26) })
    return spec.copy(image = image)
}

/**
 * Numbers of the predecessors of job [n]. Two of every twelve jobs have predecessors: the first follows a job that is
 * cancelled at a random time, the second follows another such job and the first.
 */
private fun predecessorsOf(n: Int): List<Int> =
    when (n % 12) {
        5 -> listOf(n - 1)
        10 -> listOf(n - 2, n - 5)
        else -> emptyList()
    }

/** Number of controllers, and settings of each. */
internal class ClusterShape(
    val controllers: Int = 3,
    val limits: SimulatedStateStore.StateLimits? = null,
    /** Whether the jobs include arrays of several chunks, some of them with separately stored specifications. */
    val hasLargeArrays: Boolean = false,
    val toml: (Int) -> String = { SampleJobs.toml(it) },
)

/** Simulates random jobs and faults drawn from [seed]. [prepare] may configure the cluster, such as which engine its controllers run. */
internal fun playRandomFaultDay(
    seed: Long,
    shape: ClusterShape = ClusterShape(),
    prepare: (SimulatedCluster) -> Unit = {},
): RandomFaultDay {
    val faultRates = FaultRates(lost = 2, lostAnswer = 2, late = 3, duplicated = 30)
    val size = ClusterSize(controllers = shape.controllers)
    val cluster = SimulatedCluster(seed, faultRates, size) { Settings.parse(shape.toml(it)) }
    cluster.state.limits = shape.limits
    prepare(cluster)
    (1..JOBS).forEach { n ->
        val cancelAfterUs = if (n % 4 == 0) cluster.random.nextLong(70 * SECOND) else null
        cluster.after(cluster.random.nextLong(60 * SECOND)) { cluster.addUser(jobOf(cluster, n), cancelAfterUs) }
    }
    if (shape.hasLargeArrays) {
        repeat(ARRAYS) { i ->
            val cancelAfterUs = if (i == 0) cluster.random.nextLong(70 * SECOND) else null
            cluster.after(cluster.random.nextLong(70 * SECOND)) { cluster.addUser(arrayOf(cluster, FIRST_ARRAY + i), cancelAfterUs) }
        }
    }
    val faults = ArrayList<String>()
    val firstFaultUs = 20 * SECOND + cluster.random.nextLong(30 * SECOND)
    repeat(2 + cluster.random.nextInt(2)) {
        val delay = firstFaultUs + cluster.random.nextLong(12 * SECOND)
        cluster.after(delay) { faults += cluster.injectRandomFault(ALL_FAULTS, 4 * SECOND, 60 * SECOND) }
    }
    cluster.after(125 * SECOND) { cluster.rules.faultsOverAtUs = cluster.now }
    cluster.run(230 * SECOND)
    cluster.rules.checkServed(cluster.now)
    cluster.rules.checkEnded(cluster.now)
    return RandomFaultDay(
        seed,
        faults,
        cluster.rules.starts,
        cluster.rules.breaches
            .distinct()
            .take(3),
    )
}
