package mintpick.testing

import com.google.common.hash.Hashing
import mintpick.core.Chunk
import mintpick.core.Job
import mintpick.core.JobId
import mintpick.core.MachineId
import mintpick.engine.membership.ShardClaims
import mintpick.store.Keys
import mintpick.store.RecordCodec
import mintpick.wire.ClaimRecord
import mintpick.wire.JobSpec
import mintpick.wire.MachineRecord
import mintpick.wire.WireJson

/** Who leads, with the lease that the claim hangs on. */
internal fun SimulatedCluster.leadership(): ClaimRecord? =
    state
        .keys()
        .firstOrNull { it.first == Keys.LEADER }
        ?.let { WireJson.decodeFromString(ClaimRecord.serializer(), it.second) }

/** The controller that leads. */
internal fun SimulatedCluster.leader(): SimulatedCluster.Node = nodes.first { it.settings.node == leadership()?.node }

/** Machines that the record at [key] names, in whichever format it is written. */
internal fun SimulatedCluster.machinesIn(
    key: String,
    text: String,
): Set<String> {
    val value = WireJson.parseToJsonElement(text)
    return when (val subject = Keys.parse(key)) {
        is Keys.Subject.MachineList -> RecordCodec.decodeMachineList(value).keys.mapTo(HashSet()) { it.text }
        is Keys.Subject.Job ->
            RecordCodec
                .job(JobId(subject.id), RecordCodec.decodeJob(value), 1, emptyMap())
                ?.let { machinesOf(it.chunk(0)) }
                .orEmpty()
        is Keys.Subject.Chunk -> {
            val tasks = rules.spec(subject.id)?.tasks ?: return emptySet()
            val size = minOf(Job.TASKS_PER_CHUNK, tasks - subject.index * Job.TASKS_PER_CHUNK)
            machinesOf(RecordCodec.chunk(RecordCodec.decodeChunk(value), size, 1))
        }
        is Keys.Subject.Borrow -> setOf(subject.machine)
        is Keys.Subject.Machine -> setOf(subject.machine)
        else -> emptySet()
    }
}

private fun machinesOf(chunk: Chunk): Set<String> = chunk.placed.values.mapTo(HashSet()) { it.machine.text }

/** Keys of all records that name [machine], in whichever format they are written. */
internal fun SimulatedCluster.recordsNaming(machine: String): Set<String> =
    state
        .keys()
        .filter { (key, text) -> machine in key || machine in text || machine in machinesIn(key, text) }
        .mapTo(HashSet()) { it.first }

/** What the list of machines says of [machine]; null if it is not listed. */
internal fun SimulatedCluster.listed(machine: String): MachineRecord? =
    state
        .keys()
        .filter { Keys.parse(it.first) is Keys.Subject.MachineList }
        .firstNotNullOfOrNull { RecordCodec.decodeMachineList(WireJson.parseToJsonElement(it.second))[MachineId(machine)] }

/** Tasks that have completed while the records count none of their jobs as done. */
internal fun SimulatedCluster.unwritten(
    jobs: List<JobSpec>,
    done: Map<String, Int>,
): List<String> = jobs.filter { (done[it.id] ?: 0) == 0 }.map { "${it.id}/0" }.filter(rules::isCompleted)

/** What the records show as done never becomes less. */
internal fun SimulatedCluster.checkRecord(
    job: JobSpec,
    done: MutableMap<String, Int>,
) {
    val text = state.keys().firstOrNull { it.first == Keys.job(job.id) }?.second ?: return
    val record = RecordCodec.decodeJob(WireJson.parseToJsonElement(text))
    if (record.spec == null) return
    val now = RecordCodec.job(JobId(job.id), record, 1, emptyMap())?.doneCount ?: return
    if (now < (done[job.id] ?: 0)) rules.breaches += "went_back: ${job.id} has $now done instead of ${done[job.id]}"
    done[job.id] = now
}

/** As `Ownership.part` works it out. */
private fun part(name: String): Int = Math.floorMod(Hashing.murmur3_32_fixed().hashUnencodedChars(name).asInt(), ShardClaims.PARTITIONS)

/** The shard of a machine, whose claim gives the right to command it. */
internal fun SimulatedCluster.shardOf(worker: SimulatedAgent): Int =
    nodes[0].settings.zones.indexOf(worker.zone) * ShardClaims.PARTITIONS + part(worker.id)

/** Shards with machines in them that [node] claims. */
internal fun SimulatedCluster.shardsInUse(node: SimulatedCluster.Node): Int =
    workers.values.map(::shardOf).distinct().count { shard ->
        val claim = state.keys().firstOrNull { it.first == Keys.shard(shard) }?.second
        claim != null && WireJson.decodeFromString(ClaimRecord.serializer(), claim).node == node.settings.node
    }

/** Shards that [node] claims. */
internal fun SimulatedCluster.claimsOf(node: SimulatedCluster.Node): Int =
    state.keys().count { it.first.startsWith(Keys.shard(0).dropLast(1)) && node.settings.node in it.second }
