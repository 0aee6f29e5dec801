package mintpick.upgrade

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
import mintpick.wire.JobSpec
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue

/** A world whose controllers run the version in production until each is exchanged for the present one. */
internal class RollingUpgrade(
    seed: Long,
    faultRates: FaultRates = FaultRates(),
    present: (World, World.Node) -> World.Controller = { world, node ->
        World.Controller(Engine(node.settings, Operators(), world.random.split())::step)
    },
) {
    val world = World(seed, faultRates, Size(machines = 20)) { Settings.parse(toml(it)) }
    private val upgraded = HashSet<Int>()

    init {
        world.controllerOf = { node ->
            if (node.index in upgraded) {
                present(world, node)
            } else {
                VersionedEngine(Production.version, toml(node.index), world.random.split())
            }
        }
    }

    fun exchange(index: Int) {
        upgraded += index
        world.nodes[index].crash(3 * SECOND)
    }

    companion object {
        val LOWERED = SimState.StateLimits(valueBytes = 2 * 1024, changes = 5, changesPerSecond = 18.0)

        /** Settings that announce the lowered limits. */
        fun toml(index: Int) =
            Samples.toml(index).replace(
                "[settings.cloud]",
                "[settings.state.next]\nwrite_rps = 18.0\nvalue_kb = 2.0\ntxn_ops = 5\n\n[settings.cloud]",
            )
    }
}

/** Jobs from before the upgrade, some of them larger than one record of the lowered limits holds. */
internal fun World.beforehand(): List<JobSpec> =
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

/** One exchange of all controllers under load, after which the limits fall and pipelines run; fails if a rule breaks. */
internal fun playUpgradeDay(
    seed: Long,
    roll: RollingUpgrade = RollingUpgrade(seed, UPGRADE_LUCK),
) {
    val world = roll.world
    val earlier = world.beforehand()
    // One that dies before its turn comes back old.
    world.after(32 * SECOND) { world.nodes[2].crash(SECOND / 2) }
    (0..2).forEach { world.after((40L + it * 12) * SECOND) { roll.exchange(it) } }
    if (seed % 2 == 0L) {
        repeat(3) { world.after((36L + world.random.nextLong(40)) * SECOND) { world.draw(ALL_TROUBLES, 3 * SECOND, 15 * SECOND) } }
    }
    world.run(100 * SECOND)
    world.state.limits = RollingUpgrade.LOWERED
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

/** The few losses and late packets of upgrade days. */
internal val UPGRADE_LUCK = FaultRates(lost = 2, lostAnswer = 2, late = 3)
