package mintpick.engine.jobs

import mintpick.core.Job
import mintpick.engine.runtime.EngineContext
import mintpick.engine.state.FormatGate
import mintpick.engine.state.Write
import mintpick.engine.transactions.TransactionLimits
import mintpick.engine.transactions.TransactionPart
import mintpick.store.Keys
import mintpick.store.RecordFormat
import mintpick.store.SpecPieces
import mintpick.wire.Guard

/** Specifications that are too large for a main record: their pieces are stored before it names them. */
internal class SpecStorage(
    private val context: EngineContext,
    private val formats: FormatGate,
    private val limits: TransactionLimits,
) {
    private val cache get() = context.cache

    private fun pieces(job: Job): List<String> = SpecPieces.split(job.spec, formats.valueBytes)

    private fun keepsItsPlace(job: Job): Boolean = job.specPieces > 0 || formats.current == RecordFormat.VERBOSE

    /** The next of the pieces that have to be stored before [job] can be written with its specification apart; null: none. */
    fun unstored(job: Job): TransactionPart? {
        if (keepsItsPlace(job)) return null
        val missing = pieces(job).withIndex().filter { (i, text) -> cache.specPiece(job.id, i) != text }
        if (missing.isEmpty()) return null
        val writes = missing.take(limits.changes).map { (i, text) -> Write(Keys.spec(job.id.text, i), SpecPieces.json(text)) }
        // Late copies of these writes fail once the main record names the pieces, or the job has changed otherwise.
        return TransactionPart(job.id, setOf(Guard(Keys.job(job.id.text), job.version)), writes)
    }

    /** [job] with its specification apart, as far as the format has that. */
    fun apart(job: Job): Job = if (keepsItsPlace(job)) job else job.with(specPieces = pieces(job).size)

    /** The pieces as they are known: another submission of the same id must not mix with them. */
    fun guards(job: Job): Set<Guard> =
        (0 until job.specPieces).mapTo(LinkedHashSet()) { i ->
            Keys.spec(job.id.text, i).let { Guard(it, cache.version(it)) }
        }
}
