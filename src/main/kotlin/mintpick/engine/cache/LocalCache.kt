package mintpick.engine.cache

import it.unimi.dsi.fastutil.longs.Long2IntOpenHashMap
import it.unimi.dsi.fastutil.objects.Object2LongOpenHashMap
import kotlinx.serialization.builtins.ListSerializer
import kotlinx.serialization.json.JsonElement
import kotlinx.serialization.json.jsonPrimitive
import mintpick.core.Job
import mintpick.core.JobId
import mintpick.core.MachineId
import mintpick.core.NodeId
import mintpick.core.Resources
import mintpick.core.TaskId
import mintpick.core.demand
import mintpick.core.isProduction
import mintpick.core.isService
import mintpick.core.predecessorIds
import mintpick.dependencies.DependencyGraph
import mintpick.dependencies.PredecessorState
import mintpick.dependencies.Readiness
import mintpick.store.Keys
import mintpick.store.RecordCodec
import mintpick.store.SpecPieces
import mintpick.wire.ClaimRecord
import mintpick.wire.FormatRecord
import mintpick.wire.JobRecord
import mintpick.wire.JobSpec
import mintpick.wire.MachineRecord
import mintpick.wire.MachineType
import mintpick.wire.NodeRecord
import mintpick.wire.StoredStage
import mintpick.wire.UsageRecord
import mintpick.wire.WireJson
import org.slf4j.LoggerFactory
import java.util.TreeMap

/** A claim as it stands: who holds it, and the version that serves as fencing token. */
data class Claim(
    val node: NodeId,
    val lease: Long,
    val version: Long,
)

data class KnownMachine(
    val id: MachineId,
    val record: MachineRecord,
    /** Stored by an earlier version, in a record of its own. */
    val legacy: Boolean = false,
)

/** How a job stands that needs nothing more. */
data class FinalJob(
    val stage: StoredStage,
    val tasks: Int,
)

/**
 * This controller's copy of the service's records. Changes arrive from the watch and from this
 * controller's own transactions, in any order: the higher version of a key wins.
 */
class LocalCache {
    var revision: Long = 0
        private set
    private val versions = Object2LongOpenHashMap<String>()
    private val jobMap = HashMap<JobId, Job>()
    private val finals = Long2IntOpenHashMap()
    private val tasksByMachine = HashMap<MachineId, MutableMap<TaskId, Int>>()
    private val usedByMachine = HashMap<MachineId, Resources>()
    private val servicesByMachine = HashMap<MachineId, Resources>()
    private val usedByTeam = HashMap<String, Resources>()

    val jobs: Collection<Job> get() = jobMap.values
    val claims = HashMap<Int, Claim>()
    val borrows = HashMap<MachineId, Claim>()

    /** When borrowings ended, as revisions: all commands that were given by them have lower tokens. */
    val borrowEnds = HashMap<MachineId, Long>()
    val machines = HashMap<MachineId, KnownMachine>()
    val nodes = HashMap<NodeId, NodeRecord>()

    /** Use by team as each controller has stored it, by piece. */
    val usage = HashMap<NodeId, MutableMap<Int, UsageRecord>>()
    var leader: Claim? = null
        private set
    var types: Map<String, MachineType> = emptyMap()
        private set

    /** Specifications that are apart from their jobs' main records, by piece. */
    private val specPieces = HashMap<JobId, TreeMap<Int, String>>()

    /** Main records that were read before all pieces of their specifications. */
    private val incomplete = HashMap<JobId, Pair<JobRecord, Long>>()
    private val typePieces = TreeMap<Int, List<MachineType>>()
    private val tables = HashMap<Keys.Subject.MachineList, Set<MachineId>>()
    private val waitingIds = LinkedHashSet<JobId>()

    /** What follows for a job from the records of the jobs that it waits for. */
    val dependencies = DependencyGraph()

    /** Cancelled jobs without a task left, whose records do not say yet that they are over. */
    private val closableIds = LinkedHashSet<JobId>()

    /** The newest record format that each controller has announced; absent: the oldest. */
    val formats = HashMap<NodeId, Int>()

    /** Machines whose assigned tasks or records have changed since this was last emptied. */
    val touched = HashSet<MachineId>()

    /** Rises whenever a claim, a borrowing or the set of machines changes. */
    var controlEpoch = 0L
        private set

    /** Rises with claims and borrowings alone: the list of machines changes several times a second while a fleet grows. */
    var claimEpoch = 0L
        private set

    /** Processors of all machines, worked out anew when one comes or goes. */
    val cpus: Double
        get() {
            if (cpusAt != controlEpoch) {
                cpusAt = controlEpoch
                allCpus = machines.values.sumOf { types[it.record.type]?.cpus ?: 0.0 }
            }
            return allCpus
        }
    private var allCpus = 0.0
    private var cpusAt = -1L

