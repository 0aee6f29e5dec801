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
 * This controller's copy of the service's records: a cache for each kind of record, and indexes over them. Changes arrive
 * from the watch and from this controller's own transactions, in any order: the higher version of a key wins.
 *
 * Event-loop thread only. Collections are views that change with the cache.
 */
class LocalCache {
    private val versions = Object2LongOpenHashMap<String>()

    /** Machines whose assigned tasks or records have changed since this was last emptied. */
    val changedMachines: MutableSet<MachineId> = HashSet()
    private val placementIndex = PlacementIndex(changedMachines)
    private val jobCache = JobCache(placementIndex)
    private val machineCache = MachineCache(changedMachines)
    private val claimCache = ClaimCache()
    private val controllerCache = ControllerCache()

    /** Everything up to this revision of the state service is in the cache. */
    var revision: Long = 0
        private set

    /** Jobs that are not in a final stage. */
    val jobs: Collection<Job> get() = jobCache.jobs

    /** What follows for a job from the records of its predecessors. */
    val dependencies: DependencyGraph get() = jobCache.dependencies

    /** Jobs with specifications stored in pieces of their own, whether there is such a job or not. */
    val jobsWithSpecPieces: Set<JobId> get() = jobCache.specPieces.jobs

    /** Claims by shard. */
    val claims: Map<Int, Claim> get() = claimCache.claims

    /** Claims of borrowed machines: their holders command them whoever holds their shards. */
    val borrows: Map<MachineId, Claim> get() = claimCache.borrows

    /** Revisions at which borrowings ended: all commands that were given under them have lower tokens. */
    val borrowEndRevisions: Map<MachineId, Long> get() = claimCache.borrowEndRevisions

    /** The leader's claim; null: there is no leader. */
    val leader: Claim? get() = claimCache.leader

    /** All known machines. */
    val machines: Map<MachineId, KnownMachine> get() = machineCache.machines

    /** Machine types by name; empty until they are known. */
    val machineTypes: Map<String, MachineType> get() = machineCache.machineTypes

    /** How many pieces the machine types are stored in. */
    val machineTypePieceCount: Int get() = machineCache.machineTypePieceCount

    /** Processors of all machines, computed anew when [controlEpoch] has risen. */
    val totalCpus: Double get() = machineCache.totalCpus(controlEpoch)

    /** Controllers whose lease of the state service holds. */
    val nodes: Map<NodeId, NodeRecord> get() = controllerCache.nodes

    /** The newest record format that each controller has announced; absent: the oldest. */
    val announcedFormats: Map<NodeId, Int> get() = controllerCache.announcedFormats

    /** Use by team as each controller has stored it, by piece. */
    val usage: Map<NodeId, Map<Int, UsageRecord>> get() = controllerCache.usage

    /** Rises whenever a shard's claim, a borrowing or the set of machines changes. */
    val controlEpoch: Long get() = claimCache.epoch + machineCache.epoch

    /** Rises with claims and borrowings alone: the list of machines changes several times a second while a fleet grows. */
    val claimEpoch: Long get() = claimCache.epoch

    /** The job [id]; null: it is in a final stage, or not known. */
    fun job(id: JobId): Job? = jobCache.job(id)

    /** The job [id] if it is in a final stage. */
    fun finalJob(id: JobId): FinalJob? = jobCache.finalJob(id)

    /** Whether the job [id] is known, in whichever stage. */
    fun isKnown(id: JobId): Boolean = job(id) != null || finalJob(id) != null

    /** Open jobs with tasks to place, the one that has been so for longest first. */
    fun waitingJobs(): List<Job> = jobCache.waitingJobs()

    /** Ids of the cancelled jobs that have tasks left. */
    fun cancelledJobs(): List<String> = jobCache.cancelledJobs()

    /**
     * Cancelled jobs without a task left, whose records are not final yet: those withdrawn with a predecessor, and large
     * ones, of which a task may have been placed unseen until their cancellation was stored.
     */
    fun finalizableJobs(): Sequence<Job> = jobCache.finalizableJobs()

    /** Piece [index] of [id]'s specification; null: not known. */
    fun specPiece(
        id: JobId,
        index: Int,
    ): String? = jobCache.specPieces.piece(id, index)

    /** Numbers of the pieces of [id]'s specification. */
    fun specPieceNumbers(id: JobId): Set<Int> = jobCache.specPieces.pieceNumbers(id)

    /** The version of [key] as it is known, deletions included; 0: never seen. */
    fun version(key: String): Long = versions.getLong(key)

    /** Tasks assigned to [machine], with their attempts. */
    fun tasksOn(machine: MachineId): Map<TaskId, Int> = placementIndex.tasksOn(machine)

    /** Machines that tasks are assigned to. */
    fun machinesWithTasks(): Set<MachineId> = placementIndex.machines

    /** What the tasks on [machine] take. */
    fun usedOn(machine: MachineId): Resources = placementIndex.usedOn(machine)

    /** What services and production work take of [machine]; the rest of what is used can be preempted for them. */
    fun usedByServicesOn(machine: MachineId): Resources = placementIndex.usedByServicesOn(machine)

    /** What the placed tasks of [team] take. */
    fun usedBy(team: String): Resources = placementIndex.usedBy(team)

    /** The machines of one partition, by the pieces that its list is stored in. */
    fun machineListsOf(partition: Int): Map<Int, Map<MachineId, MachineRecord>> = machineCache.listsOf(partition)

    /** Notes that everything up to [revision] has been applied. */
    fun advanceTo(revision: Long) {
        if (revision > this.revision) this.revision = revision
    }

    /**
     * Applies one change, a deletion if [value] is null; false if it was known or out of date. An unreadable record is
     * logged and counts as applied.
     */
    fun apply(
        key: String,
        value: JsonElement?,
        version: Long,
    ): Boolean {
        if (versions.getLong(key) >= version) return false
        val subject = Keys.parse(key)
        // A chunk seen before its job (pages of a load are not one moment) comes again with the watch.
        if (subject is Keys.Subject.Chunk && value != null && job(JobId(subject.id)) == null) return false
        // A deleted key keeps its version: a late copy of an earlier write must not bring it back.
        versions.put(key, version)
        if (subject == null) return true
        try {
            dispatch(subject, value, version)
        } catch (e: IllegalArgumentException) {
            LOG.error("record key={} unreadable reason={}", key, e.message)
        }
        return true
    }

    private fun dispatch(
        subject: Keys.Subject,
        value: JsonElement?,
        version: Long,
    ) {
        when (subject) {
            is Keys.Subject.Job -> jobCache.applyJob(JobId(subject.id), value, version)
            is Keys.Subject.Chunk -> jobCache.applyChunk(JobId(subject.id), subject.index, value, version)
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
            // Only their versions are used, by guards.
            Keys.Subject.Epoch, is Keys.Subject.Team -> Unit
        }
    }

    private companion object {
        val LOG = LoggerFactory.getLogger(LocalCache::class.java)
    }
}
