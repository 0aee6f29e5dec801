package mintpick.engine

import mintpick.core.AttemptId
import mintpick.core.Job
import mintpick.core.JobId
import mintpick.core.MachineId
import mintpick.core.Micros
import mintpick.core.Resources
import mintpick.core.SECOND
import mintpick.core.demand
import mintpick.store.Keys
import mintpick.store.RecordCodec
import mintpick.store.RecordFormat
import mintpick.store.SpecPieces
import mintpick.store.TransactionResult
import mintpick.wire.Guard
import mintpick.wire.ReservationRecord
import mintpick.wire.StoredStage
import mintpick.wire.WireJson
import org.slf4j.LoggerFactory

/** Turns drafts into guarded transactions and carries them to the state service, a few at a time. */
class Changes(
    private val kernel: Kernel,
    private val link: StateLink,
    private val ownership: Ownership,
    private val desk: Desk,
    private val orders: Orders,
    private val formats: FormatGate,
) {
    /** What must be written together. */
    private class Part(
        val job: JobId,
        val guards: Set<Guard>,
        val writes: List<Write>,
        val placed: List<Pair<MachineId, Resources>>,
        val requeued: List<AttemptId>,
        val bytes: Int,
        val committed: () -> Unit,
        val dropped: () -> Unit = {},
    ) {
        val isPlacement: Boolean get() = placed.isNotEmpty()
    }

    private val open = HashSet<JobId>()
    private val openTeams = HashSet<String>()

    /** Jobs whose records are known to have moved on: they wait until the watch has brought the change. */
    private val outdated = HashMap<JobId, Long>()

    /** Room taken by placements that are on their way to the state service: the records do not show it yet. */
    private val reserved = HashMap<MachineId, Resources>()

    private val limitedTeams =
        kernel.settings.teams
            .filter { it.cpusMax > 0 || it.gpusMax > 0 }
            .mapTo(HashSet()) { it.name }
    private val replica get() = kernel.replica
    private val specs = Specs()

    /** What one transaction holds. */
    val limits = TransactionLimits(kernel.settings.limits.transactionOps)

    val hasRoom: Boolean get() = link.serving && link.reachable && link.transactionsOpen < MAX_OPEN && link.writesAllowed() > 0

    /** Jobs whose change the state service found too large, until when they are left alone: the same again would fare no better. */
    private val setAside = HashMap<JobId, Micros>()

    /** Until when each job goes alone, since together they were too large. */
    private var aloneUntilUs: Micros = 0

    fun isFree(job: JobId): Boolean {
        if (job in open || kernel.now < (setAside[job] ?: 0)) return false
        val until = outdated[job] ?: return true
        if (replica.revision < until) return false
        outdated.remove(job)
        return true
    }

    fun reservedOn(machine: MachineId): Resources = reserved[machine] ?: Resources.ZERO

    private fun reserve(
        group: List<Part>,
        sign: Double,
    ) {
        for ((machine, demand) in group.flatMap { it.placed }) {
            val held = reservedOn(machine) + demand * sign
            if (held.cpus <= Resources.EPSILON && held.memoryGb <= Resources.EPSILON) reserved.remove(machine) else reserved[machine] = held
        }
    }

    fun isTeamFree(team: String): Boolean = team !in openTeams

    /** How many drafts are worth making now. */
    fun budget(): Int = if (hasRoom) link.writesAllowed() - kept else 0

    /** Writes that drafts leave for the next submissions, which users wait for. */
    private val kept = (kernel.settings.limits.writeRps / (kernel.settings.peers.size + 1) * KEPT_PART).toInt()

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
        drafts: Collection<Draft>,
        placementsWait: Boolean,
    ): Boolean {
        val stored = ArrayList<Part>()
        for ((id, pending) in desk.submissions) {
            if (pending.taken || !isFree(id) || replica.knows(id)) continue
            val spec = pending.spec ?: continue
            val inline = Job(id, spec, StoredStage.OPEN, kernel.wall, 0, emptyMap())
            var job = inline
            var write = Write(Keys.job(id.text), RecordCodec.jobJson(job, formats.current))
            if (!fitsValue(write)) {
                val unstored = specs.unstored(inline)
                if (unstored.isNotEmpty()) {
                    stored += unstored
                    continue
                }
                job = specs.apart(inline)
                write = Write(write.key, RecordCodec.jobJson(job, formats.current))
            }
            pending.taken = true
            stored +=
                Part(
                    id,
                    guards = specs.guards(job) + Guard(write.key, 0),
                    writes = listOf(write),
                    placed = emptyList(),
                    requeued = emptyList(),
                    bytes = size(write),
                    committed = { desk.submitted(id) },
                    dropped = { pending.taken = false },
                )
        }
        // Apart from drafts, whose conflicts must not hold them up.
        send(stored, 0)
        val parts = drafts.filter { it.changed }.flatMap(::partsOf)
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
    private fun inTurn(parts: List<Part>): List<Part> {
        val (placements, others) = parts.partition { it.isPlacement }
        val (cancelled, records) = others.partition { it.job in desk.cancellations }
        if (recordsAhead < MOST_RECORDS_AHEAD) recordsHeldSinceUs = kernel.now
        // A placement that needs more writes than the limit ever allows must not hold the others up for good.
        if (kernel.now - recordsHeldSinceUs > LONGEST_HOLD) recordsAhead = 0
        val may = maxOf(0, MOST_RECORDS_AHEAD - recordsAhead)
        records.drop(may).forEach { it.dropped() }
        return cancelled + placements + records.take(may)
    }

    /** What becomes of [draft]: its change, or the pieces of its specification if that has to make way first. */
    private fun partsOf(draft: Draft): List<Part> {
        val part = partOf(draft, draft.job)
        if (part.writes.all(::fitsValue)) return listOf(part)
        val unstored = specs.unstored(draft.before)
        if (unstored.isEmpty()) return listOf(partOf(draft, specs.apart(draft.job)))
        part.dropped()
        return unstored
    }

    private fun fitsValue(write: Write): Boolean = write.valueBytes <= formats.valueBytes

    private fun partOf(
        draft: Draft,
        job: Job,
    ): Part {
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
                job.stage == StoredStage.CANCELLED && job.placed == 0 -> StoredStage.CANCELLED
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
        if (cancelled) desk.cancellations[id]?.taken = true
        return Part(
            id,
            guards,
            writes,
            draft.placed.map { it.second to draft.job.spec.demand },
            draft.requeued,
            writes.sumOf(::size),
            committed = { if (cancelled) desk.cancelled(id) },
            dropped = { desk.cancellations[id]?.taken = false },
        )
    }

    private fun size(write: Write): Int = write.key.length + write.valueBytes + WRITE_OVERHEAD

    /** Returns the parts for which there were writes. */
    private fun send(
        parts: List<Part>,
        keep: Int,
    ): List<Part> {
        val sent = ArrayList<Part>()
        var group = Group()
        var dropRest = false
        for (part in parts) {
            if (!group.isEmpty && !group.fits(part)) {
                transact(group.parts)
                group = Group()
            }
            val open = link.transactionsOpen >= MAX_OPEN
            dropRest = dropRest || open || group.writesWith(part) > maxOf(1, link.writesAllowed() - keep)
            if (dropRest || !group.fits(part)) {
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

    /** Specifications that are too large for a main record: their pieces are stored before it names them. */
    private inner class Specs {
        private fun pieces(job: Job): List<String> = SpecPieces.split(job.spec, formats.valueBytes)

        /** The next of the pieces that have to be stored before [job] can be written with its specification apart. */
        fun unstored(job: Job): List<Part> {
            if (job.specPieces > 0 || formats.current == RecordFormat.VERBOSE) return emptyList()
            val pieces = pieces(job)
            if (replica.hasSpecPieces(job.id, pieces)) return emptyList()
            val writes = pieces.mapIndexed { i, text -> Write(Keys.spec(job.id.text, i), SpecPieces.json(text)) }
            val known = replica.specPiecesOf(job.id)
            val missing = writes.filterIndexed { i, _ -> i !in known }.ifEmpty { writes }.take(limits.changes)
            // Late copies of these writes fail once the main record names the pieces, or the job has changed otherwise.
            val guard = Guard(Keys.job(job.id.text), job.version)
            return listOf(Part(job.id, setOf(guard), missing, emptyList(), emptyList(), missing.sumOf(::size), committed = {}))
        }

        /** [job] with its specification apart, as far as the format has that. */
        fun apart(job: Job): Job =
            if (job.specPieces > 0 || formats.current == RecordFormat.VERBOSE) job else job.with(specPieces = pieces(job).size)

        /** The pieces as they are known: another submission of the same id must not mix with them. */
        fun guards(job: Job): Set<Guard> =
            (0 until job.specPieces).mapTo(LinkedHashSet()) { i ->
                Keys.spec(job.id.text, i).let { Guard(it, replica.version(it)) }
            }
    }

    /** Parts that go into one transaction, with the reservations that they bring with them. */
    private inner class Group {
        val parts = ArrayList<Part>()
        private val guards = HashSet<Guard>()
        private val teams = HashSet<String>()
        private var writes = 0
        private var bytes = 0
        val isEmpty: Boolean get() = parts.isEmpty()

        /** Writes of all parts and of [part], the reservations of their teams among them. */
        fun writesWith(part: Part): Int = writes + part.writes.size + (teams + listOfNotNull(part.reservedTeam())).size

        fun fits(part: Part): Boolean {
            val reservations = (teams + listOfNotNull(part.reservedTeam())).size
            return (isEmpty || kernel.now >= aloneUntilUs) &&
                writesWith(part) <= limits.changes &&
                (guards + part.guards).size + reservations <= limits.guards &&
                bytes + part.bytes <= MAX_BYTES &&
                part.writes.all(::fitsValue)
        }

        fun add(part: Part) {
            parts += part
            guards += part.guards
            part.reservedTeam()?.let { teams += it }
            writes += part.writes.size
            bytes += part.bytes
        }
    }

    /** The team whose reservation has to be raised with the part; null if it places nothing or its team has no limit. */
    private fun Part.reservedTeam(): String? {
        if (!isPlacement) return null
        return replica
            .job(job)
            ?.spec
            ?.team
            ?.takeIf { it in limitedTeams }
    }

    private fun transact(group: List<Part>) {
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
        orders.requeueSent(requeued)
        link.transact(guards.toList(), writes.values.toList()) { result ->
            open -= jobs.toSet()
            openTeams -= teams
            reserve(group, -1.0)
            when (result) {
                is TransactionResult.Committed -> Unit
                TransactionResult.Unknown -> orders.requeueUnknown(requeued)
                else -> orders.requeueFailed(requeued)
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
                    if (result == TransactionResult.Unknown) link.caughtUp { }
                }
            }
        }
    }

    /** Placements of teams with a limit bump the team's reservation, whose guard makes the sum they were judged by current. */
    private fun reserveTeams(
        group: List<Part>,
        guards: MutableSet<Guard>,
        writes: MutableMap<String, Write>,
    ): Set<String> {
        val teams = HashSet<String>()
        for (part in group) {
            val spec = replica.job(part.job)?.spec ?: continue
            if (part.reservedTeam() == null || !teams.add(spec.team)) continue
            val key = Keys.team(spec.team)
            guards += Guard(key, replica.version(key))
            val used = replica.usedBy(spec.team) + spec.demand
            writes[key] =
                Write(key, WireJson.encodeToJsonElement(ReservationRecord.serializer(), ReservationRecord(used.cpus, used.gpus)))
        }
        return teams
    }

    private fun tooLarge(group: List<Part>) {
        group.forEach { it.dropped() }
        if (group.size > 1) {
            aloneUntilUs = kernel.now + ALONE
        } else {
            setAside.values.removeIf { it < kernel.now }
            group.forEach { setAside[it.job] = kernel.now + SET_ASIDE }
        }
    }

    private fun conflict(
        group: List<Part>,
        result: TransactionResult.Conflict,
    ) {
        LOG.debug("conflict keys={} revision={}", result.failed, result.revision)
        val failed = result.failed.toSet()
        for (part in group) {
            part.dropped()
            if (part.guards.any { it.key in failed }) outdated[part.job] = result.revision
        }
        link.caughtUp { }
    }

    companion object {
        private val LOG = LoggerFactory.getLogger(Changes::class.java)
        private const val MAX_OPEN = 4
        private const val KEPT_PART = 0.25
        private const val MOST_RECORDS_AHEAD = 2
        private const val LONGEST_HOLD: Micros = 2 * SECOND
        private const val ALONE: Micros = 30 * SECOND
        private const val SET_ASIDE: Micros = 10 * SECOND
        private const val MAX_BYTES = 40 * 1024
        private const val WRITE_OVERHEAD = 40
    }
}