    /** Open jobs with tasks that wait. */
    fun waitingJobs(): List<Job> = waitingIds.mapNotNull { jobMap[it] }

    /** Cancelled jobs that have tasks left. */
    fun cancelledJobs(): List<String> =
        jobMap.values.filter { it.stage == StoredStage.CANCELLED && it.id !in closableIds }.map { it.id.text }

    /**
     * Cancelled jobs without a task left, whose records do not say yet that they are over: those withdrawn with one that
     * they need, and large ones, of which a task may have been placed unseen until their cancellation was stored.
     */
    fun closableJobs(): Sequence<Job> = closableIds.asSequence().mapNotNull { jobMap[it] }

    fun job(id: JobId): Job? = jobMap[id]

    fun final(id: JobId): FinalJob? {
        val code = finals.get(finalKey(id) ?: return null)
        return when {
            code > 0 -> FinalJob(StoredStage.DONE, code)
            code < 0 -> FinalJob(StoredStage.CANCELLED, -code)
            else -> null
        }
    }

    fun knows(id: JobId): Boolean = id in jobMap || final(id) != null

    fun version(key: String): Long = versions.getLong(key)

    /** How many pieces the machine types are stored in. */
    val typePieceCount: Int get() = typePieces.size

    /** Tasks assigned to a machine, with their attempts. */
    fun tasksOn(machine: MachineId): Map<TaskId, Int> = tasksByMachine[machine] ?: emptyMap()

    fun machinesWithTasks(): Set<MachineId> = tasksByMachine.keys

    fun usedOn(machine: MachineId): Resources = usedByMachine[machine] ?: Resources.ZERO

    /** What services take of a machine; the rest of what is used makes way for them. */
    fun servicesOn(machine: MachineId): Resources = servicesByMachine[machine] ?: Resources.ZERO

    fun usedBy(team: String): Resources = usedByTeam[team] ?: Resources.ZERO

    fun reached(revision: Long) {
        if (revision > this.revision) this.revision = revision
    }

    /** Applies one change; false if it was known or out of date. */
    fun apply(
        key: String,
        value: JsonElement?,
        version: Long,
    ): Boolean {
        if (versions.getLong(key) >= version) return false
        // A dropped key keeps its version: a late copy of an earlier write must not bring it back.
        val subject = Keys.parse(key)
        // A chunk seen before its job (pages of a load are not one moment) comes again with the watch.
        if (subject is Keys.Subject.Chunk && value != null && JobId(subject.id) !in jobMap) return false
        versions.put(key, version)
        if (subject == null) return true
        try {
            applyTo(subject, value, version)
        } catch (e: IllegalArgumentException) {
            LOG.error("record key={} unreadable reason={}", key, e.message)
        }
        return true
    }

    private fun applyTo(
        subject: Keys.Subject,
        value: JsonElement?,
        version: Long,
    ) {
        if (subject is Keys.Subject.Shard || subject is Keys.Subject.Borrow) claimEpoch++
        if (subject is Keys.Subject.Shard ||
            subject is Keys.Subject.Borrow ||
            subject is Keys.Subject.MachineList ||
            subject is Keys.Subject.Machine
        ) {
            controlEpoch++
        }
        when (subject) {
            is Keys.Subject.Job -> applyJob(JobId(subject.id), value, version)
            is Keys.Subject.Chunk -> applyChunk(subject, value, version)
            is Keys.Subject.Spec -> applySpec(JobId(subject.id), subject.piece, value)
            is Keys.Subject.Shard -> set(claims, subject.index, value) { claim(it, version) }
            is Keys.Subject.Borrow -> applyBorrow(MachineId(subject.machine), value, version)
            is Keys.Subject.Machine -> {
                set(machines, MachineId(subject.machine), value) {
                    KnownMachine(MachineId(subject.machine), WireJson.decodeFromJsonElement(MachineRecord.serializer(), it), legacy = true)
                }
                touched += MachineId(subject.machine)
            }
            is Keys.Subject.MachineList -> applyMachineList(subject, value)
            Keys.Subject.Epoch -> Unit
            is Keys.Subject.Format ->
                set(formats, NodeId(subject.node), value) { WireJson.decodeFromJsonElement(FormatRecord.serializer(), it).level }
            is Keys.Subject.Node -> set(nodes, NodeId(subject.node), value) { WireJson.decodeFromJsonElement(NodeRecord.serializer(), it) }
            is Keys.Subject.Usage ->
                set(
                    usage.getOrPut(NodeId(subject.node)) { HashMap() },
                    subject.piece,
                    value,
                ) { WireJson.decodeFromJsonElement(UsageRecord.serializer(), it) }
            is Keys.Subject.Team -> Unit
            Keys.Subject.Leader -> leader = value?.let { claim(it, version) }
            is Keys.Subject.Types -> {
                set(typePieces, subject.piece, value, ::decodeTypes)
                if (typePieces.isNotEmpty()) types = typePieces.values.flatten().associateBy { it.name }
            }
        }
    }

