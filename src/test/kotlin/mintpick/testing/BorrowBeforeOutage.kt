package mintpick.testing

import mintpick.core.Micros
import mintpick.core.SECOND
import mintpick.net.Call
import mintpick.net.Target
import mintpick.store.Keys
import mintpick.wire.JobKind
import mintpick.wire.Transaction

/**
 * The leader borrows machines of other controllers. Reads of the owner of one of their shards are late from that commit on, and the
 * state store is out from the next claim [endingClaim] on, until the leases of the machines could have expired.
 */
internal class BorrowBeforeOutage(
    seed: Long,
    private val endingClaim: EndingClaim = EndingClaim.OF_OWNER,
) {
    /** The claim in whose moment the outage begins. */
    enum class EndingClaim(
        /** Duration of the outage. */
        val outageUs: Micros,
    ) {
        /** The owner of the shard claims the shard, whether or not that succeeds. */
        OF_OWNER(40 * SECOND),

        /** The leader raises its token for a borrowed machine, which its direct commands no longer reach. */
        OF_LEADER(24 * SECOND),
    }

    val cluster = SimulatedCluster(seed, FaultRates(), ClusterSize(machines = MACHINES, spotMachines = 0)) { SampleJobs.settings(it) }

    /** The owner of the shard; null until a machine of its shards that runs a service is borrowed. */
    var owner: SimulatedCluster.Node? = null
        private set

    /** The leader, which borrowed the machines of [owner]; null before. */
    var borrower: SimulatedCluster.Node? = null
        private set
    private val borrowed = HashSet<SimulatedAgent>()

    /** When the outage began because of the claim [endingClaim]; null if that claim was not attempted. */
    var outageByClaimUs: Long? = null
        private set
    private var isOut = false

    /** Plays the day up to some time after the outage. */
    fun play() {
        (1..MACHINES).forEach { n -> cluster.addUser(SampleJobs.spec(id(n), "blue", 1, cpus = 10.0, estimateS = 900.0), null) }
        cluster.run(45 * SECOND)
        (1..SERVICES).forEach { n -> cluster.addUser(SampleJobs.service(FIRST_SERVICE + n, "blue", 1, 0.1), null) }
        cluster.run(60 * SECOND)
        cluster.state.onTransaction = { transaction, isCommitted -> if (isCommitted && owner == null) onCommitted(transaction) }
        val gang = SampleJobs.spec(id(50), "blue", MACHINES, JobKind.GANG, cpus = 4.0, estimateS = 900.0, spot = false)
        cluster.addUser(gang, null)
        cluster.run(150 * SECOND)
    }

    private fun onCommitted(transaction: Transaction) {
        val leader = cluster.leader()
        val machines = transaction.changes.mapNotNull { borrowedMachine(it.put) }
        val node = machines.filter(::hasService).mapNotNull(cluster::ownerOf).firstOrNull { it !== leader } ?: return
        owner = node
        borrower = leader
        borrowed += machines.filter { cluster.ownerOf(it) === node }
        cluster.answerDelay = { from, call -> if (from === node && isRead(call)) LATE else 0 }
        cluster.state.onTransaction = { next, isCommitted -> if (isEndingClaim(next, isCommitted, leader)) onEndingClaim(leader) }
        // Without such a claim there is nothing to wait for.
        cluster.after(MAX_WAIT) { startOutage() }
    }

    private fun isEndingClaim(
        transaction: Transaction,
        isCommitted: Boolean,
        leader: SimulatedCluster.Node,
    ): Boolean =
        when (endingClaim) {
            EndingClaim.OF_OWNER -> transaction.claims(borrowed.map { Keys.shard(cluster.shardOf(it)) }, requireNotNull(owner))
            EndingClaim.OF_LEADER -> isCommitted && transaction.claims(borrowed.map { Keys.borrow(it.id) }, leader)
        }

    private fun Transaction.claims(
        keys: Collection<String>,
        node: SimulatedCluster.Node,
    ): Boolean = changes.any { it.put in keys && node.settings.node in it.value.toString() }

    private fun onEndingClaim(leader: SimulatedCluster.Node) {
        if (isOut) return
        outageByClaimUs = cluster.now
        if (endingClaim == EndingClaim.OF_LEADER) cutFromBorrowed(leader)
        startOutage()
    }

    private fun cutFromBorrowed(leader: SimulatedCluster.Node) {
        val addresses = borrowed.mapTo(HashSet()) { it.address }
        cluster.linkDelay = { from, call -> if (from === leader && call.target.address in addresses) LATE else 0 }
    }

    private fun startOutage() {
        if (isOut) return
        isOut = true
        cluster.state.unavailable = true
        cluster.answerDelay = { _, _ -> 0 }
        cluster.after(endingClaim.outageUs) {
            cluster.state.unavailable = false
            cluster.linkDelay = { _, _ -> 0 }
            cluster.rules.faultsOverAtUs = cluster.now
        }
    }

    private fun hasService(machine: SimulatedAgent) = cluster.rules.tasksOn(machine.id).any { it > id(FIRST_SERVICE) }

    private fun borrowedMachine(key: String?): SimulatedAgent? =
        (key?.let(Keys::parse) as? Keys.Subject.Borrow)?.let { cluster.agents[it.machine] }

    private fun isRead(call: Call) = call.target is Target.State && call.path.startsWith("/follow")

    private companion object {
        const val MACHINES = 9
        const val SERVICES = 18
        const val FIRST_SERVICE = 100
        const val LATE = 60 * SECOND
        const val MAX_WAIT = 3 * SECOND

        fun id(n: Int) = "req-%06d".format(n)
    }
}
