package mintpick.engine.transactions

import mintpick.core.Job
import mintpick.engine.state.RequestLimits

/** Limits of one transaction of the state store. Job updates must leave space for the records that are written with them. */
class TransactionLimits(
    /** Maximum number of changes in one transaction. */
    val maxChanges: Int,
) {
    /** Maximum number of changes in one part. The limit on writes always allows as many after a bounded time. */
    val maxPartChanges: Int get() = minOf(maxChanges, RequestLimits.MAX_UPDATE_WRITES)

    /** Maximum number of guards in one transaction. */
    val maxGuards: Int get() = maxChanges * GUARDS_PER_CHANGE

    /** Maximum number of chunks of [job] in one transaction, besides its main record and its team's reservation. */
    fun maxChunks(job: Job): Int = minOf(job.chunkCount, MAX_CHUNKS, maxOf(1, maxChanges - RECORDS_BESIDE_CHUNKS))

    /** Maximum number of machine guards in an update of [job], besides the guards of its own records and its team's reservation. */
    fun maxMachineGuards(job: Job): Int = maxGuards - RECORDS_BESIDE_CHUNKS - maxChunks(job)

    companion object {
        /** Maximum size of the writes of one transaction. Lower than the state store's limit for one request, which also contains the guards. */
        const val MAX_BYTES = 48 * 1024

        private const val GUARDS_PER_CHANGE = 4

        /** The job's main record and its team's reservation. */
        private const val RECORDS_BESIDE_CHUNKS = 2
        private const val MAX_CHUNKS = RequestLimits.MAX_UPDATE_WRITES - RECORDS_BESIDE_CHUNKS
    }
}
