package mintpick.testing

import mintpick.core.JobId
import mintpick.store.Keys
import mintpick.store.RecordCodec
import mintpick.wire.Change
import mintpick.wire.ClaimRecord
import mintpick.wire.JobRecord
import mintpick.wire.StoredStage
import mintpick.wire.Transaction
import mintpick.wire.WireJson

/** What a transaction of a controller does. */
internal enum class CommitKind {
    SHARD_CLAIM,
    SHARD_TAKEOVER,
    TOKEN_RAISE,
    BORROWING,
    MACHINE_TAKEOVER,
    BORROWING_END,
    LEADERSHIP,
    MACHINE_LIST,
    PLACEMENT,
    REQUEUE,
    JOB_END,
    CANCELLATION,
}

/** The kinds of [transaction], which is about to be executed. */
internal fun SimulatedCluster.kindsOf(transaction: Transaction): Set<CommitKind> {
    val before = state.keys().toMap()
    return transaction.changes.flatMapTo(HashSet()) { kindsOf(it, before) }
}

private fun SimulatedCluster.kindsOf(
    change: Change,
    before: Map<String, String>,
): Collection<CommitKind> {
    val key = change.put ?: change.delete ?: return emptyList()
    val earlier = before[key]
    val later = change.value?.toString()
    return when (val subject = Keys.parse(key)) {
        is Keys.Subject.Shard -> listOf(shardClaimKind(earlier, later))
        is Keys.Subject.Borrow -> listOf(borrowClaimKind(earlier, later))
        Keys.Subject.Leader -> listOf(CommitKind.LEADERSHIP)
        is Keys.Subject.MachineList -> listOf(CommitKind.MACHINE_LIST)
        is Keys.Subject.Job -> if (earlier == null || later == null) emptyList() else jobKinds(subject.id, earlier, later)
        else -> emptyList()
    }
}

private fun controllerIn(claim: String?): String? = claim?.let { WireJson.decodeFromString(ClaimRecord.serializer(), it).node }

private fun shardClaimKind(
    earlier: String?,
    later: String?,
): CommitKind =
    when (controllerIn(earlier)) {
        null -> CommitKind.SHARD_CLAIM
        controllerIn(later) -> CommitKind.TOKEN_RAISE
        else -> CommitKind.SHARD_TAKEOVER
    }

private fun SimulatedCluster.borrowClaimKind(
    earlier: String?,
    later: String?,
): CommitKind {
    val controller = controllerIn(later) ?: return CommitKind.BORROWING_END
    return when {
        controllerIn(earlier) == controller -> CommitKind.TOKEN_RAISE
        controller == leaderClaim()?.node -> CommitKind.BORROWING
        else -> CommitKind.MACHINE_TAKEOVER
    }
}

private fun jobKinds(
    id: String,
    earlier: String,
    later: String,
): List<CommitKind> {
    val before = RecordCodec.decodeJob(WireJson.parseToJsonElement(earlier))
    val after = RecordCodec.decodeJob(WireJson.parseToJsonElement(later))
    val kinds = ArrayList<CommitKind>()
    if (after.stage == StoredStage.CANCELLED && before.stage != StoredStage.CANCELLED) kinds += CommitKind.CANCELLATION
    if (after.stage == StoredStage.DONE) kinds += CommitKind.JOB_END
    if (!after.isFinal && !before.isFinal) kinds += taskKinds(id, before, after)
    return kinds
}

private fun taskKinds(
    id: String,
    before: JobRecord,
    after: JobRecord,
): List<CommitKind> {
    val jobBefore = RecordCodec.job(JobId(id), before, 1, emptyMap()) ?: return emptyList()
    val jobAfter = RecordCodec.job(JobId(id), after, 1, emptyMap()) ?: return emptyList()
    val placedBefore = jobBefore.chunk(0).placed
    val placedAfter = jobAfter.chunk(0).placed
    val kinds = ArrayList<CommitKind>()
    if (placedAfter.any { (task, placement) -> placedBefore[task] != placement }) kinds += CommitKind.PLACEMENT
    val left = placedBefore.count { (task, placement) -> placedAfter[task] != placement }
    if (left > jobAfter.doneCount - jobBefore.doneCount) kinds += CommitKind.REQUEUE
    return kinds
}
