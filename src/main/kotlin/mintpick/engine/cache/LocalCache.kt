package mintpick.engine.cache

import it.unimi.dsi.fastutil.objects.Object2LongOpenHashMap
import kotlinx.serialization.json.JsonElement
import mintpick.core.Job
import mintpick.core.JobId
import mintpick.core.MachineId
import mintpick.core.NodeId
import mintpick.core.Resources
import mintpick.core.TaskId
import mintpick.dependencies.DependencyGraph
import mintpick.store.Keys
import mintpick.wire.MachineRecord
import mintpick.wire.MachineType
import mintpick.wire.NodeRecord
import mintpick.wire.UsageRecord
import org.slf4j.LoggerFactory

/**
 * Local copy of the state store's records: a cache for each kind of record, and indexes derived from them. Changes arrive from
 * the watch and from this controller's own transactions in any order; the highest version of a key wins.
 *
 * Event-loop thread only. Collections are views that change with the cache.
 */
class LocalCache {
    private val versions = Object2LongOpenHashMap<String>()

    /** Machines whose placed tasks or records have changed since this set was last cleared. */
    val changedMachines: MutableSet<MachineId> = HashSet()
    private val placementIndex = PlacementIndex(changedMachines)
    private val jobCache = JobCache(placementIndex)
    private val machineCache = MachineCache(changedMachines)
    private val claimCache = ClaimCache()
    private val controllerCache = ControllerCache()
    private val earlyChunks = EarlyChunks()

    /** All changes up to this revision of the state store are in the cache. */
    var revision: Long = 0
        private set

    /** Number of chunks that wait for their job's main record, or for the specification that it refers to. */
    val earlyChunkCount: Int get() = earlyChunks.size

    /** Number of open jobs whose separately stored specifications are not known completely. */
    val incompleteJobCount: Int get() = jobCache.incompleteCount

    /** Estimated bytes of the open jobs with their names and dependencies, without their placed tasks. */
    val openJobBytes: Long get() = jobCache.estimatedBytes

    /** Number of placed tasks of all jobs. */
    val placedTaskCount: Int get() = placementIndex.taskCount

    /** Jobs that are not in a final stage. */
    val jobs: Collection<Job> get() = jobCache.jobs

    /** Dependencies between jobs, with the readiness that follows from the records of predecessors. */
    val dependencies: DependencyGraph get() = jobCache.dependencies

    /** Ids with separately stored specification pieces, whether or not a job record exists. */
    val jobsWithSpecPieces: Set<JobId> get() = jobCache.specPieces.jobs

    /** Claims on shards, by shard index. */
    val claims: Map<Int, Claim> get() = claimCache.claims

    /** Claims on borrowed machines. The owner of such a claim controls the machine, whichever controller owns its shard. */
    val borrows: Map<MachineId, Claim> get() = claimCache.borrows

    /** Revisions at which borrowings ended. All commands issued under these borrowings have lower fencing tokens. */
    val borrowEndRevisions: Map<MachineId, Long> get() = claimCache.borrowEndRevisions

    /** The leader's claim; null if there is no leader. */
    val leader: Claim? get() = claimCache.leader

    /** All known machines. */
    val machines: Map<MachineId, KnownMachine> get() = machineCache.machines

    /** The listed machine at [address]; the one that was rented last if several have been there. Null if none is known. */
    fun newestMachineAt(address: String): MachineId? = machineCache.newestAt(address)

    /** Machine types by name; empty until they are known. */
    val machineTypes: Map<String, MachineType> get() = machineCache.machineTypes

    /** Number of pieces that the machine types are stored in. */
    val machineTypePieceCount: Int get() = machineCache.machineTypePieceCount

    /** Total CPUs of all machines, recomputed when [controlChangeCount] has changed. */
    val totalCpus: Double get() = machineCache.totalCpus(controlChangeCount)

    /** Registrations of the controllers whose leases have not expired. */
    val nodes: Map<NodeId, NodeRecord> get() = controllerCache.nodes

    /** Level of the newest record format that each controller has announced. A controller without an entry reads only the oldest. */
    val announcedFormats: Map<NodeId, Int> get() = controllerCache.announcedFormats

    /** Usage by team as stored by each controller, by piece. */
    val usage: Map<NodeId, Map<Int, UsageRecord>> get() = controllerCache.usage

    /** Increases whenever a claim on a shard or a borrowed machine, a machine record or a machine list changes. */
    val controlChangeCount: Long get() = claimCache.changeCount + machineCache.changeCount

    /**
     * Increases only when a claim on a shard or a borrowed machine changes. Machine lists, in contrast, change several times a
     * second while a cluster grows.
     */
    val claimChangeCount: Long get() = claimCache.changeCount

    /** The job [id]; null if it is in a final stage, or if it is unknown. */
    fun job(id: JobId): Job? = jobCache.job(id)

    /** The job [id] if it is in a final stage. */
    fun finalJob(id: JobId): FinalJob? = jobCache.finalJob(id)

    /** Whether the job [id] is known, in any stage. */
    fun isKnown(id: JobId): Boolean = job(id) != null || finalJob(id) != null

    /** Jobs with tasks to place, in the order in which the cache first saw them waiting. */
    fun waitingJobs(): List<Job> = jobCache.waitingJobs()

    /** Ids of the cancelled jobs that still have placed tasks. */
    fun cancelledJobs(): List<String> = jobCache.cancelledJobs()

    /**
     * Jobs that have ended but whose final records have not been written yet:
     * - open jobs whose tasks are all done. Controllers that record the last tasks of different chunks at the same time do not see
     *   each other's update, so none of them writes the final record.
     * - cancelled jobs without placed tasks. These are jobs cancelled with a predecessor, and jobs with several chunks: until their
     *   cancellation was stored, a task could still be placed in a chunk that the canceller had not seen.
     */
    fun finalizableJobs(): Sequence<Job> = jobCache.finalizableJobs()

