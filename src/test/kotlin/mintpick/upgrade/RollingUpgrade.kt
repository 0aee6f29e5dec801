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
import mintpick.testing.injectRandomFault
import mintpick.wire.JobSpec
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue

/** A simulated cluster whose controllers run the version in production until each is upgraded to the present version. */
internal class RollingUpgrade(
    seed: Long,
    faultRates: FaultRates = FaultRates(),
    presentController: (SimulatedCluster, SimulatedCluster.Node) -> SimulatedCluster.Controller = { cluster, node ->
        SimulatedCluster.Controller(Engine(node.settings, Operators(), cluster.random.split())::step)
    },
) {
    val cluster = SimulatedCluster(seed, faultRates, ClusterSize(machines = 20)) { Settings.parse(toml(it)) }
    private val upgradedNodes = HashSet<Int>()

    init {
        cluster.rules.checksRemovals = false
        cluster.controllerFactory = { node ->
            if (node.index in upgradedNodes) {
                presentController(cluster, node)
            } else {
                VersionedEngine(Production.version, toml(node.index), cluster.random.split())
            }
        }
    }

    /** Restarts the controller of node [index] with the present version. */
    fun upgradeNode(index: Int) {
        upgradedNodes += index
        cluster.nodes[index].crash(3 * SECOND)
        if (upgradedNodes.size == cluster.nodes.size) cluster.after(LATEST_COMMAND) { cluster.rules.checksRemovals = true }
    }

    companion object {
        /** After this time no command of a process that was replaced arrives for the first time any more. */
        private const val LATEST_COMMAND = 25 * SECOND

        /** State store limits that apply after the upgrade. */
        val LOWERED_LIMITS = SimulatedStateStore.StateLimits(valueBytes = 2 * 1024, changes = 5, changesPerSecond = 18.0)

        /** Settings that announce [LOWERED_LIMITS] as the next limits of the state store. */
        fun toml(index: Int) =
            SampleJobs.toml(index).replace(
                "[settings.cloud]",
                "[settings.state.next]\nwrite_rps = 18.0\nvalue_kb = 2.0\ntxn_ops = 5\n\n[settings.cloud]",
            )
    }
}

/** Submits jobs before the upgrade starts; some are too large for one record under the lowered limits. */
internal fun SimulatedCluster.submitInitialJobs(): List<JobSpec> =
    (1..12).map { n ->
        val spec =
            if (n % 4 == 0) {
                SampleJobs.service(n, spread = n % 8 == 0)
            } else {
                SampleJobs.spec("req-%06d".format(n), "blue", tasks = if (n == 1) 600 else 20 * n, cpus = 0.5, estimateS = 4.0 + n)
            }
        after(n * SECOND / 2) { addUser(spec, if (n == 3) 80 * SECOND else null) }
        spec
    }

/** Upgrades all controllers under load, then lowers the state store's limits and runs pipelines. Fails if a rule is broken. */
internal fun playUpgradeDay(
    seed: Long,
    upgrade: RollingUpgrade = RollingUpgrade(seed, UPGRADE_FAULT_RATES),
) {
    val cluster = upgrade.cluster
    val initialJobs = cluster.submitInitialJobs()
    // A controller that crashes before it is upgraded restarts with the version in production.
    cluster.after(32 * SECOND) { cluster.nodes[2].crash(SECOND / 2) }
    (0..2).forEach { cluster.after((40L + it * 12) * SECOND) { upgrade.upgradeNode(it) } }
    if (seed % 2 == 0L) {
        repeat(
            3,
        ) { cluster.after((36L + cluster.random.nextLong(40)) * SECOND) { cluster.injectRandomFault(ALL_FAULTS, 3 * SECOND, 15 * SECOND) } }
    }
    cluster.run(100 * SECOND)
    cluster.state.limits = RollingUpgrade.LOWERED_LIMITS
    val pipelines = Pipelines(cluster, 100)
    pipelines.submit(pipelines.chain(8, predecessors = initialJobs.take(3).filter { it.tasks > 20 }))
    pipelines.submit(pipelines.diamond(5))
    val cancelledPipeline = pipelines.diamond(4)
    pipelines.submit(cancelledPipeline, cancelled = cancelledPipeline[1])
    cluster.after(20 * SECOND) { cluster.nodes.forEach { it.crash(SECOND) } }
    cluster.after(80 * SECOND) { cluster.rules.faultsOverAtUs = cluster.now }
    cluster.run(290 * SECOND)
    cluster.assertRulesHeld()
    assertEquals(emptyMap<String, Int>(), cluster.state.refusals - "rate", "transactions refused under the lowered limits")
    val otherJobs = pipelines.jobs.filter { it !in cancelledPipeline }
    assertEquals(emptyList<String>(), otherJobs.map { it.id }.filterNot(cluster.rules::isComplete), "jobs not completed")
    assertTrue(cancelledPipeline.all { cluster.rules.isFinal(it.id) }, "jobs of the cancelled pipeline are cancelled or completed")
}

/** Low rates of lost and delayed messages for upgrade days. */
internal val UPGRADE_FAULT_RATES = FaultRates(lost = 2, lostAnswer = 2, late = 3)
