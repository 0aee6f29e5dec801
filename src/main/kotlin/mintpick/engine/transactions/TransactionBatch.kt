package mintpick.engine.transactions

import mintpick.core.AttemptId
import mintpick.core.Job
import mintpick.core.JobId
import mintpick.core.MachineId
import mintpick.core.Resources
import mintpick.engine.state.Write
import mintpick.wire.Guard

/** Writes of one job that must be carried out together, with what must hold for them. */
internal class TransactionPart(
    val job: JobId,
    val guards: Set<Guard>,
    val writes: List<Write>,
    /** What its placements take of machines. */
    val placed: List<Pair<MachineId, Resources>> = emptyList(),
    val requeued: List<AttemptId> = emptyList(),
    /** The team whose reservation has to be raised with it; null if it places nothing or its team has no limit. */
    val team: String? = null,
    val committed: () -> Unit = {},
    val dropped: () -> Unit = {},
) {
    val isPlacement: Boolean get() = placed.isNotEmpty()
    val bytes: Int = writes.sumOf { it.key.length + it.valueBytes + WRITE_OVERHEAD }

    private companion object {
        /** Field names and brackets of a write in a request. */
        const val WRITE_OVERHEAD = 40
    }
}

/** Parts that go into one transaction, with the reservations that they bring with them. */
internal class TransactionBatch(
    private val limits: TransactionLimits,
    private val takesSeveral: Boolean,
) {
    val parts = ArrayList<TransactionPart>()
    private val guards = HashSet<Guard>()
    private val teams = HashSet<String>()
    private var writes = 0
    private var bytes = 0
    val isEmpty: Boolean get() = parts.isEmpty()

    private fun reservationsWith(part: TransactionPart): Int = teams.size + if (part.team == null || part.team in teams) 0 else 1

    /** Writes of all parts and of [part], the reservations of their teams among them. */
    fun writesWith(part: TransactionPart): Int = writes + part.writes.size + reservationsWith(part)

    fun hasRoomFor(part: TransactionPart): Boolean =
        (isEmpty || takesSeveral) &&
            writesWith(part) <= limits.changes &&
            (guards + part.guards).size + reservationsWith(part) <= limits.guards &&
            bytes + part.bytes <= MAX_BYTES

    fun add(part: TransactionPart) {
        parts += part
        guards += part.guards
        part.team?.let { teams += it }
        writes += part.writes.size
        bytes += part.bytes
    }

    private companion object {
        /** Below what the state service takes in one request, which holds the guards as well. */
        const val MAX_BYTES = 40 * 1024
    }
}

/** What one transaction of the state service holds, of which jobs' changes must leave room for what goes with them. */
class TransactionLimits(
    /** Changes that one transaction may carry. */
    val changes: Int,
) {
    /** Conditions that one transaction may carry. */
    val guards: Int get() = changes * GUARDS_PER_CHANGE

    /** Chunks of [job] that may change together, beside its main record and its team's reservation. */
    fun chunksOf(job: Job): Int = minOf(job.chunkCount, MOST_CHUNKS, maxOf(1, changes - BESIDE_CHUNKS))

    /** Guards of machines that a change of [job] may have, beside those of its own records and its team's reservation. */
    fun guardsOf(job: Job): Int = guards - BESIDE_CHUNKS - chunksOf(job)

    private companion object {
        const val GUARDS_PER_CHANGE = 4
        const val MOST_CHUNKS = 6

        /** The job's main record, and its team's reservation. */
        const val BESIDE_CHUNKS = 2
    }
}
