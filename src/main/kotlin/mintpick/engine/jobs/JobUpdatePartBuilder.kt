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

/** Builds the guards and writes that store drafts of job updates. Sends nothing. Event-loop thread only. */
internal class JobUpdatePartBuilder(
    context: EngineContext,
    private val formats: RecordFormatNegotiator,
    private val specStorage: SpecStorage,
    private val pendingRequests: PendingRequests,
) {
    /** Teams with a limit: their placements raise a reservation. */
    private val limitedTeams: Set<String> =
        context.settings.teams
            .filter { it.cpusMax > 0 || it.gpusMax > 0 }
            .mapTo(HashSet()) { it.name }

    /** What stores [draft], or pieces of its specification if they have to be stored before it. */
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
        // Once the main record refers to the pieces nobody writes them any more.
        if (job.specPieces != draft.before.specPieces) guards += specStorage.pieceGuards(job)
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
        } else if (MAIN_CHUNK in changedChunks || job.stage != draft.before.stage) {
            writes += Write(key, RecordCodec.jobJson(job, formats.current))
        }
        for (index in changedChunks) {
            if (index != MAIN_CHUNK) writes += chunkWrite(job, index, isFinal = finalStage != null)
        }
        return writes
    }

    private fun chunkWrite(
        job: Job,
        index: Int,
        isFinal: Boolean,
    ): Write {
        val value = if (isFinal) null else RecordCodec.chunkJson(job.chunk(index), formats.current)
        return Write(Keys.chunk(job.id.text, index), value)
    }

    /** How [job] has ended; null if it goes on. */
    private fun finalStage(
        draft: JobUpdate,
        job: Job,
    ): StoredStage? {
        val isDone = job.stage == StoredStage.OPEN && job.done == job.spec.tasks
        val isCancelled = job.stage == StoredStage.CANCELLED && job.placed == 0 && seesAllPlacements(draft)
        return when {
            isDone -> StoredStage.DONE
            isCancelled -> StoredStage.CANCELLED
            else -> null
        }
    }

    /**
     * Placements of one chunk do not conflict with changes of another, so a cancellation may be planned before one of them is
     * known. Once it is stored, no more can be placed, and what was placed before it is known with it.
     */
    private fun seesAllPlacements(draft: JobUpdate): Boolean = draft.before.chunkCount == 1 || draft.before.stage == StoredStage.CANCELLED

    private fun listener(job: Job): TransactionListener =
        if (job.stage == StoredStage.CANCELLED) pendingRequests.cancellationListener(job.id) else TransactionListener.None

    private companion object {
        /** The chunk that is part of the job's main record. */
        const val MAIN_CHUNK = 0
    }
}
