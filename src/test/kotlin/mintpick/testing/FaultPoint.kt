package mintpick.testing

import mintpick.config.Settings
import mintpick.core.Micros
import mintpick.core.SECOND
import mintpick.net.Target
import mintpick.store.Keys
import mintpick.wire.JobKind
import mintpick.wire.Transaction

/** A fault in the instant before or after a commit. [actor] made the commit, [other] is another controller. */
internal enum class FollowUp(
    val begin: SimulatedCluster.(actor: SimulatedCluster.Node, other: SimulatedCluster.Node) -> Unit,
) {
    STORE_OUT({ _, _ -> state.unavailable = true }),
    ACTOR_READS_LATE({ actor, _ -> delayReads { it === actor } }),
    OTHERS_READ_LATE({ actor, _ -> delayReads { it !== actor } }),
    ANSWER_LOST({ _, _ -> }),
    APPLIED_LATE({ _, _ -> }),
    ACTOR_WITHOUT_STORE({ actor, _ -> actor.cutFromState = true }),
    ACTOR_WITHOUT_AGENTS({ actor, _ -> actor.cutFromAgents = true }),
    ACTOR_WITHOUT_PEERS({ actor, _ -> actor.cutFromPeers = true }),
    OTHER_WITHOUT_STORE({ _, other -> other.cutFromState = true }),
    OTHER_WITHOUT_AGENTS({ _, other -> other.cutFromAgents = true }),
    OTHER_WITHOUT_PEERS({ _, other -> other.cutFromPeers = true }),
    ACTOR_PAUSED({ actor, _ -> actor.pauseProcess(FAULT_SPAN) }),
    ACTOR_RESTARTED({ actor, _ -> actor.crash(RESTART_TIME) }),
    OTHER_RESTARTED({ _, other -> other.crash(RESTART_TIME) }),

    /** Controllers that have not read the latest commit have to load all records again. */
    RECORDS_LOADED_AGAIN({ _, _ -> state.oldestWatchableRevision = state.revision }),

    /** Other controllers act for a moment without having read the latest commits, and then nobody can read or write. */
    OTHERS_READ_LATE_THEN_STORE_OUT({ actor, _ ->
        delayReads { it !== actor }
        after(READ_LATE_SPAN) { state.unavailable = true }
    }),

    /** Every request that is answered from now on is executed once more, from a moment to minutes later. */
    REQUESTS_EXECUTED_AGAIN({ _, _ -> repeatedRequests.rate = EVERY_REQUEST }),

    /** The actor is back within a moment, while its requests of the last minutes are executed once more. */
    ACTOR_RESTARTED_REQUESTS_EXECUTED_AGAIN({ actor, _ ->
        repeatedRequests.returnRate = EVERY_REQUEST
        actor.crash(RESTART_TIME)
    }),
    ;

    /** Whether requests that were carried out and answered are executed again. */
    val repeatsRequests: Boolean get() = this == REQUESTS_EXECUTED_AGAIN || this == ACTOR_RESTARTED_REQUESTS_EXECUTED_AGAIN
}

private fun SimulatedCluster.delayReads(isLate: (SimulatedCluster.Node) -> Boolean) {
    answerDelay = { node, call ->
        val isRead = call.target is Target.State && call.path.startsWith("/follow")
        if (isRead && isLate(node)) READ_DELAY else 0
    }
}

private fun SimulatedCluster.endFaults() {
    state.unavailable = false
    answerDelay = { _, _ -> 0 }
    repeatedRequests.rate = 0
    repeatedRequests.returnRate = 0
    for (node in nodes) {
        node.cutFromState = false
        node.cutFromAgents = false
        node.cutFromPeers = false
    }
    rules.faultsOverAtUs = now
}

/** A pair of a commit and a fault. [number] identifies the pair. */
internal data class FaultPoint(
    val kind: CommitKind,
    val followUp: FollowUp,
    val isBefore: Boolean,
) {
    val number: Int get() = ALL.indexOf(this)

    override fun toString() = "pair $number: $followUp ${if (isBefore) "before" else "after"} $kind"

    companion object {
        /** All pairs; those with repeated requests come last, so that the others keep their numbers. */
        val ALL: List<FaultPoint> = FollowUp.entries.partition { !it.repeatsRequests }.let { (first, last) -> pairs(first) + pairs(last) }

        /** An answer can be lost only after its commit, and a transaction held up only before. */
        private fun pairs(followUps: List<FollowUp>): List<FaultPoint> =
            CommitKind.entries.flatMap { kind ->
                followUps.flatMap { followUp ->
                    val moments =
                        when (followUp) {
                            FollowUp.ANSWER_LOST -> listOf(false)
                            FollowUp.APPLIED_LATE -> listOf(true)
                            else -> listOf(true, false)
                        }
                    moments.map { FaultPoint(kind, followUp, it) }
                }
            }
    }
}

/** Result of playing a [point]: whether the commit was met at all, and the first rules that were broken. */
internal class FaultPointResult(
    val point: FaultPoint,
    val isMet: Boolean,
    val breaches: List<String>,
)

