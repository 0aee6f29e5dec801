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

/** The leader's claim with its lease; null if there is none. */
internal fun SimulatedCluster.leaderClaim(): ClaimRecord? =
    state
        .keys()
        .firstOrNull { it.first == Keys.LEADER }
        ?.let { WireJson.decodeFromString(ClaimRecord.serializer(), it.second) }

/** The controller that leads. */
internal fun SimulatedCluster.leader(): SimulatedCluster.Node = nodes.first { it.settings.node == leaderClaim()?.node }

/** Machines that the record at [key] with value [text] refers to, in any record format. */
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

/** Keys of all records that refer to [machine], in any record format. */
internal fun SimulatedCluster.recordsNaming(machine: String): Set<String> =
    state
        .keys()
        .filter { (key, text) -> machine in key || machine in text || machine in machinesIn(key, text) }
        .mapTo(HashSet()) { it.first }

/** Record of [machine] in the stored machine list; null if it is not listed. */
internal fun SimulatedCluster.listedRecord(machine: String): MachineRecord? =
    state
        .keys()
        .filter { Keys.parse(it.first) is Keys.Subject.MachineList }
        .firstNotNullOfOrNull { RecordCodec.decodeMachineList(WireJson.parseToJsonElement(it.second))[MachineId(machine)] }

/** Tasks that have completed on an agent while [doneCounts] has no completion of their job, considering task 0 of each of [jobs]. */
internal fun SimulatedCluster.unrecordedCompletions(
    jobs: List<JobSpec>,
    doneCounts: Map<String, Int>,
): List<String> = jobs.filter { (doneCounts[it.id] ?: 0) == 0 }.map { "${it.id}/0" }.filter(rules::isCompleted)

/** Checks that the recorded number of done tasks of [job] never decreases; [doneCounts] holds the last numbers seen. */
internal fun SimulatedCluster.checkDoneCount(
    job: JobSpec,
    doneCounts: MutableMap<String, Int>,
) {
    val text = state.keys().firstOrNull { it.first == Keys.job(job.id) }?.second ?: return
    val record = RecordCodec.decodeJob(WireJson.parseToJsonElement(text))
    if (record.spec == null) return
    val doneCount = RecordCodec.job(JobId(job.id), record, 1, emptyMap())?.doneCount ?: return
    if (doneCount < (doneCounts[job.id] ?: 0)) rules.breaches += "went_back: ${job.id} has $doneCount done instead of ${doneCounts[job.id]}"
    doneCounts[job.id] = doneCount
}

/** Partition of a machine within its zone; must equal `ShardDirectory.partition`. */
private fun partitionOf(name: String): Int =
    Math.floorMod(Hashing.murmur3_32_fixed().hashUnencodedChars(name).asInt(), ShardClaims.PARTITIONS)

/** Shard of a machine. The owner of the shard may send commands to the machine. */
internal fun SimulatedCluster.shardOf(agent: SimulatedAgent): Int =
    nodes[0].settings.zones.indexOf(agent.zone) * ShardClaims.PARTITIONS + partitionOf(agent.id)

/** The controller that owns the shard of [machine]; null if nobody has claimed it. */
internal fun SimulatedCluster.ownerOf(machine: SimulatedAgent): SimulatedCluster.Node? {
    val claim = state.keys().toMap()[Keys.shard(shardOf(machine))] ?: return null
    val name = WireJson.decodeFromString(ClaimRecord.serializer(), claim).node
    return nodes.firstOrNull { it.settings.node == name }
}

/** Number of shards owned by [node] that contain machines. */
internal fun SimulatedCluster.occupiedShardCount(node: SimulatedCluster.Node): Int =
    agents.values.map(::shardOf).distinct().count { shard ->
        val claim = state.keys().firstOrNull { it.first == Keys.shard(shard) }?.second
        claim != null && WireJson.decodeFromString(ClaimRecord.serializer(), claim).node == node.settings.node
    }

/** Number of shards owned by [node]. */
internal fun SimulatedCluster.claimedShardCount(node: SimulatedCluster.Node): Int =
    state.keys().count { it.first.startsWith(Keys.shard(0).dropLast(1)) && node.settings.node in it.second }
