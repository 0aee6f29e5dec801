package mintpick.upgrade

import kotlinx.serialization.json.JsonElement
import mintpick.Samples
import mintpick.config.Operators
import mintpick.config.Settings
import mintpick.core.SECOND
import mintpick.engine.Engine
import mintpick.sim.ALL_TROUBLES
import mintpick.sim.FaultRates
import mintpick.sim.Pipelines
import mintpick.sim.SimState
import mintpick.sim.Size
import mintpick.sim.World
import mintpick.sim.assertRulesHeld
import mintpick.sim.draw
import mintpick.sim.submitTo
import mintpick.store.Keys
import mintpick.wire.WireJson
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertNotEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.TestFactory

/** Controllers of the version in production are exchanged one by one while they serve, and then the limits fall. */
class UpgradeTest {
    private val lowered = SimState.StateLimits(valueBytes = 2 * 1024, changes = 5, changesPerSecond = 18.0)

    private fun toml(index: Int) =
        Samples.toml(index).replace(
            "[settings.cloud]",
            "[settings.state.next]\nwrite_rps = 18.0\nvalue_kb = 2.0\ntxn_ops = 5\n\n[settings.cloud]",
        )

    /** All controllers run the version in production until [upgraded] names them. */
    private class Roll(
        val world: World,
        toml: (Int) -> String,
    ) {
        val upgraded = HashSet<Int>()

        init {
            world.controllerOf = { node ->
                if (node.index in upgraded) {
                    World.Controller(Engine(node.settings, Operators(), world.random.split())::step)
                } else {
                    ProductionEngine(toml(node.index), world.random.split())
                }
            }
        }

        fun exchange(index: Int) {
            upgraded += index
            world.nodes[index].crash(3 * SECOND)
        }
    }

    private fun roll(
        seed: Long,
        faultRates: FaultRates = FaultRates(),
    ) = Roll(World(seed, faultRates, Size(machines = 20)) { Settings.parse(toml(it)) }, ::toml)

    /** Jobs from before the upgrade, some of them larger than one record of the lowered limits holds. */
    private fun World.beforehand() =
        (1..12).map { n ->
            val spec =
                if (n % 4 == 0) {
                    Samples.service(n, spread = n % 8 == 0)
                } else {
                    Samples.spec("req-%06d".format(n), "blue", tasks = if (n == 1) 600 else 20 * n, cpus = 0.5, estimateS = 4.0 + n)
                }
            after(n * SECOND / 2) { user(spec, if (n == 3) 80 * SECOND else null) }
            spec
        }

    @TestFactory
    fun `a rolling upgrade keeps every rule, and pipelines run under the lowered limits`() =
        (301L..306L).map { seed ->
            DynamicTest.dynamicTest("seed $seed") {
                val roll = roll(seed, FaultRates(lost = 2, lostAnswer = 2, late = 3))
                val world = roll.world
                val earlier = world.beforehand()
                // One that dies before its turn comes back old.
                world.after(32 * SECOND) { world.nodes[2].crash(SECOND / 2) }
                (0..2).forEach { world.after((40L + it * 12) * SECOND) { roll.exchange(it) } }
                if (seed % 2 == 0L) {
                    repeat(
                        3,
                    ) { world.after((36L + world.random.nextLong(40)) * SECOND) { world.draw(ALL_TROUBLES, 3 * SECOND, 15 * SECOND) } }
                }
                world.run(100 * SECOND)
                world.state.limits = lowered
                val pipelines = Pipelines(world, 100)
                pipelines.submit(pipelines.chain(8, on = earlier.take(3).filter { it.tasks > 20 }))
                pipelines.submit(pipelines.diamond(5))
                val withdrawn = pipelines.diamond(4)
                pipelines.submit(withdrawn, cancelled = withdrawn[1])
                world.after(20 * SECOND) { world.nodes.forEach { it.crash(SECOND) } }
                world.after(80 * SECOND) { world.rules.calmSinceUs = world.now }
                world.run(290 * SECOND)
                world.assertRulesHeld()
                assertEquals(emptyMap<String, Int>(), world.state.refused - "rate", "beyond the lowered limits")
                val kept = pipelines.jobs.filter { it !in withdrawn }
                assertEquals(emptyList<String>(), kept.map { it.id }.filterNot(world.rules::isComplete), "not run")
                assertTrue(withdrawn.all { world.rules.isFinal(it.id) }, "withdrawn or done before")
            }
        }