/** Injects the fault of [point] once, at the [occurrence]th commit of its kind from [ARMED_FROM] on. */
private class FaultInjector(
    private val cluster: SimulatedCluster,
    private val point: FaultPoint,
    private var occurrence: Int,
) : StateStoreFaults.Observer {
    var isMet = false
        private set
    private var arrivingKinds = emptySet<CommitKind>()

    override fun delayOf(
        from: SimulatedCluster.Node,
        transaction: Transaction,
    ): Micros? {
        if (isMet) return null
        arrivingKinds = cluster.kindsOf(transaction)
        if (!point.isBefore || !isDue()) return null
        inject(from)
        return APPLY_DELAY.takeIf { point.followUp == FollowUp.APPLIED_LATE }
    }

    override fun isAnswered(
        from: SimulatedCluster.Node,
        transaction: Transaction,
    ): Boolean {
        if (isMet || point.isBefore || !isDue()) return true
        inject(from)
        return point.followUp != FollowUp.ANSWER_LOST
    }

    private fun isDue(): Boolean = point.kind in arrivingKinds && --occurrence <= 0

    private fun inject(actor: SimulatedCluster.Node) {
        isMet = true
        val other = cluster.nodes[(actor.index + 1) % cluster.nodes.size]
        point.followUp.begin(cluster, actor, other)
        cluster.after(FAULT_SPAN + READ_LATE_SPAN) { cluster.endFaults() }
    }
}

/** Plays a day of about two minutes with the fault of [point] at a commit chosen by [seed]. */
internal fun playFaultPoint(
    point: FaultPoint,
    seed: Long,
    controllers: Int = 3,
): FaultPointResult {
    val size = ClusterSize(machines = MACHINES, spotMachines = 0, controllers = controllers)
    val cluster = SimulatedCluster(seed, FaultRates(), size) { Settings.parse(SampleJobs.toml(it, controllers = controllers)) }
    cluster.repeatedRequests.keepsRequests = true
    submitWork(cluster)
    val injector = FaultInjector(cluster, point, occurrence = 1 + Math.floorMod(seed - 1, OCCURRENCES))
    cluster.after(ARMED_FROM) {
        cluster.stateStoreFaults.observer = injector
        cluster.provoke(point.kind)
    }
    cluster.run(DAY_END)
    return FaultPointResult(
        point,
        injector.isMet,
        cluster.rules.breaches
            .distinct()
            .take(3),
    )
}

private fun id(n: Int) = "req-%06d".format(n)

/** Long and short batch jobs, services, cancellations, and gangs that need machines of several controllers. */
private fun submitWork(cluster: SimulatedCluster) {
    (1..MACHINES).forEach { n -> cluster.addUser(SampleJobs.spec(id(n), "blue", 1, cpus = 10.0, estimateS = 900.0), null) }
    cluster.after(40 * SECOND) { (1..SERVICES).forEach { n -> cluster.addUser(SampleJobs.service(100 + n, "blue", 1, 0.1), null) } }
    (1..SHORT_JOBS).forEach { n ->
        val cancelAfterUs = if (n % 4 == 0) 5 * SECOND else null
        val spec = SampleJobs.spec(id(200 + n), "blue", 2, cpus = 0.1, estimateS = 6.0)
        cluster.after(55 * SECOND + n * 2 * SECOND) { cluster.addUser(spec, cancelAfterUs) }
    }
    listOf(60L, 95L).forEachIndexed { n, second ->
        val gang = SampleJobs.spec(id(300 + n), "blue", MACHINES, JobKind.GANG, cpus = 4.0, estimateS = 8.0, spot = false)
        cluster.after(second * SECOND) { cluster.addUser(gang, null) }
    }
}

private fun SimulatedCluster.removeMachines(isChosen: (SimulatedAgent) -> Boolean) =
    agents.values
        .filter(isChosen)
        .take(2)
        .forEach { remove(it.id) }

/** Causes commits of [kind] that the work alone does not bring about. */
private fun SimulatedCluster.provoke(kind: CommitKind) =
    when (kind) {
        CommitKind.SHARD_CLAIM, CommitKind.LEADERSHIP -> leader().crash(10 * SECOND)
        CommitKind.SHARD_TAKEOVER, CommitKind.MACHINE_TAKEOVER -> {
            val isolated = leader()
            isolated.cutFromAgents = true
            isolated.cutFromPeers = kind == CommitKind.SHARD_TAKEOVER
            after(30 * SECOND) { endFaults() }
        }
        CommitKind.BORROWING_END -> after(25 * SECOND) { removeMachines { state.version(Keys.borrow(it.id)) > 0 } }

        CommitKind.MACHINE_LIST, CommitKind.REQUEUE -> removeMachines { rules.tasksOn(it.id).isNotEmpty() }

        CommitKind.TOKEN_RAISE -> {
            messageDelays.delayedCommandRate = 500
            after(20 * SECOND) { messageDelays.delayedCommandRate = 0 }
        }
        else -> Unit
    }

private const val MACHINES = 9
private const val SERVICES = 12
private const val SHORT_JOBS = 30
private const val OCCURRENCES = 3
private const val ARMED_FROM = 58 * SECOND

/** Longer than a lease with its margins. */
private const val FAULT_SPAN = 22 * SECOND
private const val RESTART_TIME = SECOND / 3

/** In thousandths. */
private const val EVERY_REQUEST = 1000
private const val READ_DELAY = 5 * SECOND
private const val READ_LATE_SPAN = 3 * SECOND / 2
private const val APPLY_DELAY = 4 * SECOND
private const val DAY_END = 165 * SECOND
