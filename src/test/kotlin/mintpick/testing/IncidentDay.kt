package mintpick.testing

import mintpick.config.Settings
import mintpick.core.Micros
import mintpick.core.SECOND
import mintpick.engine.runtime.EventKind

/** What a user of a day with faults saw: results of polls, and the rules that were broken. */
internal class IncidentResult(
    val pollResults: Map<String, Int>,
    val breaches: List<String>,
    val longestUnansweredUs: Micros,
    val machines: Int,
    val discardedEffects: Long,
)

/** Costs of a controller with [share] of a core, in microseconds. */
internal fun measuredCosts(share: Double) =
    ProcessorCosts(
        share = share,
        step = 60.0,
        byKind =
            mapOf(
                EventKind.USER_REQUEST to 250.0,
                EventKind.HEARTBEAT to 350.0,
                EventKind.PEER_HINT to 1_500.0,
                EventKind.CALL_OUTCOME to 200.0,
                EventKind.STATUS_REQUEST to 2_000.0,
            ),
        answerKilobyte = 40.0,
        effect = 100.0,
        coldFactor = 2.5,
        coldUs = 8e6,
    )

private const val MACHINES = 4_000
private const val FAULTS_START_S = 75
private const val FAULTS_END_S = 150

/** Settings of controller [index] with the smallest shares and limits of the large deployments. */
private fun toml(index: Int): String =
    SampleJobs
        .withStateLimits(SampleJobs.toml(index), writesPerSecond = 35.0, valueKb = 16.0)
        .replace("rps = 100.0", "rps = 90.0")
        .replace("report_s = 3.0", "report_s = 6.0")
        .replace("lease_s = 18.0", "lease_s = 34.0")
        .replace("cancel_s = 43.0", "cancel_s = 64.0")

/**
 * Fills 4,000 machines with work of many users, injects [faults] from 75 s on, ends them at 150 s, and goes on for 90 s. Controllers
 * are charged [costs].
 */
internal fun playIncidentDay(
    seed: Long,
    costs: ProcessorCosts,
    faults: (SimulatedCluster) -> Unit,
): IncidentResult {
    val size = ClusterSize(machines = MACHINES, processor = costs)
    val cluster = SimulatedCluster(seed, FaultRates(duplicated = 20), size) { Settings.parse(toml(it)) }
    cluster.state.limits = SimulatedStateStore.StateLimits(valueBytes = 16 * 1024, changes = 16, changesPerSecond = 35.0)
    cluster.state.retainedChanges = 10_000
    val loadBalancer = LoadBalancer(cluster)
    val users = ConnectedUsers(cluster, loadBalancer)
    cluster.after(0) { loadBalancer.start() }
    submitWork(cluster, users)
    cluster.after(FAULTS_START_S * SECOND) { faults(cluster) }
    cluster.after(FAULTS_END_S * SECOND) { cluster.rules.faultsOverAtUs = cluster.now }
    var longestUs: Micros = 0
    cluster.run(FAULTS_END_S * SECOND)
    repeat(OBSERVED_S) {
        cluster.run(cluster.now + SECOND)
        longestUs = maxOf(longestUs, cluster.rules.longestUnansweredUs(cluster.now))
    }
    return IncidentResult(
        users.pollResults,
        cluster.rules.breaches.distinct(),
        longestUs,
        cluster.agents.size,
        cluster.nodes.sumOf {
            it.discardedEffects
        },
    )
}

private const val OBSERVED_S = 90

private fun submitWork(
    cluster: SimulatedCluster,
    users: ConnectedUsers,
) {
    (1..SERVICES).forEach { n ->
        cluster.after(n * SERVICE_PERIOD_S * SECOND / SERVICES) { users.add(SampleJobs.service(n, team = "blue", tasks = 6, cpus = 2.0)) }
    }
    (1..ARRAYS).forEach { n ->
        val spec = SampleJobs.spec("req-%06d".format(1000 + n), team = "blue", tasks = 100, cpus = 4.0, estimateS = 40.0)
        cluster.after(n * ARRAY_PERIOD_S * SECOND / ARRAYS) { users.add(spec) }
    }
}

private const val SERVICES = 300
private const val SERVICE_PERIOD_S = 20
private const val ARRAYS = 400
private const val ARRAY_PERIOD_S = 200
