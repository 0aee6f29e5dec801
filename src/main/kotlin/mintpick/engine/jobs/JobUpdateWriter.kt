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
 * Stores submissions and drafts of job updates by compare-and-swap. [SubmissionPartBuilder] and [JobUpdatePartBuilder]
 * turn them into guarded writes, [WriteArbiter] prioritizes these and [TransactionSender] sends them. Event-loop thread only.
 */
class JobUpdateWriter(
    context: EngineContext,
    private val stateStore: StateStoreClient,
    pendingRequests: PendingRequests,
    commandPlanner: CommandPlanner,
    formats: RecordFormatNegotiator,
    /** Size limits of one transaction. */
    val limits: TransactionLimits,
) {
    private val specStorage = SpecStorage(context, formats, limits)
    private val sender = TransactionSender(context, stateStore, commandPlanner, formats, limits)
    private val submissionPartBuilder = SubmissionPartBuilder(context, formats, specStorage, pendingRequests, sender.availability)
    private val jobUpdatePartBuilder = JobUpdatePartBuilder(context, formats, specStorage, pendingRequests)
    private val writeArbiter = WriteArbiter(context, pendingRequests)

    /** Writes reserved for submissions, because users are waiting for them. Drafts leave these writes unused. */
    private val writesForSubmissions =
        (context.settings.limits.writeRps / (context.settings.peers.size + 1) * SUBMISSION_WRITE_SHARE)
            .toInt()

    /** Whether at least one transaction may be sent now. */
    val canSend: Boolean get() = sender.canSend

    /** Whether [job] may be planned: no transaction in flight writes it, and its cached records are current. */
    fun isAvailable(job: JobId): Boolean = sender.availability.isAvailable(job)

    /** Resources of [machine] taken by placements in flight, which the cached records do not show yet. */
    fun reservedOn(machine: MachineId): Resources = sender.reservations.reservedOn(machine)

    /**
     * Whether tasks of [team] may be placed: no transaction in flight raises the team's reservation. Always true for a team
     * without a limit.
     */
    fun isTeamAvailable(team: String): Boolean = sender.isTeamAvailable(team)

    /** Number of writes that drafts may use now. */
    fun writeBudget(): Int = if (canSend) stateStore.writesAllowed() - writesForSubmissions else 0

    /**
     * Sends pending submissions and then [drafts] within the write limits. While placements are waiting for writes
     * ([arePlacementsWaiting]), they alternate with outcome updates. Returns whether at least one placement was not sent.
     */
    fun commit(
        drafts: Collection<JobUpdate>,
        arePlacementsWaiting: Boolean,
    ): Boolean {
        // Submissions get separate transactions, so that conflicts of drafts don't delay them.
        sender.send(submissionPartBuilder.build(), reservedWrites = 0, hasPrecedence = true)
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
