package mintpick.engine.agents

import mintpick.core.AttemptId
import mintpick.core.MILLI
import mintpick.core.MachineId
import mintpick.core.MachineView
import mintpick.core.Micros
import mintpick.core.SECOND
import mintpick.engine.membership.ControllerHealth
import mintpick.engine.membership.ShardClaims
import mintpick.engine.runtime.EngineContext
import mintpick.engine.state.StateStoreClient
import mintpick.wire.MachineReport
import mintpick.wire.TaskReport
import mintpick.wire.TaskState
import org.slf4j.LoggerFactory

/**
 * The machines as their agents show them: the view of each, which of them this controller controls and since when, and the
 * tombstones of those that are terminated. Times are microseconds of the steady clock. Event-loop thread only.
 */
internal class AgentIndex(
    private val context: EngineContext,
    private val stateStore: StateStoreClient,
    private val shardClaims: ShardClaims,
    private val health: ControllerHealth,
) {
    /** Since when a machine has been under this controller's control without a break, and the fencing token that it began with. */
    private class ControlPeriod(
        val sinceUs: Micros,
        val firstToken: Long,
    )

    /** The iteration order of this map decides the order in which machines are listed and hinted. */
    private val viewsByMachine = HashMap<MachineId, MachineView>()

    /** A map of its own, since its iteration order decides in which order machines are confirmed, probed and given tasks. */
    private val controlPeriods = HashMap<MachineId, ControlPeriod>()
    private val tombstones = HashSet<MachineId>()
    private val updatedMachines = HashSet<MachineId>()

    /** Attempts whose first sight was logged: kept while debug logging is on, and for nothing else. */
    private val loggedAttempts = HashSet<AttemptId>()
    private var lastControlEpoch = -1L
    private var lastLease: Long? = null
    private var pauseEndedUs: Micros = 0

    private val cache get() = context.cache

    /** What is known of [machine]; null: it was never heard or called, or it is terminated. */
    fun view(machine: MachineId): MachineView? = viewsByMachine[machine]

    /** The view of [machine], an empty one that begins now if there was none. */
    fun viewOrCreate(machine: MachineId): MachineView = viewsByMachine.getOrPut(machine) { MachineView(machine, context.now) }

    /** The views of all machines, those of other controllers included. */
    fun views(): Collection<MachineView> = viewsByMachine.values

    /** Machines under this controller's control, as of the last [updateControlledMachines]. */
    val controlledMachines: Set<MachineId> get() = controlPeriods.keys

    /** Machines whose status has come since the last call. */
    fun takeUpdatedMachines(): Set<MachineId> = updatedMachines.toSet().also { updatedMachines.clear() }

    /** Whether [machine] has a tombstone. */
    fun isTerminated(machine: MachineId): Boolean = machine in tombstones

    /**
     * Puts a tombstone for [machine], which is proven gone: what still comes under this name are late copies, which must not
     * make a record of it again.
     */
    fun markTerminated(machine: MachineId) {
        tombstones += machine
        viewsByMachine.remove(machine)
        controlPeriods.remove(machine)
    }

    /** Notes the process pause that has just ended: silence during it says nothing of the machines. */
    fun onProcessPause() {
        pauseEndedUs = context.now
    }

    /** Takes in the tasks and images that the newest status of a machine, [report], shows. */
    fun onNewStatus(
        view: MachineView,
        report: MachineReport,
    ) {
        updatedMachines += view.id
        val cacheGb = cache.machineTypes[report.type]?.cacheGb ?: 0.0
        for ((attempt, task) in view.reported) recordTask(view, attempt, task, cacheGb)
    }

    private fun recordTask(
        view: MachineView,
        attempt: AttemptId,
        task: TaskReport,
        cacheGb: Double,
    ) {
        if (task.state == TaskState.FETCHING || task.state == TaskState.EXITED) return
        val job = cache.job(attempt.task.job) ?: return
        if (LOG.isDebugEnabled && loggedAttempts.add(attempt)) {
            val waitedMs = (context.wallClockUs - job.submittedUs) / MILLI
            LOG.debug("running task={} attempt={} machine={} waited_ms={}", attempt.task, attempt.attempt, view.id.text, waitedMs)
        }
        view.recordImage(job.spec.image, job.spec.imageGb, cacheGb)
    }

    /** Whether the last status is recent enough for the machine to be given work. */
    fun isFresh(view: MachineView): Boolean = context.now - view.heardUs < maxHeartbeatIntervalUs + FRESH_MARGIN

    /** Whether neither a heartbeat nor an answer to a call has come when a heartbeat was overdue. */
    fun isUnresponsive(view: MachineView): Boolean = context.now - view.heardUs > maxHeartbeatIntervalUs + OVERDUE_MARGIN

    /** Whether the next heartbeat is overdue, whatever answers to calls came. */
    fun isHeartbeatOverdue(view: MachineView): Boolean = context.now - view.reportedUs > maxHeartbeatIntervalUs + OVERDUE_MARGIN

    private val maxHeartbeatIntervalUs: Micros get() = context.settings.reportUs * 5 / 4

    /**
     * Whether the agent has shown the fencing token of this controller's claim, so that its status is newer than the claim.
     * Heartbeats alone prove no more than that somebody sent them once: copies may arrive much later.
     */
    fun isConfirmed(view: MachineView): Boolean {
        val claim = shardClaims.controlClaim(view.id) ?: return false
        return shardClaims.isOwn(claim) && view.latest != null && view.token >= claim.version
    }

    /**
     * Since when [machine] has been silent towards this controller although under its control: a machine that has just come
     * under our control sent its heartbeats elsewhere until now.
     */
    fun noContactSince(machine: MachineId): Micros {
        val heardUs = viewsByMachine[machine]?.heardUs ?: 0
        val controlledSinceUs = controlPeriods[machine]?.sinceUs ?: context.now
        return maxOf(heardUs, controlledSinceUs, pauseEndedUs)
    }

    /** Whether [machine] came under control a moment ago and is not yet confirmed, or the records are older than its claim. */
    fun isAwaitingConfirmation(machine: MachineId): Boolean {
        val claim = shardClaims.controlClaim(machine) ?: return false
        val controlledSinceUs = controlPeriods[machine]?.sinceUs ?: context.now
        if (context.now - controlledSinceUs > CONFIRMATION_GRACE_PERIOD) return false
        return cache.revision < claim.version || (viewsByMachine[machine]?.token ?: 0) < claim.version
    }

    /** Whether the agent's lease has surely expired, so that it has killed its tasks: nobody can have renewed the lease. */
    fun hasLeaseExpired(view: MachineView): Boolean {
        val period = controlPeriods[view.id] ?: return false
        if (!shardClaims.controls(view.id)) return false
        if (!view.hasLeaseExpired(context.now, period.sinceUs, period.firstToken, context.settings.leaseUs)) return false
        // Another controller in its zone may have answered its heartbeats on our behalf.
        val answeredOnBehalfUntilUs = health.peerRenewalsUntil(cache.machines[view.id]?.record?.zone) ?: return false
        return MachineView.isLeaseExpired(context.now, answeredOnBehalfUntilUs, context.settings.leaseUs)
    }

    /**
     * Brings the set of controlled machines up to date. Control changes with few records, and every such change has to be
     * seen before any machine is judged: a machine that had just come back under our control was once given up for calls
     * that had failed before we lost it.
     */
    fun updateControlledMachines(): ControlUpdate {
        if (cache.controlEpoch == lastControlEpoch && stateStore.lease == lastLease) return ControlUpdate.Unchanged
        lastControlEpoch = cache.controlEpoch
        lastLease = stateStore.lease
        val acquired = ArrayList<MachineId>()
        for (known in cache.machines.values) {
            val claim = shardClaims.controlClaim(known.id)
            if (!shardClaims.isOwn(claim)) {
                controlPeriods.remove(known.id)
            } else if (known.id !in controlPeriods) {
                controlPeriods[known.id] = ControlPeriod(context.now, claim?.version ?: 0)
                acquired += known.id
            }
        }
        controlPeriods.keys.retainAll(cache.machines.keys)
        return ControlUpdate.Changed(acquired)
    }

    companion object {
        private val LOG = LoggerFactory.getLogger(AgentIndex::class.java)

        /** By how much a status may be older than a heartbeat is due while the machine is still given work. */
        private const val FRESH_MARGIN: Micros = 2 * SECOND

        /** From this long after it is due a heartbeat is overdue. */
        private const val OVERDUE_MARGIN: Micros = 600 * MILLI

        /** How long a machine that has come under control may take to be confirmed before it counts like any other. */
        private const val CONFIRMATION_GRACE_PERIOD: Micros = 2 * SECOND
    }
}

/** What a check for changes of control has found. */
internal sealed interface ControlUpdate {
    /** No claim, borrowing, lease or listed machine has changed. */
    data object Unchanged : ControlUpdate

    /** The set was worked out anew; [acquired] came under this controller's control. */
    class Changed(
        val acquired: List<MachineId>,
    ) : ControlUpdate
}