    private fun applyBorrow(
        machine: MachineId,
        value: JsonElement?,
        version: Long,
    ) {
        if (value == null) borrowEnds[machine] = version else borrowEnds.remove(machine)
        set(borrows, machine, value) { claim(it, version) }
    }

    private fun applyMachineList(
        table: Keys.Subject.MachineList,
        value: JsonElement?,
    ) {
        val after = value?.let(RecordCodec::decodeMachineList).orEmpty()
        for (id in tables[table].orEmpty()) {
            if (id in after || tables.any { (other, ids) -> other != table && id in ids }) continue
            machines.remove(id)
            borrowEnds.remove(id)
            touched += id
        }
        for ((id, record) in after) {
            if (machines[id]?.let { it.record == record && !it.legacy } == true) continue
            machines[id] = KnownMachine(id, record)
            touched += id
        }
        if (value == null) tables.remove(table) else tables[table] = after.keys
    }

    /** The machines of one part, by the pieces that its list is kept in. */
    fun tablesOf(part: Int): Map<Int, Map<MachineId, MachineRecord>> =
        tables.filterKeys { it.part == part }.entries.associate { (table, ids) ->
            table.piece to ids.mapNotNull { id -> machines[id]?.let { id to it.record } }.toMap()
        }

    private inline fun <K, V> set(
        map: MutableMap<K, V>,
        key: K,
        value: JsonElement?,
        decode: (JsonElement) -> V,
    ) {
        if (value == null) map.remove(key) else map[key] = decode(value)
    }

    private fun claim(
        value: JsonElement,
        version: Long,
    ) = WireJson.decodeFromJsonElement(ClaimRecord.serializer(), value).let { Claim(NodeId(it.node), it.lease, version) }

    private fun applyJob(
        id: JobId,
        value: JsonElement?,
        version: Long,
    ) {
        val before = jobMap[id]
        val record = value?.let(RecordCodec::decodeJob)
        if (record == null) {
            replace(id, before, null)
            dependencies.remove(id)
            return
        }
        if (record.isFinal) {
            finalKey(id)?.let { finals.put(it, if (record.stage == StoredStage.DONE) record.tasks else -record.tasks) }
            replace(id, before, null)
            dependencies.remove(id)
            ended(id, record.stage)
            return
        }
        val others =
            before?.let { job -> (1 until job.chunkCount).associateWith { job.chunk(it) }.filterValues { it.version > 0 } }.orEmpty()
        val stored = RecordCodec.job(id, record, version, others, before?.spec ?: specApart(id, record.specPieces ?: 0))
        if (stored == null) {
            incomplete[id] = record to version
            return
        }
        incomplete.remove(id)
        val job = derived(stored)
        replace(id, before, job)
        if (job.stage == StoredStage.CANCELLED) ended(id, StoredStage.CANCELLED)
    }

    private fun applySpec(
        id: JobId,
        piece: Int,
        value: JsonElement?,
    ) {
        val pieces = specPieces.getOrPut(id) { TreeMap() }
        set(pieces, piece, value) { it.jsonPrimitive.content }
        if (pieces.isEmpty()) specPieces.remove(id)
        val (record, version) = incomplete[id] ?: return
        applyJob(id, WireJson.encodeToJsonElement(JobRecord.serializer(), record), version)
    }

    /** The specification that is kept apart, once all of its [count] pieces are known. */
    private fun specApart(
        id: JobId,
        count: Int,
    ): JobSpec? {
        val pieces = specPieces[id]?.headMap(count) ?: return null
        return if (count == 0 || pieces.size < count) null else SpecPieces.join(pieces.values)
    }

    /** Piece [index] of [id]'s specification; null: not known. */
    fun specPiece(
        id: JobId,
        index: Int,
    ): String? = specPieces[id]?.get(index)

    /** Jobs that specifications are kept of apart from main records, whether there is such a job or not. */
    val specsApart: Set<JobId> get() = specPieces.keys

    /** Numbers of the pieces of [id]'s specification. */
    fun specPiecesOf(id: JobId): Set<Int> = specPieces[id]?.keys.orEmpty()

