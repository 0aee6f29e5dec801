package mintpick.sim

import mintpick.Samples
import mintpick.config.Settings
import mintpick.core.MachineId
import mintpick.core.SECOND
import mintpick.store.Keys
import mintpick.store.RecordCodec
import mintpick.wire.WireJson
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue

/** What each start of a task cost on a large day. */
internal class FleetCosts(
    val writes: Double,
    val calls: Double,
    val events: Double,
)

/** What the state service takes; with [changes] it also refuses what is beyond that. */
internal class FleetLimits(
    val valueKb: Int,
    val changesPerSecond: Double,
    val changes: Int? = null,
) {
    val refusing = changes?.let { SimState.StateLimits(valueKb * 1024, it, changesPerSecond) }
}

internal fun largeFleetToml(
    index: Int,
    limits: FleetLimits,
): String =
    Samples
        .toml(index)
        .replace("value_kb = 32.0", "value_kb = ${limits.valueKb}.0")
        .replace("write_rps = 40.0", "write_rps = ${limits.changesPerSecond}")
        .replace("txn_ops = 16", "txn_ops = ${limits.changes ?: 16}")

private fun World.listed(): List<MachineId> =
    state
        .keys()
        .filter { Keys.parse(it.first) is Keys.Subject.MachineList }
        .flatMap { RecordCodec.decodeMachineList(WireJson.parseToJsonElement(it.second)).keys }

/** Every machine that has been up for a while is in the records, each once, and no value is larger than allowed. */
private fun World.checkListed(
    upBefore: Set<String>,
    limits: FleetLimits,
) {
    val listed = listed()
    assertEquals(listed.size, listed.toSet().size, "machines listed twice")
    val missing = workers.keys.filter { it in upBefore && MachineId(it) !in listed.toSet() }
    assertEquals(emptyList<String>(), missing.take(5), "${missing.size} of ${workers.size} machines are not listed")
    val largest = state.keys().maxOf { it.second.length }
    assertTrue(largest <= limits.valueKb * 1024, "a value of $largest bytes")
    assertEquals(emptyMap<String, Int>(), state.refused - "rate")
}

/** Fills a fleet, loses an eighth of it, its leader, all controllers for a moment and two of them for half a minute. */
internal fun playLargeFleetDay(
    machines: Int,
    limits: FleetLimits,
    prepare: (World) -> Unit = {},
): FleetCosts {
    val world = World(91, FaultRates(), Size(machines = machines)) { Settings.parse(largeFleetToml(it, limits)) }
    prepare(world)
    world.state.limits = limits.refusing
    val services = machines / 20
    (1..services).forEach { n ->
        world.after(n * 15 * SECOND / services) { world.user(Samples.service(n, team = "blue", tasks = 4, cpus = 2.0), null) }
    }
    val arrays = machines / 50
    (1..arrays).forEach { n ->
        val spec = Samples.spec("req-%06d".format(1000 + n), team = "blue", tasks = 200, cpus = 4.0, estimateS = 40.0)
        world.after(n * 50 * SECOND / arrays) { world.user(spec, null) }
    }
    world.run(58 * SECOND)
    val up = world.workers.keys.toSet()
    assertTrue(up.size > machines * 9 / 10, "${up.size} machines are up after a minute")
    world.run(70 * SECOND)
    world.checkListed(up, limits)
    world.workers.keys
        .filterIndexed { i, _ -> i % 8 == 0 }
        .forEach(world::remove)
    world.after(5 * SECOND) { world.leader().crash(3 * SECOND) }
    world.after(25 * SECOND) { world.nodes.forEach { it.crash(SECOND / 3) } }
    world.after(40 * SECOND) { world.nodes.drop(1).forEach { it.crash(30 * SECOND) } }
    world.run(150 * SECOND)
    world.rules.calmSinceUs = world.now
    world.run(170 * SECOND)
    world.checkListed(up, limits)
    world.assertRulesHeld()
    val replicas =
        world.rules.running.keys
            .count { it < "req-001000" }
    assertTrue(replicas >= services * 4 * 99 / 100, "$replicas of ${services * 4} replicas run")
    val starts = world.rules.starts.toDouble()
    return FleetCosts(world.state.writes / starts, world.nodes.sumOf { it.calls } / starts, world.nodes.sumOf { it.events } / starts)
}
