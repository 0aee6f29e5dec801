package mintpick.engine.cache

import kotlinx.serialization.json.JsonElement
import mintpick.core.Chunk
import mintpick.core.Job
import mintpick.core.JobId
import mintpick.core.JobMemory
import mintpick.dependencies.DependencyGraph
import mintpick.dependencies.PredecessorState
import mintpick.dependencies.Readiness
import mintpick.store.RecordCodec
import mintpick.wire.JobRecord
import mintpick.wire.StoredStage

/**
 * Jobs, as described by their records and by those of their predecessors. Their placements are indexed in [placements]. The
 * `apply` functions throw [IllegalArgumentException] for an unreadable record.
 */
internal class JobCache(
    private val placements: PlacementIndex,
) {
    /** A main record that was received before all pieces of its specification. */
    private class IncompleteJob(
        val record: JobRecord,
        val version: Long,
    )

    private val jobsById = HashMap<JobId, Job>()
    private val finalJobs = FinalJobCache()
    private val incompleteJobs = HashMap<JobId, IncompleteJob>()
    private val waitingIds = LinkedHashSet<JobId>()
    private val finalizableIds = LinkedHashSet<JobId>()

    /** Pieces of specifications that are stored separately. */
    val specPieces = SpecPieceCache()

    /** Dependencies between jobs, with the readiness that follows from the records of predecessors. */
    val dependencies = DependencyGraph()

    /** Estimated bytes of the jobs without their dependencies, and of specifications whose jobs are not known. */
    val estimatedBytes: Long get() = jobBytes + specPieces.textBytes + dependencies.edgeCount * JobMemory.EDGE_BYTES.toLong()
    private var jobBytes = 0L

    /** Number of open jobs whose separately stored specifications are not known completely. */
    val incompleteCount: Int get() = incompleteJobs.size

    /** Jobs that are not in a final stage. */
    val jobs: Collection<Job> get() = jobsById.values

    /** The job [id]; null if it is in a final stage, or if it is unknown. */
    fun job(id: JobId): Job? = jobsById[id]

    /** The job [id] if it is in a final stage. */
    fun finalJob(id: JobId): FinalJob? = finalJobs[id]

    /** Jobs with tasks to place, in the order in which the cache first saw them waiting. */
    fun waitingJobs(): List<Job> = waitingIds.mapNotNull { jobsById[it] }

    /** Ids of the cancelled jobs that still have placed tasks. */
    fun cancelledJobs(): List<String> {
        val cancelled = jobsById.values.filter { it.stage == StoredStage.CANCELLED && it.id !in finalizableIds }
        return cancelled.map { it.id.text }
    }

    /** Jobs that have ended but whose final records have not been written yet; see [LocalCache.finalizableJobs]. */
    fun finalizableJobs(): Sequence<Job> = finalizableIds.asSequence().mapNotNull { jobsById[it] }

    /** Applies a write of the main record of [id], or its deletion if [value] is null. */
    fun applyJob(
        id: JobId,
        value: JsonElement?,
        version: Long,
    ) {
        val record = value?.let(RecordCodec::decodeJob)
        when {
            record == null -> remove(id)
            record.isFinal -> applyFinal(id, record)
            else -> applyOpen(id, record, version)
        }
    }

    private fun remove(id: JobId) {
        incompleteJobs.remove(id)
        replace(id, null)
        dependencies.remove(id)
    }

    private fun applyFinal(
        id: JobId,
        record: JobRecord,
    ) {
        finalJobs.put(id, FinalJob(record.stage, record.tasks))
        remove(id)
        updateSuccessors(id, record.stage)
    }

    private fun applyOpen(
        id: JobId,
        record: JobRecord,
        version: Long,
    ) {
        val before = jobsById[id]
        val spec = before?.spec ?: specPieces.join(id, record.specPieces ?: 0)
        val stored = RecordCodec.job(id, record, version, before?.let(::furtherChunks).orEmpty(), spec)
        if (stored == null) {
            incompleteJobs[id] = IncompleteJob(record, version)
            return
        }
        incompleteJobs.remove(id)
        if (stored.specPieceCount > 0) specPieces.releaseTexts(id)
        val job = withReadiness(stored)
        replace(id, job)
        if (job.stage == StoredStage.CANCELLED) updateSuccessors(id, StoredStage.CANCELLED)
    }

    /** Chunks stored in records of their own, which the main record does not contain. */
    private fun furtherChunks(job: Job): Map<Int, Chunk> =
        (1 until job.chunkCount).associateWith { job.chunk(it) }.filterValues { it.version > 0 }

    /** Applies a write of a piece of [id]'s specification, or its deletion if [value] is null. */
    fun applySpec(
        id: JobId,
        piece: Int,
        value: JsonElement?,
    ) {
        specPieces.apply(id, piece, value)
        val incomplete = incompleteJobs[id] ?: return
        applyOpen(id, incomplete.record, incomplete.version)
    }

    /** Applies a write of chunk [index] of the known job [id]. Deletions are ignored, since the job becomes final with them. */
    fun applyChunk(
        id: JobId,
        index: Int,
        value: JsonElement?,
        version: Long,
    ) {
        if (value == null) return
        val record = RecordCodec.decodeChunk(value)
        val job = jobsById[id] ?: return
        if (index >= job.chunkCount) return
        val chunk = RecordCodec.chunk(record, job.chunkSize(index), version)
        replace(id, job.withChunk(index, chunk))
    }

    /** The job [stored], updated with the readiness that follows from its predecessors' records. */
    private fun withReadiness(stored: Job): Job =
        when (dependencies.add(stored.id, stored.spec.predecessors.orEmpty(), ::predecessorState)) {
            Readiness.READY -> stored
            Readiness.WAITING -> stored.with(arePredecessorsDone = false)
            Readiness.CANCELLED -> stored.with(stage = StoredStage.CANCELLED, arePredecessorsDone = false)
        }

    private fun predecessorState(id: JobId): PredecessorState =
        when (finalJob(id)?.stage ?: jobsById[id]?.stage) {
            StoredStage.DONE -> PredecessorState.DONE
            StoredStage.CANCELLED -> PredecessorState.CANCELLED
            else -> PredecessorState.PENDING
        }

    /** Releases successors of [id] if [stage] is done, or cancels them if it is cancelled. */
    private fun updateSuccessors(
        id: JobId,
        stage: StoredStage,
    ) {
        if (stage == StoredStage.DONE) {
            for (successor in dependencies.markDone(id)) {
                jobsById[successor]?.let { replace(successor, it.with(arePredecessorsDone = true)) }
            }
        } else {
            for (successor in dependencies.markCancelled(id)) {
                jobsById[successor]?.let { replace(successor, it.with(stage = StoredStage.CANCELLED)) }
            }
        }
    }

    private fun replace(
        id: JobId,
        after: Job?,
    ) {
        val before = jobsById[id]
        before?.let(placements::remove)
        after?.let(placements::add)
        countBytes(before, after)
        if (after == null) {
            jobsById.remove(id)
        } else {
            jobsById[id] = after
        }
        updateMembership(finalizableIds, id, after != null && hasEnded(after))
        updateMembership(waitingIds, id, after != null && after.waitingCount > 0)
    }

    /** Counts a job when it is added or removed; its specification never changes in between. */
    private fun countBytes(
        before: Job?,
        after: Job?,
    ) {
        if (before == null && after != null) jobBytes += JobMemory.openJobBytes(after.spec)
        if (before != null && after == null) jobBytes -= JobMemory.openJobBytes(before.spec)
    }

    private fun hasEnded(job: Job): Boolean =
        when (job.stage) {
            StoredStage.OPEN -> job.doneCount == job.spec.tasks
            else -> job.placedCount == 0
        }

    private fun updateMembership(
        ids: MutableSet<JobId>,
        id: JobId,
        isMember: Boolean,
    ) {
        if (isMember) {
            ids += id
        } else {
            ids -= id
        }
    }
}