    /** A job as it stands by its own record and by those of the jobs that it waits for. */
    private fun derived(stored: Job): Job =
        when (dependencies.add(stored.id, stored.spec.predecessorIds, ::predecessorState)) {
            Readiness.RELEASED -> stored
            Readiness.WAITING -> stored.with(isReleased = false)
            Readiness.WITHDRAWN -> stored.with(stage = StoredStage.CANCELLED, isReleased = false)
        }

    private fun predecessorState(id: JobId): PredecessorState =
        when (final(id)?.stage ?: jobMap[id]?.stage) {
            StoredStage.DONE -> PredecessorState.DONE
            StoredStage.CANCELLED -> PredecessorState.CANCELLED
            else -> PredecessorState.PENDING
        }

    /** What follows for the jobs that wait for [id]. */
    private fun ended(
        id: JobId,
        stage: StoredStage,
    ) {
        if (stage == StoredStage.DONE) {
            for (next in dependencies.done(id)) jobMap[next]?.let { replace(next, it, it.with(isReleased = true)) }
        } else {
            for (next in dependencies.cancelled(id)) {
                val job = jobMap[next] ?: continue
                replace(next, job, job.with(stage = StoredStage.CANCELLED))
            }
        }
    }

    private fun applyChunk(
        subject: Keys.Subject.Chunk,
        value: JsonElement?,
        version: Long,
    ) {
        if (value == null) return
        val id = JobId(subject.id)
        val record = RecordCodec.decodeChunk(value)
        val job = jobMap[id] ?: return
        if (subject.index >= job.chunkCount) return
        replace(id, job, job.with(chunk = subject.index to RecordCodec.chunk(record, job.sizeOf(subject.index), version)))
    }

    private fun replace(
        id: JobId,
        before: Job?,
        after: Job?,
    ) {
        before?.let { account(it, -1) }
        after?.let { account(it, 1) }
        if (after == null) jobMap.remove(id) else jobMap[id] = after
        if (after != null && after.stage == StoredStage.CANCELLED && after.placed == 0) closableIds += id else closableIds -= id
        if (after != null && after.waiting > 0) waitingIds += id else waitingIds -= id
    }

    private fun account(
        job: Job,
        sign: Int,
    ) {
        val demand = job.spec.demand
        var count = 0
        for ((task, at) in job.placements()) {
            count++
            touched += at.machine
            val tasks = tasksByMachine.getOrPut(at.machine) { HashMap() }
            val id = TaskId(job.id, task)
            if (sign > 0) tasks[id] = at.attempt else tasks.remove(id)
            if (tasks.isEmpty()) {
                tasksByMachine.remove(at.machine)
                usedByMachine.remove(at.machine)
                servicesByMachine.remove(at.machine)
            } else {
                usedByMachine[at.machine] = usedOn(at.machine) + demand * sign.toDouble()
                if (job.spec.isService ||
                    job.spec.isProduction
                ) {
                    servicesByMachine[at.machine] = servicesOn(at.machine) + demand * sign.toDouble()
                }
            }
        }
        if (count > 0) usedByTeam[job.spec.team] = usedBy(job.spec.team) + demand * (sign * count).toDouble()
    }

    private fun finalKey(id: JobId): Long? {
        val digits = id.text.substringAfterLast('-')
        return digits.toLongOrNull()?.let { it * FINAL_KEY_LENGTHS + digits.length }
    }

    companion object {
        private val LOG = LoggerFactory.getLogger(LocalCache::class.java)

        /** Ids differ by leading zeros too, so a key is the number and its length. */
        private const val FINAL_KEY_LENGTHS = 20
        private val TYPE_LIST = ListSerializer(MachineType.serializer())

        fun decodeTypes(value: JsonElement): List<MachineType> = WireJson.decodeFromJsonElement(TYPE_LIST, value)

        private fun encodeTypes(types: List<MachineType>): JsonElement = WireJson.encodeToJsonElement(TYPE_LIST, types)

        /** [types] in as few lists as fit into values of [valueBytes]; the first alone if [isWhole], whatever its size. */
        fun typePieces(
            types: List<MachineType>,
            valueBytes: Double,
            isWhole: Boolean,
        ): List<JsonElement> {
            if (isWhole) return listOf(encodeTypes(types))
            val pieces = ArrayList<List<MachineType>>()
            for (type in types) {
                val longer = pieces.lastOrNull().orEmpty() + type
                if (pieces.isNotEmpty() && encodeTypes(longer).toString().length <= valueBytes) {
                    pieces[pieces.lastIndex] = longer
                } else {
                    pieces += listOf(type)
                }
            }
            return pieces.map(::encodeTypes)
        }
    }
}
