package mintpick.engine.agents

import mintpick.core.MachineId
import mintpick.engine.cache.KnownMachine
import mintpick.wire.MachineRecord
import mintpick.wire.Retiring

/**
 * A machine that is to be scaled in. Compared by identity: one that has replaced an equal one is a request of its own, which
 * the write of the first does not settle.
 */
class ScaleInRequest(
    val machine: MachineId,
    val mode: Retiring,
    val reason: String,
) {
    /** Whether the machine is lost or faulty, so that its tasks wait for its release. */
    val isImmediate: Boolean get() = mode == Retiring.NOW
}

/** What is to be written into the machine list of one [partition] of the names. */
class MachineListChanges(
    val partition: Int,
    /** Machines that have reported and are not listed yet. */
    val added: Map<MachineId, MachineRecord>,
    val scaledIn: List<ScaleInRequest>,
    /** Listed machines that are proven to be terminated. */
    val terminated: List<KnownMachine>,
) {
    /** Whether a machine has to be released at once. */
    val isUrgent: Boolean get() = scaledIn.any { it.isImmediate }

    /** Whether machines are only removed, which nothing waits for. */
    val onlyRemoves: Boolean get() = added.isEmpty() && scaledIn.isEmpty()
}
