package mintpick.engine.transactions

import mintpick.core.AttemptId
import mintpick.core.JobId
import mintpick.core.MachineId
import mintpick.core.Resources
import mintpick.engine.state.Write
import mintpick.wire.Guard

/** Resources that a planned placement takes of a machine. */
internal data class MachineDemand(
    val machine: MachineId,
    val demand: Resources,
)

/** Notified of what becomes of a [TransactionPart]. A part that is planned but never sent notifies nobody. */
internal interface TransactionListener {
    /** The part is on its way to the state service; [onCommitted] or [onNotCommitted] follows. */
    fun onSent()

    /** The state service has stored the part. */
    fun onCommitted()

    /** The part was refused, or its outcome is unknown: it has to be planned again. */
    fun onNotCommitted()

    /** For parts that nobody waits for. */
    object None : TransactionListener {
        override fun onSent() = Unit

        override fun onCommitted() = Unit

        override fun onNotCommitted() = Unit
    }
}

/** Writes of one job that must be carried out together, with what must hold for them. */
internal class TransactionPart(
    /** The job that is written; one transaction at a time writes it. */
    val job: JobId,
    /** Versions of records that must be unchanged, in the order in which they are sent. */
    val guards: Set<Guard>,
    /** Records to write, in the order in which they are sent. */
    val writes: List<Write>,
    /** What its placements take of machines, one entry for each task. */
    val placementDemands: List<MachineDemand> = emptyList(),
    /** Attempts that it requeues. */
    val requeued: List<AttemptId> = emptyList(),
    /** The team whose reservation has to be raised with it; null if it places nothing or its team has no limit. */
    val limitedTeam: String? = null,
    /** Notified of what becomes of it. */
    val listener: TransactionListener = TransactionListener.None,
) {
    /** Whether it places at least one task. */
    val isPlacement: Boolean get() = placementDemands.isNotEmpty()

    /** Size of its writes in a request. */
    val bytes: Int = writes.sumOf { it.key.length + it.valueBytes + WRITE_OVERHEAD_BYTES }

    /** Whether each of its values has at most [maxValueBytes]. */
    fun valuesFit(maxValueBytes: Double): Boolean = writes.all { it.valueBytes <= maxValueBytes }

    private companion object {
        /** Field names and brackets of a write in a request. */
        const val WRITE_OVERHEAD_BYTES = 40
    }
}
