package mintpick.engine.agents

import mintpick.core.MILLI
import mintpick.core.MachineId
import mintpick.core.MachineView
import mintpick.core.Micros
import mintpick.core.SECOND
import mintpick.engine.membership.ShardClaims
import mintpick.engine.runtime.EngineContext
import mintpick.engine.runtime.TokenBucket
import mintpick.engine.state.RecordFormatNegotiator
import mintpick.engine.state.StateStoreClient
import mintpick.store.TransactionResult
import mintpick.wire.MachineRecord
import mintpick.wire.Retiring
import org.slf4j.LoggerFactory

/**
 * Maintains the machine list in the state store, by partition: adds machines that have sent their status, marks machines for
 * scale-in, and removes terminated ones. Changes within a short time are written together. Otherwise a cluster in which many
 * machines boot or are scaled in at once would use up the writes that jobs need. Event-loop thread only.
 */
class MachineRegistry(
    private val context: EngineContext,
    private val stateStore: StateStoreClient,
    private val shardClaims: ShardClaims,
    private val agents: AgentRegistry,
    private val reconciler: Reconciler,
    formats: RecordFormatNegotiator,
) {
    /** Write state of one partition of the list. */
    private class PartitionWrites {
        /** Whether a transaction is in flight. */
        var isInFlight = false

        /** Time from which the next transaction may be sent; 0 if immediately. */
        var nextWriteUs: Micros = 0
    }

    private val transactions = MachineListTransactionBuilder(context, formats)
    private val requests = LinkedHashMap<MachineId, ScaleInRequest>()
    private val partitions = HashMap<Int, PartitionWrites>()
    private var nextTickUs: Micros = 0

    /** The machine list's share of the state store's write limit; the rest is reserved for jobs. */
    private val writesPerSecond = context.settings.limits.writeRps / (context.settings.peers.size + 1) * WRITE_SHARE
    private val writeBudget = TokenBucket(writesPerSecond, maxOf(2.0, writesPerSecond * 2))

    private val cache get() = context.cache

    /** Requests that the listed [machine] is drained or immediately released, depending on [mode]; [reason] is logged. */
    fun markForScaleIn(
        machine: MachineId,
        mode: Retiring,
        reason: String,
    ) {
        val current = cache.machines[machine]?.record?.retiring ?: return
        if (current == mode || current == Retiring.NOW || requests[machine]?.isImmediate == true) return
        val request = ScaleInRequest(machine, mode, reason)
        requests[machine] = request
        // The release of a lost machine must not wait for other changes.
        if (request.isImmediate) writesOf(partitionOf(machine)).nextWriteUs = 0
        nextTickUs = minOf(nextTickUs, context.now + BATCH_DELAY)
    }

    /** Whether a scale-in request for [machine] has not been written yet. */
    fun hasPendingScaleIn(machine: MachineId): Boolean = machine in requests

    /** Sends the writes that are due; must be called in each step. */
    fun tick() {
        if (!stateStore.isServing || !stateStore.isReachable || context.now < nextTickUs) return
        nextTickUs = context.now + TICK_INTERVAL
        // The partition that has waited longest comes first: otherwise a few partitions would use all writes while a cluster boots.
        val changes = collectChanges().sortedBy { writesOf(it.partition).nextWriteUs }
        for (change in changes) {
            if (isDue(change) && acquireWrite(change)) write(change)
        }
    }

    private fun writesOf(partition: Int): PartitionWrites = partitions.getOrPut(partition) { PartitionWrites() }

    /**
     * Drops requests for machines that are no longer listed or are terminated, and immediate releases of machines that this
     * controller no longer controls: only a machine's own controller can tell whether it is lost.
     */
    private fun dropObsoleteRequests() {
        requests.values.removeIf { request ->
            request.machine !in cache.machines ||
                reconciler.isTerminated(request.machine) ||
                (request.isImmediate && !shardClaims.controls(request.machine))
        }
    }

    private fun collectChanges(): List<MachineListChanges> {
        val added = agents.views().filter(::shouldBeAdded).groupBy { partitionOf(it.id) }
        val terminated =
            cache.machines.values
                .filter { reconciler.isTerminated(it.id) && cache.tasksOn(it.id).isEmpty() }
                .groupBy { partitionOf(it.id) }
        dropObsoleteRequests()
        val scaledIn = requests.values.groupBy { partitionOf(it.machine) }
        // A HashSet, because its iteration order decides the order of partitions with equal write times.
        val addedPartitions = added.keys.toCollection(HashSet())
        return (addedPartitions + scaledIn.keys + terminated.keys).map { partition ->
            MachineListChanges(
                partition,
                added[partition].orEmpty().associateTo(HashMap()) { it.id to recordOf(it) },
                scaledIn[partition].orEmpty(),
                terminated[partition].orEmpty(),
            )
        }
    }

    private fun partitionOf(machine: MachineId): Int = shardClaims.partition(machine.text)

    /** Whether the machine is alive and is not in the list; a separate record of an earlier version does not count as listed. */
    private fun shouldBeAdded(view: MachineView): Boolean {
        val known = cache.machines[view.id]
        val isListed = known != null && !known.legacy
        return view.latestStatus != null &&
            !isListed &&
            !reconciler.isTerminated(view.id) &&
            agents.isConfirmed(view) &&
            agents.isFresh(view)
    }

    private fun recordOf(view: MachineView): MachineRecord {
        cache.machines[view.id]?.let { return it.record }
        val report = checkNotNull(view.latestStatus) { "machine ${view.id.text} has not sent its status" }
        return MachineRecord(report.type, report.zone, report.spot, report.address)
    }

    private fun isDue(change: MachineListChanges): Boolean {
        val writes = writesOf(change.partition)
        // The list has its own share of the writes, because job writes would use up a common budget, and no task can be placed on
        // a machine that is not listed.
        val mayWrite = !writes.isInFlight && (change.isUrgent || context.now >= writes.nextWriteUs) && stateStore.mayWrite
        if (!mayWrite) return false
        // Listed terminated machines do no harm, so removals alone are written less often.
        return !change.onlyRemoves || context.now >= writes.nextWriteUs + REMOVAL_DELAY
    }

    private fun acquireWrite(change: MachineListChanges): Boolean {
        if (!change.isUrgent) return writeBudget.take(context.now, 1.0)
        writeBudget.charge(context.now, 1.0)
        return true
    }

    private fun write(change: MachineListChanges) {
        val writes = writesOf(change.partition)
        val transaction = transactions.build(change)
        writes.nextWriteUs = context.now + WRITE_INTERVAL
        if (transaction == null) return
        writes.isInFlight = true
        writeBudget.charge(context.now, (transaction.writes.size - 1).toDouble())
        stateStore.transact(transaction.guards, transaction.writes) { result ->
            writes.isInFlight = false
            if (result is TransactionResult.Committed) {
                transaction.appliedRequests.forEach(::onRequestCommitted)
            } else {
                writes.nextWriteUs = context.now + RETRY_DELAY
                stateStore.afterCatchUp { }
            }
        }
    }

    private fun onRequestCommitted(request: ScaleInRequest) {
        val machine = request.machine
        requests.remove(machine, request)
        val type = cache.machines[machine]?.record?.type
        LOG.info("scale in machine={} type={} mode={} reason={}", machine.text, type, request.mode, request.reason)
    }

    private companion object {
        val LOG = LoggerFactory.getLogger(MachineRegistry::class.java)
        const val TICK_INTERVAL: Micros = 400 * MILLI

        /** How long a scale-in request waits for others to be written with it. */
        const val BATCH_DELAY: Micros = 20 * MILLI

        /** Minimum time between two writes of a partition. */
        const val WRITE_INTERVAL: Micros = 800 * MILLI

        /** Fraction of this controller's writes that the machine list may use. */
        const val WRITE_SHARE = 0.2
        const val RETRY_DELAY: Micros = 200 * MILLI

        /** How long the removal of terminated machines waits for other changes to be written with it. */
        const val REMOVAL_DELAY: Micros = 3 * SECOND
    }
}
