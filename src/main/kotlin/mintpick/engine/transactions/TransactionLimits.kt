package mintpick.engine.transactions

import mintpick.core.Job

/** What one transaction of the state service holds, of which updates of jobs must leave room for what goes with them. */
class TransactionLimits(
    /** Most changes that one transaction carries. */
    val maxChanges: Int,
) {
    /** Most guards that one transaction carries. */
    val maxGuards: Int get() = maxChanges * GUARDS_PER_CHANGE

    /** Most chunks of [job] that change together, beside its main record and its team's reservation. */
    fun maxChunks(job: Job): Int = minOf(job.chunkCount, MAX_CHUNKS, maxOf(1, maxChanges - RECORDS_BESIDE_CHUNKS))

    /** Most guards of machines in an update of [job], beside those of its own records and its team's reservation. */
    fun maxMachineGuards(job: Job): Int = maxGuards - RECORDS_BESIDE_CHUNKS - maxChunks(job)

    private companion object {
        const val GUARDS_PER_CHANGE = 4
        const val MAX_CHUNKS = 6

        /** The job's main record, and its team's reservation. */
        const val RECORDS_BESIDE_CHUNKS = 2
    }
}
