package mintpick.engine.jobs

import mintpick.core.Job
import mintpick.core.JobId
import mintpick.core.MachineId
import mintpick.core.Micros
import mintpick.core.Resources
import mintpick.core.SECOND
import mintpick.core.demand
import mintpick.engine.agents.CommandPlanner
import mintpick.engine.membership.ShardClaims
import mintpick.engine.runtime.EngineContext
import mintpick.engine.state.FormatGate
import mintpick.engine.state.StateStoreClient
import mintpick.engine.state.Write
import mintpick.engine.transactions.JobUpdate
import mintpick.engine.transactions.TransactionBatch
import mintpick.engine.transactions.TransactionLimits
import mintpick.engine.transactions.TransactionPart
import mintpick.store.Keys
import mintpick.store.RecordCodec
import mintpick.store.TransactionResult
import mintpick.wire.Guard
import mintpick.wire.ReservationRecord
import mintpick.wire.StoredStage
import mintpick.wire.WireJson
import org.slf4j.LoggerFactory

/** Turns drafts into guarded transactions and carries them to the state service, a few at a time. */
class JobUpdates(
    private val context: EngineContext,
    private val stateStore: StateStoreClient,
    private val shardClaims: ShardClaims,
    private val userRequests: UserRequests,
    private val commandPlanner: CommandPlanner,
    private val formats: FormatGate,
) {
    private val open = HashSet<JobId>()
    private val openTeams = HashSet<String>()

    /** Jobs whose records are known to have moved on: they wait until the watch has brought the change. */
    private val outdated = HashMap<JobId, Long>()

    /** Room taken by placements that are on their way to the state service: the records do not show it yet. */
    private val reserved = HashMap<MachineId, Resources>()

    private val limitedTeams =
        context.settings.teams
            .filter { it.cpusMax > 0 || it.gpusMax > 0 }
            .mapTo(HashSet()) { it.name }
    private val cache get() = context.cache

    /** What one transaction holds. */
    val limits = TransactionLimits(context.settings.limits.transactionOps)
    private val specs = SpecStorage(context, formats, limits)

    val hasRoom: Boolean get() =
        stateStore.serving &&
            stateStore.reachable &&
            stateStore.transactionsOpen < MAX_OPEN &&
            stateStore.writesAllowed() > 0

    /** Jobs whose change the state service found too large, until when they are left alone: the same again would fare no better. */
    private val setAside = HashMap<JobId, Micros>()

    /** Until when each job goes alone, since together they were too large. */
    private var aloneUntilUs: Micros = 0

    fun isFree(job: JobId): Boolean {
        if (job in open || context.now < (setAside[job] ?: 0)) return false
        val until = outdated[job] ?: return true
        if (cache.revision < until) return false
        outdated.remove(job)
        return true
    }

    fun reservedOn(machine: MachineId): Resources = reserved[machine] ?: Resources.ZERO

    private fun reserve(
        group: List<TransactionPart>,
        sign: Double,
    ) {
        for ((machine, demand) in group.flatMap { it.placed }) {
            val held = reservedOn(machine) + demand * sign
            if (held.cpus <= Resources.EPSILON && held.memoryGb <= Resources.EPSILON) reserved.remove(machine) else reserved[machine] = held
        }
    }

    fun isTeamFree(team: String): Boolean = team !in openTeams

    /** How many drafts are worth making now. */
    fun budget(): Int = if (hasRoom) stateStore.writesAllowed() - kept else 0

    /** Writes that drafts leave for the next submissions, which users wait for. */
    private val kept = (context.settings.limits.writeRps / (context.settings.peers.size + 1) * KEPT_PART).toInt()

    /**
     * Writes that recorded what has become of tasks, beyond those that placed tasks, while placements waited for writes.
     */
    private var recordsAhead = 0
    private var recordsHeldSinceUs: Micros = 0

    /**
     * Writes drafts and pending submissions, the latter first, as far as the limits allow. While placements wait for
     * writes ([placementsWait]) they take turns with the other drafts. Returns whether a placement found no write.
     */
    fun commit(
        drafts: Collection<JobUpdate>,
        placementsWait: Boolean,
    ): Boolean {
        val stored = ArrayList<TransactionPart>()
        for ((id, pending) in userRequests.submissions) {
            if (pending.taken || !isFree(id) || cache.knows(id)) continue
            val spec = pending.spec ?: continue
            val inline = Job(id, spec, StoredStage.OPEN, context.wall, 0, emptyMap())
            var job = inline
            var write = Write(Keys.job(id.text), RecordCodec.jobJson(job, formats.current))
            if (!fitsValue(write)) {
                val unstored = specs.unstored(inline)
                if (unstored != null) {
                    stored += unstored
                    continue
                }
                job = specs.apart(inline)
                write = Write(write.key, RecordCodec.jobJson(job, formats.current))
            }
            pending.taken = true
            stored +=
                TransactionPart(
                    id,
                    guards = specs.guards(job) + Guard(write.key, 0),
                    writes = listOf(write),
                    committed = { userRequests.submitted(id) },
                    dropped = { pending.taken = false },
                )
        }
        // Apart from drafts, whose conflicts must not hold them up.
        send(stored, 0)
        val parts = drafts.filter { it.changed }.map { partOf(it) }
        val sent = send(if (placementsWait) inTurn(parts) else parts, kept)
        val placements = sent.count { it.isPlacement }
        recordsAhead = if (placementsWait) maxOf(0, recordsAhead + sent.size - placements * 2) else 0
        return placements < parts.count { it.isPlacement }
    }

    /**
     * Placements come first, and other drafts wait once they are too far ahead. What has become of tasks is known all the
     * time, but placements only after each pass: without turns the former once took every write for a quarter of a minute,
     * and machines fell empty one after the other beside thousands of waiting tasks.
     */
    private fun inTurn(parts: List<TransactionPart>): List<TransactionPart> {
        val (placements, others) = parts.partition { it.isPlacement }
        val (cancelled, records) = others.partition { it.job in userRequests.cancellations }
        if (recordsAhead < MOST_RECORDS_AHEAD) recordsHeldSinceUs = context.now
        // A placement that needs more writes than the limit ever allows must not hold the others up for good.
        if (context.now - recordsHeldSinceUs > LONGEST_HOLD) recordsAhead = 0
        val may = maxOf(0, MOST_RECORDS_AHEAD - recordsAhead)
        records.drop(may).forEach { it.dropped() }
        return cancelled + placements + records.take(may)
    }

    /** What becomes of [draft]: its change, or the pieces of its specification if that has to make way first. */
    private fun partOf(draft: JobUpdate): TransactionPart {
        val part = partOf(draft, draft.job)
        if (part.writes.all(::fitsValue)) return part
        val unstored = specs.unstored(draft.before) ?: return partOf(draft, specs.apart(draft.job))
        part.dropped()
        return unstored
    }

    private fun fitsValue(write: Write): Boolean = write.valueBytes <= formats.valueBytes

    private fun partOf(
        draft: JobUpdate,
        job: Job,
    ): TransactionPart {
        val id = job.id
        val main = Keys.job(id.text)
        val guards = LinkedHashSet<Guard>()
        guards += Guard(main, draft.before.version)
        // Once the main record names the pieces nobody writes them any more.
        if (job.specPieces != draft.before.specPieces) guards += specs.guards(job)
        val writes = ArrayList<Write>()
        val over =
            when {
                job.stage == StoredStage.OPEN && job.done == job.spec.tasks -> StoredStage.DONE
                job.stage == StoredStage.CANCELLED && job.placed == 0 && seesAllPlacements(draft) -> StoredStage.CANCELLED
                else -> null
            }
        if (over != null) {
            writes += Write(main, RecordCodec.finalJson(over, job.spec.tasks))
        } else if (0 in draft.touched || job.stage != draft.before.stage) {
            writes += Write(main, RecordCodec.jobJson(job, formats.current))
        }
        for (index in draft.touched) {
            if (index == 0) continue
            val key = Keys.chunk(id.text, index)
            guards += Guard(key, draft.before.chunk(index).version)
            writes += Write(key, if (over == null) RecordCodec.chunkJson(job.chunk(index), formats.current) else null)
        }
        guards += draft.guards
        val cancelled = job.stage == StoredStage.CANCELLED
        if (cancelled) userRequests.cancellations[id]?.taken = true
        return TransactionPart(
            id,
            guards,
            writes,
            draft.placed.map { it.second to draft.job.spec.demand },
            draft.requeued,
            team = limitedTeamOf(draft.job).takeIf { draft.placed.isNotEmpty() },
            committed = { if (cancelled) userRequests.cancelled(id) },
            dropped = { userRequests.cancellations[id]?.taken = false },
        )
    }

    /**
     * Placements of one chunk do not conflict with changes of another, so a cancellation may be planned before one of them is
     * known. Once it is stored, no more can be placed, and what was placed before it is known with it.
     */
    private fun seesAllPlacements(draft: JobUpdate): Boolean = draft.before.chunkCount == 1 || draft.before.stage == StoredStage.CANCELLED

    private fun newGroup() = TransactionBatch(limits, takesSeveral = context.now >= aloneUntilUs)

    /** Returns the parts for which there were writes. */
    private fun send(
        parts: List<TransactionPart>,
        keep: Int,
    ): List<TransactionPart> {
        val sent = ArrayList<TransactionPart>()
        var group = newGroup()
        var dropRest = false
        for (part in parts) {
            if (!group.isEmpty && !group.hasRoomFor(part)) {
                transact(group.parts)
                group = newGroup()
            }
            val open = stateStore.transactionsOpen >= MAX_OPEN
            dropRest = dropRest || open || group.writesWith(part) > maxOf(1, stateStore.writesAllowed() - keep)
            if (dropRest || !group.hasRoomFor(part) || !part.writes.all(::fitsValue)) {
                if (!dropRest) LOG.error("change of job={} fits no transaction: {} B", part.job.text, part.bytes)
                part.dropped()
                continue
            }
            group.add(part)
            sent += part
        }
        if (!group.isEmpty) transact(group.parts)
        return sent
    }

    /** The team whose reservation has to be raised with a placement of [job]; null if it has no limit. */
    private fun limitedTeamOf(job: Job): String? = job.spec.team.takeIf { it in limitedTeams }

    private fun transact(group: List<TransactionPart>) {
        val writes = LinkedHashMap<String, Write>()
        group.forEach { part -> part.writes.forEach { writes[it.key] = it } }
        val guards = LinkedHashSet<Guard>()
        group.forEach { guards += it.guards }
        val teams = reserveTeams(group, guards, writes)
        val jobs = group.map { it.job }
        open += jobs
        openTeams += teams
        reserve(group, 1.0)
        val requeued = group.flatMap { it.requeued }
        commandPlanner.requeueSent(requeued)
        stateStore.transact(guards.toList(), writes.values.toList()) { result ->
            open -= jobs.toSet()
            openTeams -= teams
            reserve(group, -1.0)
            when (result) {
                is TransactionResult.Committed -> Unit
                TransactionResult.Unknown -> commandPlanner.requeueUnknown(requeued)
                else -> commandPlanner.requeueFailed(requeued)
            }
            when (result) {
                is TransactionResult.Committed -> {
                    group.forEach { it.committed() }
                }
                is TransactionResult.Conflict -> conflict(group, result)
                TransactionResult.TooLarge -> tooLarge(group)
                else -> {
                    // Refused, or without an answer and perhaps applied later: the guards keep that harmless.
                    group.forEach { it.dropped() }
                    if (result == TransactionResult.Unknown) stateStore.caughtUp { }
                }
            }
        }
    }

    /** Placements of teams with a limit bump the team's reservation, whose guard makes the sum they were judged by current. */
    private fun reserveTeams(
        group: List<TransactionPart>,
        guards: MutableSet<Guard>,
        writes: MutableMap<String, Write>,
    ): Set<String> {
        val teams = HashSet<String>()
        for (part in group) {
            val team = part.team ?: continue
            val spec = cache.job(part.job)?.spec ?: continue
            if (!teams.add(team)) continue
            val key = Keys.team(spec.team)
            guards += Guard(key, cache.version(key))
            val used = cache.usedBy(spec.team) + spec.demand
            writes[key] =
                Write(key, WireJson.encodeToJsonElement(ReservationRecord.serializer(), ReservationRecord(used.cpus, used.gpus)))
        }
        return teams
    }

    private fun tooLarge(group: List<TransactionPart>) {
        group.forEach { it.dropped() }
        if (group.size > 1) {
            aloneUntilUs = context.now + ALONE
        } else {
            setAside.values.removeIf { it < context.now }
            group.forEach { setAside[it.job] = context.now + SET_ASIDE }
        }
    }

    private fun conflict(
        group: List<TransactionPart>,
        result: TransactionResult.Conflict,
    ) {
        LOG.debug("conflict keys={} revision={}", result.failed, result.revision)
        val failed = result.failed.toSet()
        for (part in group) {
            part.dropped()
            if (part.guards.any { it.key in failed }) outdated[part.job] = result.revision
        }
        stateStore.caughtUp { }
    }

    companion object {
        private val LOG = LoggerFactory.getLogger(JobUpdates::class.java)
        private const val MAX_OPEN = 4
        private const val KEPT_PART = 0.25
        private const val MOST_RECORDS_AHEAD = 2
        private const val LONGEST_HOLD: Micros = 2 * SECOND
        private const val ALONE: Micros = 30 * SECOND
        private const val SET_ASIDE: Micros = 10 * SECOND
    }
}
