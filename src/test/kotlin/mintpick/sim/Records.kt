package mintpick.sim

import mintpick.core.JobId
import mintpick.store.Keys
import mintpick.store.RecordCodec
import mintpick.wire.ClaimRecord
import mintpick.wire.JobSpec
import mintpick.wire.WireJson

/** Who leads, with the lease that the claim hangs on. */
internal fun World.leadership(): ClaimRecord? =
    state
        .keys()
        .firstOrNull { it.first == Keys.LEADER }
        ?.let { WireJson.decodeFromString(ClaimRecord.serializer(), it.second) }

/** The controller that leads. */
internal fun World.leader(): World.Node = nodes.first { it.settings.node == leadership()?.node }

/** Tasks that have completed while the records count none of their jobs as done. */
internal fun World.unwritten(
    jobs: List<JobSpec>,
    done: Map<String, Int>,
): List<String> = jobs.filter { (done[it.id] ?: 0) == 0 }.map { "${it.id}/0" }.filter(rules::isCompleted)

/** What the records show as done never becomes less. */
internal fun World.checkRecord(
    job: JobSpec,
    done: MutableMap<String, Int>,
) {
    val text = state.keys().firstOrNull { it.first == Keys.job(job.id) }?.second ?: return
    val record = RecordCodec.decodeJob(WireJson.parseToJsonElement(text))
    if (record.spec == null) return
    val now = RecordCodec.job(JobId(job.id), record, 1, emptyMap())?.done ?: return
    if (now < (done[job.id] ?: 0)) rules.breaches += "went_back: ${job.id} has $now done instead of ${done[job.id]}"
    done[job.id] = now
}

/** Shards that [node] claims. */
internal fun World.claimsOf(node: World.Node): Int =
    state.keys().count { it.first.startsWith(Keys.shard(0).dropLast(1)) && node.settings.node in it.second }
