package mintpick.engine.agents

import mintpick.core.MachineId
import mintpick.engine.cache.KnownMachine
import mintpick.wire.MachineRecord
import mintpick.wire.Retiring

/**
 * A request to scale in a machine. Compared by identity, because a request that replaces an equal one is not fulfilled by the
 * write of the earlier one.
 */
class ScaleInRequest(
    val machine: MachineId,
    val mode: Retiring,
    val reason: String,
) {
    /** Whether the machine is to be released without draining it, because it is lost and its tasks can't be requeued before that. */
    val isImmediate: Boolean get() = mode == Retiring.NOW
}

/** Changes to the machine list of one [partition] of the machine names. */
class MachineListChanges(
    val partition: Int,
    /** Machines that have sent their status and are not listed yet. */
    val added: Map<MachineId, MachineRecord>,
    val scaledIn: List<ScaleInRequest>,
    /** Listed machines that are proven to be terminated, to be removed from the list. */
    val terminated: List<KnownMachine>,
) {
    /** Whether a machine has to be released immediately. */
    val isUrgent: Boolean get() = scaledIn.any { it.isImmediate }

    /** Whether machines are only removed from the list, which is never urgent. */
    val onlyRemoves: Boolean get() = added.isEmpty() && scaledIn.isEmpty()
}
