package mintpick.engine.agents

import mintpick.core.AttemptId
import mintpick.core.JobId
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
 * In-memory index of machines: the view of each one, built from its agent's messages; the machines that this controller
 * controls and since when; and tombstones of terminated machines. Times are microseconds of the monotonic clock. Event-loop
 * thread only.
 */
internal class AgentIndex(
    private val context: EngineContext,
    private val stateStore: StateStoreClient,
    private val shardClaims: ShardClaims,
    private val health: ControllerHealth,
) {
    /** Start of this controller's uninterrupted control of a machine, and the fencing token at that time. */
    private class ControlPeriod(
        val sinceUs: Micros,
        val firstToken: Long,
    ) {
        /** Highest token of another controller that the agent has shown since [sinceUs]; 0 if there was none. */
        var highestOtherToken = 0L
    }

    /** The iteration order of this map determines the order in which machines are listed and included in peer hints. */
    private val viewsByMachine = HashMap<MachineId, MachineView>()

    /** Separate from the views because its iteration order determines the order in which machines are confirmed, probed and given tasks. */
    private val controlPeriods = HashMap<MachineId, ControlPeriod>()
    private val tombstones = HashSet<MachineId>()
    private val retainedTasks = RetainedTaskIndex()
    private val updatedMachines = HashSet<MachineId>()

    /** The newest machine that has shown an address, by address. Names of machines are in the order in which they were rented. */
    private val newestByAddress = HashMap<String, MachineId>()

    /** Addresses at which another machine has answered, by the machine that was called. */
    private val addressesOfOthers = HashMap<MachineId, String>()

    /** Attempts whose start has been logged. Filled only while debug logging is enabled. */
    private val loggedAttempts = HashSet<AttemptId>()
    private var lastControlChangeCount = -1L
    private var lastLease: Long? = null
    private var pauseEndedUs: Micros = 0

    private val cache get() = context.cache

    /** The view of [machine], or null if it was never contacted or is terminated. */
    fun view(machine: MachineId): MachineView? = viewsByMachine[machine]

    /** The view of [machine]; creates an empty one if there is none. */
    fun viewOrCreate(machine: MachineId): MachineView = viewsByMachine.getOrPut(machine) { MachineView(machine, context.now) }

    /** The views of all machines, including those of other controllers. */
    fun views(): Collection<MachineView> = viewsByMachine.values

    /** Machines controlled by this controller, as of the last [updateControlledMachines]. */
    val controlledMachines: Set<MachineId> get() = controlPeriods.keys

    /** Returns and clears the set of machines whose status was received since the last call. */
    fun takeUpdatedMachines(): Set<MachineId> = updatedMachines.toSet().also { updatedMachines.clear() }

    /** Whether [machine] has a tombstone. */
    fun isTerminated(machine: MachineId): Boolean = machine in tombstones

    /**
     * Replaces the view of [machine] by a tombstone. The machine is proven to be terminated, so later messages with its name
     * are delayed copies and must not add it to the records again.
     */
    fun markTerminated(machine: MachineId) {
        tombstones += machine
        viewsByMachine.remove(machine)?.latestStatus?.let { newestByAddress.remove(it.address, machine) }
        controlPeriods.remove(machine)
        retainedTasks.remove(machine)
        addressesOfOthers.remove(machine)
    }

    /** Records that [other] has answered a call to [machine] at [address], which is not called again until [machine] shows an address. */
    fun recordAnswerOfOther(
        machine: MachineId,
        address: String,
        other: String,
    ) {
        context.metrics.recordAnswerOfOther()
        if (addressesOfOthers.put(machine, address) != null) return
        LOG.warn("answer of another machine called={} answered={} address={}", machine.text, other, address)
    }

    /** Whether [address], the last known one of [machine], is that of another machine: of one that has answered there, or of a newer one. */
    fun isAddressOfOther(
        machine: MachineId,
        address: String,
    ): Boolean {
        if (addressesOfOthers[machine] == address) return true
        val newest = listOfNotNull(newestByAddress[address], cache.newestMachineAt(address)).maxByOrNull { it.text }
        return newest != null && newest.text > machine.text
    }

    /** Indexes of the tasks of [job] that can't start on a machine yet, because its agent lists an earlier attempt, by machine. */
    fun retainedTasksOf(job: JobId): Map<MachineId, Set<Int>> = retainedTasks.tasksOf(job)

    /** Records the end of a process pause. Missing heartbeats during the pause don't indicate a machine failure. */
    fun onProcessPause() {
        pauseEndedUs = context.now
    }

    /** Records the tasks and images in [report], the newest status of a machine. */
    fun onNewStatus(
        view: MachineView,
        report: MachineReport,
    ) {
        updatedMachines += view.id
        addressesOfOthers.remove(view.id)
        newestByAddress.merge(report.address, view.id) { before, added -> if (added.text > before.text) added else before }
        recordOtherToken(view)
        recordUnexplainedAttempts(view)
        retainedTasks.update(view)
        val cacheGb = cache.machineTypes[report.type]?.cacheGb ?: 0.0
        for ((attempt, task) in view.reportedAttempts) recordTask(view, attempt, task, cacheGb)
    }

    /**
     * Records a token above that of this controller's claim. Another controller has obtained it, so from now on the agent may obey
     * and renew its lease with that controller.
     */
    private fun recordOtherToken(view: MachineView) {
        val period = controlPeriods[view.id] ?: return
        val claim = shardClaims.controlClaim(view.id) ?: return
        if (!shardClaims.isOwn(claim) || view.token <= maxOf(claim.version, period.highestOtherToken)) return
        period.highestOtherToken = view.token
        context.metrics.recordOtherToken()
        LOG.info("higher token machine={} token={} own={} revision={}", view.id.text, view.token, claim.version, cache.revision)
    }

    /** Records attempts that an agent under this controller's token has started without a start that this controller knows of. */
    private fun recordUnexplainedAttempts(view: MachineView) {
        val unexplained = view.unexplainedAttempts
        if (unexplained.isEmpty()) return
        val claim = shardClaims.controlClaim(view.id)
        if (claim == null || !shardClaims.isOwn(claim) || view.token != claim.version) return
        context.metrics.recordUnexplainedAttempts(unexplained.size)
        val attempt = unexplained.first()
        LOG.warn(
            "unexplained start machine={} token={} task={} attempt={} count={}",
            view.id.text,
            view.token,
            attempt.task,
            attempt.attempt,
            unexplained.size,
        )
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

    /** Whether the last status is recent enough for new work to be placed on the machine. */
    fun isFresh(view: MachineView): Boolean = context.now - view.lastStatusUs < maxHeartbeatIntervalUs + FRESH_MARGIN

    /** Whether a heartbeat is overdue and no answer to a call was received in its place. */
    fun isUnresponsive(view: MachineView): Boolean = context.now - view.lastStatusUs > maxHeartbeatIntervalUs + HEARTBEAT_DELAY_MARGIN

    /** Whether the next heartbeat is overdue, regardless of answers to calls. */
    fun isHeartbeatOverdue(view: MachineView): Boolean =
        context.now - view.lastHeartbeatUs > maxHeartbeatIntervalUs + HEARTBEAT_DELAY_MARGIN

    private val maxHeartbeatIntervalUs: Micros get() = context.settings.heartbeatIntervalUs * 5 / 4

    /**
     * Whether the agent has returned a fencing token of this controller's present period of control, and none of another controller
     * since. That proves its status newer than the control, also if the token has been raised meanwhile. Receiving heartbeats is not
     * enough, because delayed copies may arrive much later.
     */
    fun isConfirmed(view: MachineView): Boolean {
        val claim = shardClaims.controlClaim(view.id) ?: return false
        if (!shardClaims.isOwn(claim) || view.latestStatus == null) return false
        // A machine that is not listed yet has no period of control.
        val period = controlPeriods[view.id] ?: return view.token == claim.version
        return view.token in period.firstToken..claim.version && view.token > period.highestOtherToken
    }

    /**
     * Start of the time in which [machine] could have contacted this controller but did not. It starts no earlier than control
     * of the machine, which sent its heartbeats to another controller before, and no earlier than the last process pause ended.
     */
    fun noContactSince(machine: MachineId): Micros {
        val lastStatusUs = viewsByMachine[machine]?.lastStatusUs ?: 0
        val controlledSinceUs = controlPeriods[machine]?.sinceUs ?: context.now
        return maxOf(lastStatusUs, controlledSinceUs, pauseEndedUs)
    }

    /**
     * Whether control of [machine] was acquired within [CONFIRMATION_GRACE_PERIOD], and its agent has not confirmed the claim
     * or the cached records are older than the claim.
     */
    fun isAwaitingConfirmation(machine: MachineId): Boolean {
        val claim = shardClaims.controlClaim(machine) ?: return false
        val controlledSinceUs = controlPeriods[machine]?.sinceUs ?: context.now
        if (context.now - controlledSinceUs > CONFIRMATION_GRACE_PERIOD) return false
        return cache.revision < claim.version || (viewsByMachine[machine]?.token ?: 0) < claim.version
    }

    /**
     * Whether the agent's lease has certainly expired, so that it has killed its tasks: no controller can have renewed the lease.
     * Silence proves that only if the agent has shown a token above all tokens of other controllers.
     */
    fun hasLeaseExpired(view: MachineView): Boolean {
        val period = controlPeriods[view.id] ?: return false
        if (!shardClaims.controls(view.id)) return false
        if (!view.hasLeaseExpired(context.now, period.sinceUs, period.firstToken, context.settings.leaseUs)) return false
        if (view.token <= maxOf(period.highestOtherToken, shardClaims.otherToken(view.id))) {
            context.metrics.recordUnprovenExpiry()
            return false
        }
        // Another controller in the machine's zone may have answered its heartbeats on behalf of this controller.
        val peerRenewalsUntilUs = health.peerRenewalsUntil(cache.machines[view.id]?.record?.zone) ?: return false
        return MachineView.isLeaseExpired(context.now, peerRenewalsUntilUs, context.settings.leaseUs)
    }

    /**
     * Updates the set of controlled machines if claims, borrowings, the controller's lease or the machine list have changed.
     * Must run before machine health is evaluated. Without this order, a machine that had just come back under control was
     * released because of calls that had failed before control of it was lost.
     */
    fun updateControlledMachines(): ControlUpdate {
        if (cache.controlChangeCount == lastControlChangeCount && stateStore.lease == lastLease) return ControlUpdate.Unchanged
        lastControlChangeCount = cache.controlChangeCount
        lastLease = stateStore.lease
        val acquired = ArrayList<MachineId>()
        for (known in cache.machines.values) {
            val claim = shardClaims.controlClaim(known.id)
            if (!shardClaims.isOwn(claim)) {
                controlPeriods.remove(known.id)
            } else if (known.id !in controlPeriods) {
                controlPeriods[known.id] = ControlPeriod(context.now, claim?.version ?: 0)
                viewsByMachine[known.id]?.let(::recordOtherToken)
                acquired += known.id
            }
        }
        controlPeriods.keys.retainAll(cache.machines.keys)
        addressesOfOthers.keys.retainAll(cache.machines.keys)
        return ControlUpdate.Changed(acquired)
    }

    companion object {
        private val LOG = LoggerFactory.getLogger(AgentIndex::class.java)

        /** How much older than the longest heartbeat interval a status may be for new work to be placed on the machine. */
        private const val FRESH_MARGIN: Micros = 2 * SECOND

        /** Delay after the longest heartbeat interval from which a heartbeat counts as overdue. */
        private const val HEARTBEAT_DELAY_MARGIN: Micros = 600 * MILLI

        /** How long an acquired machine may remain unconfirmed before it is treated like any other machine. */
        private const val CONFIRMATION_GRACE_PERIOD: Micros = 2 * SECOND
    }
}

/** Result of updating the set of controlled machines. */
internal sealed interface ControlUpdate {
    /** No claim, borrowing, lease or listed machine has changed since the last update. */
    data object Unchanged : ControlUpdate

    /** The set was recomputed; [acquired] contains the machines added to it. */
    class Changed(
        val acquired: List<MachineId>,
    ) : ControlUpdate
}
