package mintpick.engine.jobs

import mintpick.core.JobId
import mintpick.core.MachineId
import mintpick.core.Resources
import mintpick.engine.agents.CommandPlanner
import mintpick.engine.runtime.EngineContext
import mintpick.engine.state.RecordFormatNegotiator
import mintpick.engine.state.StateStoreClient
import mintpick.engine.transactions.JobUpdate
import mintpick.engine.transactions.TransactionLimits

/**
 * Stores submissions and drafts of job updates by compare-and-swap: plans them as guarded writes
 * ([SubmissionPartBuilder], [JobUpdatePartBuilder], [WriteArbiter]) and has them sent ([TransactionSender]).
 * Event-loop thread only.
 */
class JobUpdateWriter(
    context: EngineContext,
    private val stateStore: StateStoreClient,
    pendingRequests: PendingRequests,
    commandPlanner: CommandPlanner,
    formats: RecordFormatNegotiator,
    /** What one transaction holds. */
    val limits: TransactionLimits,
) {
    private val specStorage = SpecStorage(context, formats, limits)
    private val sender = TransactionSender(context, stateStore, commandPlanner, formats, limits)
    private val submissionPartBuilder = SubmissionPartBuilder(context, formats, specStorage, pendingRequests, sender.availability)
    private val jobUpdatePartBuilder = JobUpdatePartBuilder(context, formats, specStorage, pendingRequests)
    private val writeArbiter = WriteArbiter(context, pendingRequests)

    /** Writes that drafts leave for the next submissions, for which users wait. */
    private val writesForSubmissions =
        (context.settings.limits.writeRps / (context.settings.peers.size + 1) * SUBMISSION_WRITE_SHARE)
            .toInt()

    /** Whether at least one transaction may leave now. */
    val canSend: Boolean get() = sender.canSend

    /** Whether [job] may be planned: nothing of it is in flight, and its records are current. */
    fun isAvailable(job: JobId): Boolean = sender.availability.isAvailable(job)

    /** Resources of [machine] that placements in flight take: the records do not show them yet. */
    fun reservedOn(machine: MachineId): Resources = sender.reservations.reservedOn(machine)

    /** Whether no placement of [team] that raises its reservation is in flight; always true for a team without a limit. */
    fun isTeamAvailable(team: String): Boolean = sender.isTeamAvailable(team)

    /** How many writes drafts may use now. */
    fun writeBudget(): Int = if (canSend) stateStore.writesAllowed() - writesForSubmissions else 0

    /**
     * Sends pending submissions and then [drafts], as far as the limits allow. While placements wait for writes
     * ([arePlacementsWaiting]) they alternate with the other drafts. Returns whether a placement found no write.
     */
    fun commit(
        drafts: Collection<JobUpdate>,
        arePlacementsWaiting: Boolean,
    ): Boolean {
        // In transactions of their own: conflicts of drafts must not hold submissions up.
        sender.send(submissionPartBuilder.build(), reservedWrites = 0)
        val parts = drafts.filter { it.hasChanges }.map(jobUpdatePartBuilder::build)
        val allowed = if (arePlacementsWaiting) writeArbiter.prioritize(parts) else parts
        val sent = sender.send(allowed, writesForSubmissions)
        writeArbiter.onSent(sent, arePlacementsWaiting)
        return sent.count { it.isPlacement } < parts.count { it.isPlacement }
    }

    private companion object {
        const val SUBMISSION_WRITE_SHARE = 0.25
    }
}
