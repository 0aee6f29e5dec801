package mintpick.upgrade

import mintpick.config.Operators
import mintpick.config.Settings
import mintpick.core.SECOND
import mintpick.engine.Engine
import mintpick.testing.ALL_FAULTS
import mintpick.testing.ClusterSize
import mintpick.testing.FaultRates
import mintpick.testing.Pipelines
import mintpick.testing.SampleJobs
import mintpick.testing.SimulatedCluster
import mintpick.testing.SimulatedStateStore
import mintpick.testing.assertRulesHeld
import mintpick.testing.injectRandom
import mintpick.wire.JobSpec
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue

/** A world whose controllers run the version in production until each is exchanged for the present one. */
internal class RollingUpgrade(
    seed: Long,
    faultRates: FaultRates = FaultRates(),
    present: (SimulatedCluster, SimulatedCluster.Node) -> SimulatedCluster.Controller = { cluster, node ->
        SimulatedCluster.Controller(Engine(node.settings, Operators(), cluster.random.split())::step)
    },
) {
    val cluster = SimulatedCluster(seed, faultRates, ClusterSize(machines = 20)) { Settings.parse(toml(it)) }
    private val upgraded = HashSet<Int>()

    init {
        cluster.controllerOf = { node ->
            if (node.index in upgraded) {
                present(cluster, node)
            } else {
                VersionedEngine(Production.version, toml(node.index), cluster.random.split())
            }
        }
    }

    fun exchange(index: Int) {
        upgraded += index
        cluster.nodes[index].crash(3 * SECOND)
    }

    companion object {
        val LOWERED = SimulatedStateStore.StateLimits(valueBytes = 2 * 1024, changes = 5, changesPerSecond = 18.0)

        /** Settings that announce the lowered limits. */
        fun toml(index: Int) =
            SampleJobs.toml(index).replace(
                "[settings.cloud]",
                "[settings.state.next]\nwrite_rps = 18.0\nvalue_kb = 2.0\ntxn_ops = 5\n\n[settings.cloud]",
            )
    }
}

/** Jobs from before the upgrade, some of them larger than one record of the lowered limits holds. */
internal fun SimulatedCluster.beforehand(): List<JobSpec> =
    (1..12).map { n ->
        val spec =
            if (n % 4 == 0) {
                SampleJobs.service(n, spread = n % 8 == 0)
            } else {
                SampleJobs.spec("req-%06d".format(n), "blue", tasks = if (n == 1) 600 else 20 * n, cpus = 0.5, estimateS = 4.0 + n)
            }
        after(n * SECOND / 2) { user(spec, if (n == 3) 80 * SECOND else null) }
        spec
    }

/** One exchange of all controllers under load, after which the limits fall and pipelines run; fails if a rule breaks. */
internal fun playUpgradeDay(
    seed: Long,
    roll: RollingUpgrade = RollingUpgrade(seed, UPGRADE_FAULT_RATES),
) {
    val cluster = roll.cluster
    val earlier = cluster.beforehand()
    // One that dies before its turn comes back old.
    cluster.after(32 * SECOND) { cluster.nodes[2].crash(SECOND / 2) }
    (0..2).forEach { cluster.after((40L + it * 12) * SECOND) { roll.exchange(it) } }
    if (seed % 2 == 0L) {
        repeat(
            3,
        ) { cluster.after((36L + cluster.random.nextLong(40)) * SECOND) { cluster.injectRandom(ALL_FAULTS, 3 * SECOND, 15 * SECOND) } }
    }
    cluster.run(100 * SECOND)
    cluster.state.limits = RollingUpgrade.LOWERED
    val pipelines = Pipelines(cluster, 100)
    pipelines.submit(pipelines.chain(8, on = earlier.take(3).filter { it.tasks > 20 }))
    pipelines.submit(pipelines.diamond(5))
    val withdrawn = pipelines.diamond(4)
    pipelines.submit(withdrawn, cancelled = withdrawn[1])
    cluster.after(20 * SECOND) { cluster.nodes.forEach { it.crash(SECOND) } }
    cluster.after(80 * SECOND) { cluster.rules.faultsOverSinceUs = cluster.now }
    cluster.run(290 * SECOND)
    cluster.assertRulesHeld()
    assertEquals(emptyMap<String, Int>(), cluster.state.refused - "rate", "beyond the lowered limits")
    val kept = pipelines.jobs.filter { it !in withdrawn }
    assertEquals(emptyList<String>(), kept.map { it.id }.filterNot(cluster.rules::isComplete), "not run")
    assertTrue(withdrawn.all { cluster.rules.isFinal(it.id) }, "withdrawn or done before")
}

/** The few losses and late packets of upgrade days. */
internal val UPGRADE_FAULT_RATES = FaultRates(lost = 2, lostAnswer = 2, late = 3)
