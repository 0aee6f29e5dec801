package mintpick.engine.jobs

import mintpick.core.AttemptId
import mintpick.core.JobId
import mintpick.core.Micros
import mintpick.core.SECOND
import mintpick.core.demand
import mintpick.engine.agents.CommandPlanner
import mintpick.engine.runtime.EngineContext
import mintpick.engine.state.RecordFormatNegotiator
import mintpick.engine.state.StateStoreClient
import mintpick.engine.state.Write
import mintpick.engine.transactions.TransactionBatch
import mintpick.engine.transactions.TransactionLimits
import mintpick.engine.transactions.TransactionPart
import mintpick.store.Keys
import mintpick.store.TransactionResult
import mintpick.wire.Guard
import mintpick.wire.ReservationRecord
import mintpick.wire.WireJson
import org.slf4j.LoggerFactory

/**
 * Batches parts into transactions, sends these within the limits on writes and on transactions in flight, and handles their
 * outcomes. Event-loop thread only.
 */
internal class TransactionSender(
    private val context: EngineContext,
    private val stateStore: StateStoreClient,
    private val commandPlanner: CommandPlanner,
    private val formats: RecordFormatNegotiator,
    private val limits: TransactionLimits,
) {
    /** A transaction whose outcome is not known yet. */
    private class InFlight(
        val parts: List<TransactionPart>,
        val limitedTeams: Set<String>,
    ) {
        val jobs: List<JobId> = parts.map { it.job }
        val requeued: List<AttemptId> = parts.flatMap { it.requeued }
    }

    private val cache get() = context.cache
    private val limitedTeamsInFlight = HashSet<String>()

    /** Until when each job gets a separate transaction, because a transaction with several jobs was too large. */
    private var singleJobUntilUs: Micros = 0

    private val savings = WriteSavings(context, stateStore.writesPerSecond)

    /** Tracks which jobs may be planned. */
    val availability = JobAvailability(context)

    /** Resources of machines taken by placements in flight. */
    val reservations = MachineReservations()

    /** Whether at least one transaction may be sent now. */
    val canSend: Boolean get() =
        stateStore.isServing &&
            stateStore.isReachable &&
            stateStore.inFlightTransactions < MAX_TRANSACTIONS_IN_FLIGHT &&
            stateStore.writesAllowed() > 0

    /** Whether no transaction in flight raises the reservation of [team]. */
    fun isTeamAvailable(team: String): Boolean = team !in limitedTeamsInFlight

    /**
     * Sends [parts] in order as far as the limits allow, and leaves [reservedWrites] of the allowed writes unused. A part that needs
     * more writes than are allowed now waits without holding back others that need fewer; only placements stay in their order,
     * which is that of the queue. Parts with [hasPrecedence] leave writes to one that waits only if it has waited for long. Returns the
     * parts that were sent; the others must be planned again.
     */
    fun send(
        parts: List<TransactionPart>,
        reservedWrites: Int,
        hasPrecedence: Boolean = false,
    ): List<TransactionPart> {
        val sent = ArrayList<TransactionPart>()
        var batch = newBatch()
        var isPlacementDelayed = false
        for (part in parts) {
            if (!batch.isEmpty && !batch.fits(part)) {
                sendTransaction(batch.parts)
                batch = newBatch()
            }
            if (stateStore.inFlightTransactions >= MAX_TRANSACTIONS_IN_FLIGHT) break
            if (part.isPlacement && isPlacementDelayed) continue
            if (!batch.fits(part) || !part.valuesFit(formats.maxValueBytes)) {
                pauseOversized(part)
            } else if (mayWrite(batch, part, reservedWrites, hasPrecedence)) {
                batch.add(part)
                sent += part
                savings.onSent(part.job)
            } else {
                isPlacementDelayed = isPlacementDelayed || part.isPlacement
                savings.onDelayed(part, part.changeCount + reservedBy(part, reservedWrites))
            }
        }
        if (!batch.isEmpty) sendTransaction(batch.parts)
        return sent
    }

    private fun newBatch() = TransactionBatch(limits, allowsMultipleParts = context.now >= singleJobUntilUs)

    /** Pauses the job of [part], which alone is too large for a transaction: the same update would be too large again. */
    private fun pauseOversized(part: TransactionPart) {
        val guards = part.guards.size
        LOG.error("job update too large job={} writes={} guards={} bytes={}", part.job.text, part.changeCount, guards, part.bytes)
        availability.pauseOversized(part.job)
    }

    /**
     * Whether the limit on writes allows [batch] with [part]. A single write is always within the limit unless writes are saved up for
     * another part.
     */
    private fun mayWrite(
        batch: TransactionBatch,
        part: TransactionPart,
        reservedWrites: Int,
        hasPrecedence: Boolean,
    ): Boolean {
        val saved = savings.savedBeside(part.job, hasPrecedence)
        val allowed = stateStore.writesAllowed() - reservedBy(part, maxOf(saved, reservedWrites))
        return batch.writesWith(part) <= if (saved > 0) allowed else maxOf(1, allowed)
    }

    /** How many of [reservedWrites] writes [part] must leave unused. The largest parts leave fewer, since they could never be sent otherwise. */
    private fun reservedBy(
        part: TransactionPart,
        reservedWrites: Int,
    ): Int = minOf(reservedWrites, stateStore.maxWrites - part.changeCount).coerceAtLeast(0)

    private fun sendTransaction(parts: List<TransactionPart>) {
        val writes = LinkedHashMap<String, Write>()
        parts.forEach { part -> part.writes.forEach { writes[it.key] = it } }
        val guards = LinkedHashSet<Guard>()
        parts.forEach { guards += it.guards }
        val transaction = InFlight(parts, addTeamReservations(parts, guards, writes))
        markInFlight(transaction)
        stateStore.transact(guards.toList(), writes.values.toList()) { result ->
            clearInFlight(transaction)
            notifyRequeueOutcome(transaction.requeued, result)
            handleOutcome(result, parts)
        }
    }

    private fun markInFlight(transaction: InFlight) {
        availability.markInFlight(transaction.jobs)
        limitedTeamsInFlight += transaction.limitedTeams
        transaction.parts.forEach { reservations.reserve(it.placementDemands) }
        transaction.parts.forEach { it.listener.onSent() }
        commandPlanner.onRequeueSent(transaction.requeued)
    }

    private fun clearInFlight(transaction: InFlight) {
        availability.clearInFlight(transaction.jobs)
        limitedTeamsInFlight -= transaction.limitedTeams
        transaction.parts.forEach { reservations.release(it.placementDemands) }
    }

    private fun notifyRequeueOutcome(
        requeued: List<AttemptId>,
        result: TransactionResult,
    ) {
        when (result) {
            is TransactionResult.Committed -> Unit
            TransactionResult.Unknown -> commandPlanner.onRequeueOutcomeUnknown(requeued)
            else -> commandPlanner.onRequeueFailed(requeued)
        }
    }

    private fun handleOutcome(
        result: TransactionResult,
        parts: List<TransactionPart>,
    ) {
        when (result) {
            is TransactionResult.Committed -> parts.forEach { it.listener.onCommitted() }
            is TransactionResult.Conflict -> onConflict(parts, result)
            TransactionResult.TooLarge -> onTooLarge(parts)
            TransactionResult.Refused, TransactionResult.LeaseExpired -> notifyNotConfirmed(parts)
            TransactionResult.Unknown -> {
                // The transaction may still be applied later, which its guards make harmless.
                notifyNotConfirmed(parts)
                stateStore.afterCatchUp { }
            }
        }
    }

    private fun notifyNotConfirmed(parts: List<TransactionPart>) = parts.forEach { it.listener.onNotConfirmed() }

    /** Makes jobs whose guards failed unavailable until the watch has delivered the conflicting change. */
    private fun onConflict(
        parts: List<TransactionPart>,
        result: TransactionResult.Conflict,
    ) {
        LOG.debug("transaction conflict keys={} revision={}", result.failed, result.revision)
        val failed = result.failed.toSet()
        for (part in parts) {
            part.listener.onNotConfirmed()
            val isOutdated = part.guards.any { it.key in failed }
            if (isOutdated) availability.waitForRevision(part.job, result.revision)
        }
        stateStore.afterCatchUp { }
    }

    /**
     * If the transaction had several jobs, each job gets a separate transaction for some time. If it had only one, the job is
     * paused, because the same update would be too large again.
     */
    private fun onTooLarge(parts: List<TransactionPart>) {
        notifyNotConfirmed(parts)
        if (parts.size > 1) {
            singleJobUntilUs = context.now + SINGLE_JOB_PERIOD
        } else {
            parts.forEach { availability.pauseOversized(it.job) }
        }
    }

    /**
     * Adds guards and writes that raise the reservations of teams with a limit, and returns these teams. The guard of a
     * reservation ensures that the team's usage, against which its limit was checked, is current.
     */
    private fun addTeamReservations(
        parts: List<TransactionPart>,
        guards: MutableSet<Guard>,
        writes: MutableMap<String, Write>,
    ): Set<String> {
        val teams = HashSet<String>()
        for (part in parts) {
            val team = part.limitedTeam ?: continue
            val spec = cache.job(part.job)?.spec ?: continue
            if (!teams.add(team)) continue
            val key = Keys.team(spec.team)
            guards += Guard(key, cache.version(key))
            val used = cache.usedBy(spec.team) + spec.demand
            val record = ReservationRecord(used.cpus, used.gpus)
            writes[key] = Write(key, WireJson.encodeToJsonElement(ReservationRecord.serializer(), record))
        }
        return teams
    }

    private companion object {
        val LOG = LoggerFactory.getLogger(TransactionSender::class.java)
        const val MAX_TRANSACTIONS_IN_FLIGHT = 4
        const val SINGLE_JOB_PERIOD: Micros = 30 * SECOND
    }
}