    /** What the version in production makes of a record when it rewrites it: it drops what it does not know. */
    private fun rewritten(
        record: String,
        value: JsonElement,
    ): JsonElement {
        val serializer = Production.serializer(record)
        return WireJson.encodeToJsonElement(serializer, WireJson.decodeFromJsonElement(serializer, value))
    }

    private fun recordOf(key: String): String? =
        when (Keys.parse(key)) {
            is Keys.Subject.Job -> "wire.JobRecord"
            is Keys.Subject.Chunk -> "wire.ChunkRecord"
            is Keys.Subject.MachineList -> "wire.FleetRecord"
            is Keys.Subject.Node -> "wire.NodeRecord"
            is Keys.Subject.Usage -> "wire.UsageRecord"
            is Keys.Subject.Team -> "wire.ReservationRecord"
            is Keys.Subject.Shard, is Keys.Subject.Borrow, Keys.Subject.Leader, Keys.Subject.Epoch -> "wire.ClaimRecord"
            else -> null
        }

    /** Records that the version in production would not rewrite as they are. */
    private fun World.unreadableBefore(): List<String> =
        state.keys().mapNotNull { (key, text) ->
            val value = WireJson.parseToJsonElement(text)
            key.takeIf { recordOf(it)?.let { record -> rewritten(record, value) != value } ?: false }
        }

    @Test
    fun `while one controller is still old, all that is written is read and rewritten by it without loss`() {
        val roll = roll(311)
        val world = roll.world
        world.beforehand()
        world.run(25 * SECOND)
        val before =
            world.state
                .keys()
                .map { it.first }
                .toSet()
        roll.exchange(0)
        world.run(38 * SECOND)
        roll.exchange(1)
        for (at in 39..75) {
            world.run(at * SECOND)
            assertEquals(emptyList<String>(), world.unreadableBefore(), "at $at s")
        }
        val prefixes =
            (
                world.state
                    .keys()
                    .map { it.first }
                    .toSet() - before
            ).filter { recordOf(it) == null }
        assertEquals(listOf(Keys.format("node-0"), Keys.format("node-1")), prefixes.sorted())
        // A controller that only wrote nothing would pass: the new ones have placed, finished and listed.
        assertTrue(world.rules.starts > 300, "${world.rules.starts} starts")
        roll.exchange(2)
        world.run(110 * SECOND)
        assertNotEquals(emptyList<String>(), world.unreadableBefore(), "the compact format is in use afterwards")
        world.assertRulesHeld()
    }

    /** An old controller that waits for its turn for long: submissions with the new field are refused, and may come again. */
    @Test
    fun `a job that waits for others is not accepted before all controllers know what that means`() {
        val roll = roll(312)
        val world = roll.world
        val earlier = world.beforehand()
        world.run(20 * SECOND)
        roll.exchange(0)
        roll.exchange(1)
        world.run(50 * SECOND)
        val job = Samples.spec("req-000200", "blue", estimateS = 2.0).copy(predecessors = listOf(earlier[1].id))
        val statuses = ArrayList<Int>()
        (0..1).forEach { n -> world.submitTo(n, job) { statuses.add(it) } }
        world.run(55 * SECOND)
        assertEquals(listOf(503, 503), statuses)
        roll.exchange(2)
        world.run(70 * SECOND)
        world.user(job, null)
        world.run(150 * SECOND)
        world.assertRulesHeld()
        assertTrue(world.rules.isComplete(job.id))
    }
}
