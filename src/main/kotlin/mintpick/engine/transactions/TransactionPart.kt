package mintpick.engine.transactions

import mintpick.core.AttemptId
import mintpick.core.JobId
import mintpick.core.MachineId
import mintpick.core.Resources
import mintpick.engine.state.Write
import mintpick.wire.Guard

/** Resources that a planned placement requires on a machine. */
internal data class MachineDemand(
    val machine: MachineId,
    val demand: Resources,
)

/** Receives the outcome of a [TransactionPart]. For a part that is planned but never sent, no function is called. */
internal interface TransactionListener {
    /** The part was sent to the state store; [onCommitted] or [onNotConfirmed] follows. */
    fun onSent()

    /** The part was committed. */
    fun onCommitted()

    /** The part was refused or its outcome is unknown; it has to be planned again. */
    fun onNotConfirmed()

    /** Ignores the outcome. */
    object None : TransactionListener {
        override fun onSent() = Unit

        override fun onCommitted() = Unit

        override fun onNotConfirmed() = Unit
    }
}

/** Writes for one job that must be committed together, with their guards. */
internal class TransactionPart(
    /** The job that is written. At most one transaction in flight writes a job. */
    val job: JobId,
    /** Versions of records that must be unchanged, in sending order. */
    val guards: Set<Guard>,
    /** Records to write, in sending order. */
    val writes: List<Write>,
    /** Resources that its placements require, one entry for each placed task. */
    val placementDemands: List<MachineDemand> = emptyList(),
    /** Ended attempts whose tasks are waiting again. */
    val requeued: List<AttemptId> = emptyList(),
    /** The team whose reservation has to be increased with this part; null if it places nothing or its team has no limit. */
    val limitedTeam: String? = null,
    /** Receives the outcome of this part. */
    val listener: TransactionListener = TransactionListener.None,
) {
    /** Whether this part places at least one task. */
    val isPlacement: Boolean get() = placementDemands.isNotEmpty()

    /** Number of records that a transaction with this part alone writes, including the reservation of its team. */
    val changeCount: Int get() = writes.size + if (limitedTeam == null) 0 else 1

    /** Size of the writes in a request. */
    val bytes: Int = writes.sumOf(::bytesOf)

    /** Whether no value is larger than [maxValueBytes]. */
    fun valuesFit(maxValueBytes: Double): Boolean = writes.all { it.valueBytes <= maxValueBytes }

    companion object {
        /** Field names and brackets of a write in a request. */
        private const val WRITE_OVERHEAD_BYTES = 40

        /** Size of [write] in a request. */
        fun bytesOf(write: Write): Int = write.key.length + write.valueBytes + WRITE_OVERHEAD_BYTES
    }
}
