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
 * Specifications that are too large for a main record are stored in separate records: as pieces, all of which are stored
 * before the main record refers to them. Event-loop thread only.
 */
internal class SpecStorage(
    private val context: EngineContext,
    private val formats: RecordFormatNegotiator,
    private val limits: TransactionLimits,
) {
    private val cache get() = context.cache

    /**
     * What to write so that a job becomes [after], built by [build], with values that fit into the state service as far as
     * possible: with its specification where it is if that fits, otherwise the missing pieces of the specification of
     * [before], and once they are stored with a main record that refers to them.
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

    /** The pieces as they are known: another submission of the same id must not mix with them. */
    fun pieceGuards(job: Job): Set<Guard> =
        (0 until job.specPieces).mapTo(LinkedHashSet()) { index ->
            val key = Keys.spec(job.id.text, index)
            Guard(key, cache.version(key))
        }

    /** As many missing pieces as one transaction holds; null if none is missing, or [job] keeps its specification where it is. */
    private fun missingPieces(job: Job): TransactionPart? {
        if (!isSeparable(job)) return null
        val missing = pieces(job).withIndex().filter { (index, text) -> cache.specPiece(job.id, index) != text }
        if (missing.isEmpty()) return null
        val writes = missing.take(limits.maxChanges).map { (index, text) -> Write(Keys.spec(job.id.text, index), SpecPieces.json(text)) }
        // Late copies of these writes fail once the main record refers to the pieces, or the job has changed otherwise.
        return TransactionPart(job.id, setOf(Guard(Keys.job(job.id.text), job.version)), writes)
    }

    private fun withSeparateSpec(job: Job): Job = if (isSeparable(job)) job.with(specPieces = pieces(job).size) else job

    /** The oldest format has no separate specifications. */
    private fun isSeparable(job: Job): Boolean = job.specPieces == 0 && formats.current != RecordFormat.VERBOSE

    private fun pieces(job: Job): List<String> = SpecPieces.split(job.spec, formats.maxValueBytes)
}
