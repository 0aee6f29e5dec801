package mintpick.engine

import mintpick.engine.jobs.JobUpdateWriter
import mintpick.engine.jobs.PendingRequests
import mintpick.engine.membership.ShardClaims
import mintpick.engine.runtime.EngineContext
import mintpick.engine.scheduling.UsageAccounting
import mintpick.engine.state.RecordFormatNegotiator
import mintpick.engine.state.StateStoreClient
import mintpick.wire.NodeStatus
import mintpick.wire.StatusLimits

/** Builds the status page of this controller for operators. Event-loop thread only. */
internal class StatusReporter(
    private val context: EngineContext,
    private val stateStore: StateStoreClient,
    private val shardClaims: ShardClaims,
    private val formats: RecordFormatNegotiator,
    private val pendingRequests: PendingRequests,
    private val jobUpdateWriter: JobUpdateWriter,
    private val usageAccounting: UsageAccounting,
) {
    /** The status as of the current step. */
    fun status(): NodeStatus {
        val cache = context.cache
        return NodeStatus(
            node = context.settings.node,
            phase = stateStore.phase.name.lowercase(),
            leader = cache.leader?.node?.text,
            shards = ownShards(),
            borrowed = ownBorrowedMachines(),
            machines = cache.machines.size,
            jobs = cache.jobs.size,
            waitingTasks = cache.jobs.sumOf { it.waitingCount },
            placedTasks = cache.jobs.sumOf { it.placedCount },
            pendingSubmissions = pendingRequests.submissions.size,
            pendingCancellations = pendingRequests.cancellations.size,
            revision = cache.revision,
            use = context.settings.teams.associate { it.name to usageAccounting.usageOf(it.name) },
            stateLatencyMs = stateStore.latencyMs(),
            waitingForPredecessors = cache.dependencies.waitingCount,
            withdrawnJobs = cache.finalizableJobs().count { !it.arePredecessorsDone },
            recordFormat = formats.current.name.lowercase(),
            formatLevels = formats.levels(),
            limits = limits(),
            tooLargeTransactions = stateStore.tooLargeTransactions,
        )
    }

    private fun ownShards(): List<Int> =
        context.cache.claims
            .filterValues(shardClaims::isOwn)
            .keys
            .sorted()

    private fun ownBorrowedMachines(): List<String> =
        context.cache.borrows
            .filterValues(shardClaims::isOwn)
            .keys
            .map { it.text }

    private fun limits() =
        StatusLimits(
            context.settings.limits.writeRps,
            context.settings.limits.rps,
            formats.maxValueBytes.toInt(),
            jobUpdateWriter.limits.maxChanges,
            jobUpdateWriter.limits.maxGuards,
        )
}