    /** Piece [index] of [id]'s specification; null if it is unknown. */
    fun specPiece(
        id: JobId,
        index: Int,
    ): String? = jobCache.specPieces.piece(id, index)

    /** Numbers of the known pieces of [id]'s specification. */
    fun specPieceNumbers(id: JobId): Set<Int> = jobCache.specPieces.pieceNumbers(id)

    /** Last known version of [key], including deletions; 0 if the key was never seen. */
    fun version(key: String): Long = versions.getLong(key)

    /** Tasks placed on [machine], with their attempts. */
    fun tasksOn(machine: MachineId): Map<TaskId, Int> = placementIndex.tasksOn(machine)

    /** Machines that tasks are placed on. */
    fun machinesWithTasks(): Set<MachineId> = placementIndex.machines

    /** Resources used by the tasks on [machine]. */
    fun usedOn(machine: MachineId): Resources = placementIndex.usedOn(machine)

    /** Resources used on [machine] by services and production work, for which all other tasks can be preempted. */
    fun usedByServicesOn(machine: MachineId): Resources = placementIndex.usedByServicesOn(machine)

    /** Resources used by the placed tasks of [team]. */
    fun usedBy(team: String): Resources = placementIndex.usedBy(team)

    /** The machines of one partition, by piece of its machine list. */
    fun machineListsOf(partition: Int): Map<Int, Map<MachineId, MachineRecord>> = machineCache.listsOf(partition)

    /** Whether all changes up to [revision] are in the cache. Own writes may be in it before earlier ones of other controllers. */
    fun hasReadUpTo(revision: Long): Boolean = this.revision >= revision

    /** Records that all changes up to [revision] have been applied. */
    fun advanceTo(revision: Long) {
        if (revision > this.revision) this.revision = revision
    }

    /**
     * Applies one change, or a deletion if [value] is null. Returns false if the change is already known or outdated. An
     * unreadable record is logged and counts as applied.
     */
    fun apply(
        key: String,
        value: JsonElement?,
        version: Long,
    ): Boolean {
        if (versions.getLong(key) >= version) return false
        val subject = Keys.parse(key)
        // The chunks of a final job are never read again.
        if (subject is Keys.Subject.Chunk && value != null && finalJob(JobId(subject.id)) != null) return false
        // The version of a deleted key is kept: a delayed copy of an earlier write must not restore the record.
        versions.put(key, version)
        if (subject == null) return true
        dispatchReadable(key, subject, value, version)
        when (subject) {
            is Keys.Subject.Job -> applyEarlyChunks(JobId(subject.id))
            is Keys.Subject.Spec -> applyEarlyChunks(JobId(subject.id))
            else -> Unit
        }
        return true
    }

    /** Applies the chunks that were received before the job [id] was known, unless it still is not; discards them if it is final. */
    private fun applyEarlyChunks(id: JobId) {
        val isFinal = finalJob(id) != null
        if (!isFinal && job(id) == null) return
        for (chunk in earlyChunks.remove(id)) {
            if (isFinal) continue
            val subject = Keys.Subject.Chunk(id.text, chunk.index)
            dispatchReadable(Keys.chunk(id.text, chunk.index), subject, chunk.value, chunk.version)
        }
    }

    private fun dispatchReadable(
        key: String,
        subject: Keys.Subject,
        value: JsonElement?,
        version: Long,
    ) {
        try {
            dispatch(subject, value, version)
        } catch (e: IllegalArgumentException) {
            LOG.error("record key={} unreadable reason={}", key, e.message)
        }
    }

    private fun dispatch(
        subject: Keys.Subject,
        value: JsonElement?,
        version: Long,
    ) {
        when (subject) {
            is Keys.Subject.Job -> jobCache.applyJob(JobId(subject.id), value, version)
            is Keys.Subject.Chunk -> applyChunk(subject, value, version)
            is Keys.Subject.Spec -> jobCache.applySpec(JobId(subject.id), subject.piece, value)
            is Keys.Subject.Shard -> claimCache.applyShard(subject.index, value, version)
            is Keys.Subject.Borrow -> claimCache.applyBorrow(MachineId(subject.machine), value, version)
            Keys.Subject.Leader -> claimCache.applyLeader(value, version)
            is Keys.Subject.Machine -> machineCache.applyMachine(MachineId(subject.machine), value)
            is Keys.Subject.MachineList -> claimCache.removeBorrowEndRevisions(machineCache.applyList(subject, value))
            is Keys.Subject.Types -> machineCache.applyTypes(subject.piece, value)
            is Keys.Subject.Node -> controllerCache.applyNode(NodeId(subject.node), value)
            is Keys.Subject.Format -> controllerCache.applyFormat(NodeId(subject.node), value)
            is Keys.Subject.Usage -> controllerCache.applyUsage(NodeId(subject.node), subject.piece, value)
            // Only the versions of these records are used, in guards.
            Keys.Subject.ShardEpoch, is Keys.Subject.Team -> Unit
        }
    }

    /** Applies a chunk; one whose job is not known completely yet is kept until it is. */
    private fun applyChunk(
        chunk: Keys.Subject.Chunk,
        value: JsonElement?,
        version: Long,
    ) {
        val id = JobId(chunk.id)
        when {
            job(id) != null -> jobCache.applyChunk(id, chunk.index, value, version)
            value != null -> earlyChunks.put(id, EarlyChunk(chunk.index, value, version))
            else -> earlyChunks.remove(id, chunk.index)
        }
    }

    private companion object {
        val LOG = LoggerFactory.getLogger(LocalCache::class.java)
    }
}
