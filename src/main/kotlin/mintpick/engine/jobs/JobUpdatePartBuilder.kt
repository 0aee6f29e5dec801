package mintpick.engine.jobs

import mintpick.core.Job
import mintpick.core.demand
import mintpick.engine.runtime.EngineContext
import mintpick.engine.state.RecordFormatNegotiator
import mintpick.engine.state.Write
import mintpick.engine.transactions.JobUpdate
import mintpick.engine.transactions.MachineDemand
import mintpick.engine.transactions.TransactionListener
import mintpick.engine.transactions.TransactionPart
import mintpick.store.Keys
import mintpick.store.RecordCodec
import mintpick.wire.Guard
import mintpick.wire.StoredStage

/** Builds the transaction parts that store drafts of job updates. Event-loop thread only. */
internal class JobUpdatePartBuilder(
    private val context: EngineContext,
    private val formats: RecordFormatNegotiator,
    private val specStorage: SpecStorage,
    private val pendingRequests: PendingRequests,
) {
    /** Teams with a limit. Placements of these teams raise the team's reservation. */
    private val limitedTeams: Set<String> =
        context.settings.teams
            .filter { it.cpusMax > 0 || it.gpusMax > 0 }
            .mapTo(HashSet()) { it.name }

    /** A part that stores [draft], or pieces of the job's specification if they must be stored first. */
    fun build(draft: JobUpdate): TransactionPart = specStorage.buildWithinValueLimit(draft.before, draft.job) { job -> partOf(draft, job) }

    private fun partOf(
        draft: JobUpdate,
        job: Job,
    ): TransactionPart {
        val changedChunks = draft.changedChunks
        return TransactionPart(
            job = job.id,
            guards = guards(draft, job, changedChunks),
            writes = writes(draft, job, changedChunks),
            placementDemands = draft.placed.map { MachineDemand(it.machine, job.spec.demand) },
            requeued = draft.requeued,
            limitedTeam = job.spec.team.takeIf { it in limitedTeams && draft.placed.isNotEmpty() },
            listener = listener(job),
        )
    }

    private fun guards(
        draft: JobUpdate,
        job: Job,
        changedChunks: Set<Int>,
    ): Set<Guard> {
        val guards = LinkedHashSet<Guard>()
        guards += Guard(Keys.job(job.id.text), draft.before.version)
        // Pieces are guarded only in the transaction that makes the main record refer to them: they never change after it.
        if (job.specPieceCount != draft.before.specPieceCount) guards += specStorage.pieceGuards(job)
        for (index in changedChunks) {
            if (index != MAIN_CHUNK) guards += Guard(Keys.chunk(job.id.text, index), draft.before.chunk(index).version)
        }
        guards += draft.guards
        return guards
    }

    private fun writes(
        draft: JobUpdate,
        job: Job,
        changedChunks: Set<Int>,
    ): List<Write> {
        val writes = ArrayList<Write>()
        val finalStage = finalStage(draft, job)
        val key = Keys.job(job.id.text)
        if (finalStage != null) {
            writes += Write(key, RecordCodec.finalJson(finalStage, job.spec.tasks))
        } else if (MAIN_CHUNK in changedChunks || job.stage != draft.before.stage || conflictsWithOtherPlacements(draft)) {
            writes += Write(key, RecordCodec.jobJson(job, formats.current))
        }
        for (index in changedChunks) {
            if (index != MAIN_CHUNK) writes += chunkWrite(job, index, isFinal = finalStage != null)
        }
        return writes
    }

    /**
     * Whether the main record must be written so that [draft] conflicts with placements in other chunks: each zone rule depends on the
     * placements of all tasks, and changes of different chunks do not conflict by themselves.
     */
    private fun conflictsWithOtherPlacements(draft: JobUpdate): Boolean {
        val spec = draft.before.spec
        return draft.placed.isNotEmpty() && draft.before.chunkCount > 1 && (spec.spread || spec.oneZone)
    }

    private fun chunkWrite(
        job: Job,
        index: Int,
        isFinal: Boolean,
    ): Write {
        val value = if (isFinal) null else RecordCodec.chunkJson(job.chunk(index), formats.current)
        return Write(Keys.chunk(job.id.text, index), value)
    }

    /** The final stage of [job]; null if it has not ended. */
    private fun finalStage(
        draft: JobUpdate,
        job: Job,
    ): StoredStage? {
        val isDone = job.stage == StoredStage.OPEN && job.doneCount == job.spec.tasks
        val isCancelled = job.stage == StoredStage.CANCELLED && job.placedCount == 0 && seesAllPlacements(draft)
        return when {
            isDone -> StoredStage.DONE
            isCancelled -> StoredStage.CANCELLED
            else -> null
        }
    }

    /**
     * Whether [draft] was planned with all placements of the job known. Placements in one chunk don't conflict with changes
     * in another, so a cancellation may be planned before the cache shows all of them. After the cancellation is stored no
     * further task can be placed, and a cache that has read all changes up to the cancellation also shows all earlier placements. The
     * canceller's cache shows its own write before that.
     */
    private fun seesAllPlacements(draft: JobUpdate): Boolean =
        draft.before.chunkCount == 1 || (draft.before.stage == StoredStage.CANCELLED && context.cache.hasReadUpTo(draft.before.version))

    private fun listener(job: Job): TransactionListener =
        if (job.stage == StoredStage.CANCELLED) pendingRequests.cancellationListener(job.id) else TransactionListener.None

    private companion object {
        /** The chunk that is part of the job's main record. */
        const val MAIN_CHUNK = 0
    }
}
