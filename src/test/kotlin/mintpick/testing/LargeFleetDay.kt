package mintpick.testing

import mintpick.config.Settings
import mintpick.core.MachineId
import mintpick.core.SECOND
import mintpick.store.Keys
import mintpick.store.RecordCodec
import mintpick.wire.WireJson
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue

/** Cost of a simulation with many machines, each value divided by the number of task starts. */
internal class FleetCosts(
    val writes: Double,
    val calls: Double,
    val events: Double,
)

/** Limits of the state store. If [changes] is given, the simulated store also refuses requests that exceed a limit. */
internal class FleetLimits(
    val valueKb: Int,
    val changesPerSecond: Double,
    val changes: Int? = null,
) {
    val enforced = changes?.let { SimulatedStateStore.StateLimits(valueKb * 1024, it, changesPerSecond) }
}

internal fun largeFleetToml(
    index: Int,
    limits: FleetLimits,
): String = SampleJobs.withStateLimits(SampleJobs.toml(index), limits.changesPerSecond, limits.valueKb.toDouble(), limits.changes)

private fun SimulatedCluster.listedMachines(): List<MachineId> =
    state
        .keys()
        .filter { Keys.parse(it.first) is Keys.Subject.MachineList }
        .flatMap { RecordCodec.decodeMachineList(WireJson.parseToJsonElement(it.second)).keys }

/** Asserts that all of [machinesUp] that still exist are in the machine list, no machine is listed twice and no value exceeds its limit. */
private fun SimulatedCluster.checkListedMachines(
    machinesUp: Set<String>,
    limits: FleetLimits,
) {
    val listed = listedMachines()
    assertEquals(listed.size, listed.toSet().size, "machines listed twice")
    val missing = agents.keys.filter { it in machinesUp && MachineId(it) !in listed.toSet() }
    assertEquals(emptyList<String>(), missing.take(5), "${missing.size} of ${agents.size} machines are not listed")
    val largest = state.keys().maxOf { it.second.length }
    assertTrue(largest <= limits.valueKb * 1024, "a value of $largest bytes")
    assertEquals(emptyMap<String, Int>(), state.refusals - "rate")
}

/**
 * Fills a fleet of [machines] machines with work. From 70 s on it then removes an eighth of the machines, crashes the
 * leader for 3 s, all controllers for a third of a second, and two of the three controllers for 30 s. Asserts that
 * the rules hold and that at least 99 % of the service replicas run in the end.
 */
internal fun playLargeFleetDay(
    machines: Int,
    limits: FleetLimits,
    prepare: (SimulatedCluster) -> Unit = {},
): FleetCosts {
    val cluster = SimulatedCluster(91, FaultRates(), ClusterSize(machines = machines)) { Settings.parse(largeFleetToml(it, limits)) }
    prepare(cluster)
    cluster.state.limits = limits.enforced
    val services = machines / 20
    (1..services).forEach { n ->
        cluster.after(n * 15 * SECOND / services) { cluster.addUser(SampleJobs.service(n, team = "blue", tasks = 4, cpus = 2.0), null) }
    }
    val arrays = machines / 50
    (1..arrays).forEach { n ->
        val spec = SampleJobs.spec("req-%06d".format(1000 + n), team = "blue", tasks = 200, cpus = 4.0, estimateS = 40.0)
        cluster.after(n * 50 * SECOND / arrays) { cluster.addUser(spec, null) }
    }
    cluster.run(58 * SECOND)
    val machinesUp = cluster.agents.keys.toSet()
    assertTrue(machinesUp.size > machines * 9 / 10, "${machinesUp.size} machines are up after a minute")
    cluster.run(70 * SECOND)
    cluster.checkListedMachines(machinesUp, limits)
    cluster.agents.keys
        .filterIndexed { i, _ -> i % 8 == 0 }
        .forEach(cluster::remove)
    cluster.after(5 * SECOND) { cluster.leader().crash(3 * SECOND) }
    cluster.after(25 * SECOND) { cluster.nodes.forEach { it.crash(SECOND / 3) } }
    cluster.after(40 * SECOND) { cluster.nodes.drop(1).forEach { it.crash(30 * SECOND) } }
    cluster.run(150 * SECOND)
    cluster.rules.faultsOverAtUs = cluster.now
    cluster.run(170 * SECOND)
    cluster.checkListedMachines(machinesUp, limits)
    cluster.assertRulesHeld()
    val replicas =
        cluster.rules.running.keys
            .count { it < "req-001000" }
    assertTrue(replicas >= services * 4 * 99 / 100, "$replicas of ${services * 4} replicas run")
    val starts = cluster.rules.starts.toDouble()
    return FleetCosts(cluster.state.writes / starts, cluster.nodes.sumOf { it.calls } / starts, cluster.nodes.sumOf { it.events } / starts)
}
