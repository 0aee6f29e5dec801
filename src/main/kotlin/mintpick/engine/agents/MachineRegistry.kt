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
 * The durable list of machines by partition: adds machines that have reported, marks the ones to be scaled in, and removes
 * those proven to be terminated. What comes within a moment goes in one write, since a cluster that boots or is scaled in
 * in a wave would otherwise use up the writes that jobs need. Event-loop thread only.
 */
class MachineRegistry(
    private val context: EngineContext,
    private val stateStore: StateStoreClient,
    private val shardClaims: ShardClaims,
    private val agents: AgentRegistry,
    private val reconciler: Reconciler,
    formats: RecordFormatNegotiator,
) {
    /** Writes of one partition of the list. */
    private class PartitionWrites {
        /** Whether a transaction is under way. */
        var isInFlight = false

        /** When the next one may be sent; 0 if at once. */
        var nextWriteUs: Micros = 0
    }

    private val transactions = MachineListTransactionBuilder(context, formats)
    private val requests = LinkedHashMap<MachineId, ScaleInRequest>()
    private val partitions = HashMap<Int, PartitionWrites>()
    private var nextTickUs: Micros = 0

    /** The machine list may use this much of the limits; the rest is for jobs. */
    private val writesPerSecond = context.settings.limits.writeRps / (context.settings.peers.size + 1) * WRITE_SHARE
    private val writeBudget = TokenBucket(writesPerSecond, maxOf(2.0, writesPerSecond * 2))

    private val cache get() = context.cache

    /** Marks the listed [machine] as one to be drained, or to be released at once; [reason] goes into the log. */
    fun markForScaleIn(
        machine: MachineId,
        mode: Retiring,
        reason: String,
    ) {
        val current = cache.machines[machine]?.record?.retiring ?: return
        if (current == mode || current == Retiring.NOW || requests[machine]?.isImmediate == true) return
        val request = ScaleInRequest(machine, mode, reason)
        requests[machine] = request
        // What is lost is not to wait for others.
        if (request.isImmediate) writesOf(partitionOf(machine)).nextWriteUs = 0
        nextTickUs = minOf(nextTickUs, context.now + BATCH_DELAY)
    }

    /** Whether [machine] waits to be marked as one to be scaled in. */
    fun hasPendingScaleIn(machine: MachineId): Boolean = machine in requests

    /** Sends the writes that are due. */
    fun tick() {
        if (!stateStore.isServing || !stateStore.isReachable || context.now < nextTickUs) return
        nextTickUs = context.now + TICK_INTERVAL
        // The longest waiting first: otherwise the same few would take all writes while a cluster boots.
        val changes = collectChanges().sortedBy { writesOf(it.partition).nextWriteUs }
        for (change in changes) {
            if (isDue(change) && acquireWrite(change)) write(change)
        }
    }

    private fun writesOf(partition: Int): PartitionWrites = partitions.getOrPut(partition) { PartitionWrites() }

    /** Only its controller judges a machine to be lost: another's silence says nothing. */
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
        // In the order of a HashSet, which decides among partitions that may be written since the same time.
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

    /** Whether the machine is alive and not in the list, or only in a record of an earlier version. */
    private fun shouldBeAdded(view: MachineView): Boolean {
        val known = cache.machines[view.id]
        val isListed = known != null && !known.legacy
        return view.latest != null &&
            !isListed &&
            !reconciler.isTerminated(view.id) &&
            agents.isConfirmed(view) &&
            agents.isFresh(view)
    }

    private fun recordOf(view: MachineView): MachineRecord {
        cache.machines[view.id]?.let { return it.record }
        val report = checkNotNull(view.latest) { "only machines that have reported are added" }
        return MachineRecord(report.type, report.zone, report.spot, report.address)
    }

    private fun isDue(change: MachineListChanges): Boolean {
        val writes = writesOf(change.partition)
        // The list's share of the writes is enough: what places tasks would leave none, and an unlisted machine takes no task.
        val mayWrite = !writes.isInFlight && (change.isUrgent || context.now >= writes.nextWriteUs) && stateStore.mayWrite
        if (!mayWrite) return false
        // Terminated machines harm nobody by being listed: they alone are reason enough only now and then.
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

        /** How long a request waits for others that come with it. */
        const val BATCH_DELAY: Micros = 20 * MILLI

        /** Between two writes of a partition. */
        const val WRITE_INTERVAL: Micros = 800 * MILLI

        /** Part of this controller's writes that the machine list may use. */
        const val WRITE_SHARE = 0.2
        const val RETRY_DELAY: Micros = 200 * MILLI

        /** How long terminated machines wait for other changes to be written with. */
        const val REMOVAL_DELAY: Micros = 3 * SECOND
    }
}
