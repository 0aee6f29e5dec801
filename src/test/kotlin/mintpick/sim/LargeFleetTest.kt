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
import org.junit.jupiter.api.Test

/** Fleets of thousands of machines on the smallest state services that are named. */
class LargeFleetTest {
    private class Costs(
        val writes: Double,
        val calls: Double,
        val events: Double,
    )

    /** What the state service takes; with [changes] it also refuses what is beyond that. */
    private class Limits(
        val valueKb: Int,
        val changesPerSecond: Double,
        val changes: Int? = null,
    ) {
        val refusing = changes?.let { SimState.StateLimits(valueKb * 1024, it, changesPerSecond) }
    }

    private fun settings(
        index: Int,
        limits: Limits,
    ): Settings =
        Settings.parse(
            Samples
                .toml(index)
                .replace("value_kb = 32.0", "value_kb = ${limits.valueKb}.0")
                .replace("write_rps = 40.0", "write_rps = ${limits.changesPerSecond}")
                .replace("txn_ops = 16", "txn_ops = ${limits.changes ?: 16}"),
        )

    private fun World.listed(): List<MachineId> =
        state
            .keys()
            .filter { Keys.parse(it.first) is Keys.Subject.MachineList }
            .flatMap { RecordCodec.decodeMachineList(WireJson.parseToJsonElement(it.second)).keys }

    /** Every machine that has been up for a while is in the records, each once, and no value is larger than allowed. */
    private fun World.checkListed(
        upBefore: Set<String>,
        limits: Limits,
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
    private fun lifeOf(
        machines: Int,
        limits: Limits,
    ): Costs {
        val world = World(91, FaultRates(), Size(machines = machines)) { settings(it, limits) }
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
        return Costs(world.state.writes / starts, world.nodes.sumOf { it.calls } / starts, world.nodes.sumOf { it.events } / starts)
    }

    /**
     * With a single record for each part, machines beyond some 330 in a part were never listed and so never used.
     */
    @Test
    fun `four thousand machines are listed and served, at the cost for each start of a thousand`() {
        val limits = Limits(valueKb = 16, changesPerSecond = 25.0)
        assertSameCosts(lifeOf(1000, limits), lifeOf(4000, limits))
    }

    /** As they are after an upgrade: an eighth of the value, a third of the changes in a transaction. */
    @Test
    fun `four thousand machines are listed and served under lowered limits, at the cost for each start of a thousand`() {
        val limits = Limits(valueKb = 2, changesPerSecond = 18.0, changes = 5)
        assertSameCosts(lifeOf(1000, limits), lifeOf(4000, limits))
    }

    private fun assertSameCosts(
        thousand: Costs,
        full: Costs,
    ) {
        assertTrue(full.writes < thousand.writes * 1.2, "${full.writes} writes a start, ${thousand.writes} with a thousand")
        assertTrue(full.calls < thousand.calls * 1.2, "${full.calls} calls a start, ${thousand.calls} with a thousand")
        assertTrue(full.events < thousand.events * 1.2, "${full.events} events a start, ${thousand.events} with a thousand")
    }
}
