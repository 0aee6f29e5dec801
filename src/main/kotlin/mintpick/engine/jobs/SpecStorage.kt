package mintpick.engine.jobs

import mintpick.core.Job
import mintpick.engine.runtime.EngineContext
import mintpick.engine.state.RecordFormatNegotiator
import mintpick.engine.state.Write
import mintpick.engine.transactions.TransactionLimits
import mintpick.engine.transactions.TransactionPart
import mintpick.store.Keys
import mintpick.store.RecordFormat
import mintpick.store.SpecPieces
import mintpick.wire.Guard

/**
 * Stores specifications that are too large for a job's main record in separate records. Such a specification is split into
 * pieces, all of which are stored before the main record refers to them. Event-loop thread only.
 */
internal class SpecStorage(
    private val context: EngineContext,
    private val formats: RecordFormatNegotiator,
    private val limits: TransactionLimits,
) {
    private val cache get() = context.cache

    /**
     * Builds the next part that is needed to change a job from [before] to [after], with values that the state store accepts
     * where possible:
     * - the part that [build] returns for [after], if its values are small enough;
     * - otherwise the pieces of the specification that are not stored yet;
     * - if all pieces are stored, the part that [build] returns for [after] with a main record that refers to the pieces.
     */
    fun buildWithinValueLimit(
        before: Job,
        after: Job,
        build: (Job) -> TransactionPart,
    ): TransactionPart {
        val part = build(after)
        if (part.valuesFit(formats.maxValueBytes)) return part
        return missingPieces(before) ?: build(withSeparateSpec(after))
    }

    /**
     * Guards that require the pieces of [job] to be unchanged. They prevent a mix with pieces of another submission under the
     * same id.
     */
    fun pieceGuards(job: Job): Set<Guard> =
        (0 until job.specPieceCount).mapTo(LinkedHashSet()) { index ->
            val key = Keys.spec(job.id.text, index)
            Guard(key, cache.version(key))
        }

    /**
     * A part with the missing pieces that one transaction can hold. Null if no piece is missing, or if the specification of
     * [job] can't be moved to separate records.
     */
    private fun missingPieces(job: Job): TransactionPart? {
        if (!isSeparable(job)) return null
        val missing = pieces(job).withIndex().filter { (index, text) -> cache.specPiece(job.id, index) != text }
        if (missing.isEmpty()) return null
        val writes = firstThatFit(missing.map { (index, text) -> Write(Keys.spec(job.id.text, index), SpecPieces.json(text)) })
        // The guard makes a delayed copy of this transaction fail if the job has changed since, or now refers to the pieces.
        return TransactionPart(job.id, setOf(Guard(Keys.job(job.id.text), job.version)), writes)
    }

    /** The first of [writes] that fit into one part: at least one. */
    private fun firstThatFit(writes: List<Write>): List<Write> {
        var bytes = 0
        val fitting =
            writes.take(limits.maxPartChanges).takeWhile { write ->
                bytes += TransactionPart.bytesOf(write)
                bytes <= TransactionLimits.MAX_BYTES
            }
        return fitting.ifEmpty { writes.take(1) }
    }

    private fun withSeparateSpec(job: Job): Job = if (isSeparable(job)) job.with(specPieceCount = pieces(job).size) else job

    /**
     * Whether the specification of [job] can be moved to separate records: it is still in the main record, and the record
     * format is not the oldest one, which does not support separate specifications.
     */
    private fun isSeparable(job: Job): Boolean = job.specPieceCount == 0 && formats.current != RecordFormat.VERBOSE

    private fun pieces(job: Job): List<String> = SpecPieces.split(job.spec, formats.maxValueBytes)
}
