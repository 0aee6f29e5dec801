package mintpick.engine.capacity

import mintpick.core.AttemptId
import mintpick.core.MILLI
import mintpick.core.MachineView
import mintpick.core.Micros
import mintpick.core.Resources
import mintpick.core.SECOND
import mintpick.engine.agents.AgentRegistry
import mintpick.engine.agents.CommandPlanner
import mintpick.engine.agents.MachineRegistry
import mintpick.engine.membership.ControllerHealth
import mintpick.engine.membership.ShardClaims
import mintpick.engine.runtime.EngineContext
import mintpick.engine.scheduling.Scheduler
import mintpick.engine.state.StateStoreClient
import mintpick.wire.Retiring
import mintpick.wire.TaskState

/** Looks after this controller's machines: gives up silent ones, empties noticed ones, returns borrowed ones. */
class MachineMonitor(
    private val context: EngineContext,
    private val stateStore: StateStoreClient,
    private val shardClaims: ShardClaims,
    private val agents: AgentRegistry,
    private val health: ControllerHealth,
    private val machineRegistry: MachineRegistry,
    private val commandPlanner: CommandPlanner,
    private val scheduler: Scheduler,
) {
    private var nextUs: Micros = 0
    private val borrowedSince = HashMap<mintpick.core.MachineId, Micros>()

    private val cache get() = context.cache

    fun tick() {
        if (!health.healthy() || context.now < nextUs) return
        nextUs = context.now + TICK
        giveUpSilent()
        emptyNoticed()
        giveBack()
    }

    /**
     * A machine that has fallen silent is returned, which proves it gone.
     */
    private fun giveUpSilent() {
        if (context.now - stateStore.servingSinceUs < SETTLE) return
        val mine = agents.mine.mapNotNull(agents::view).filter { it.token > 0 && shardClaims.controls(it.id) && isMissed(it) }
        val serving = mine.filterTo(HashSet(), ::servesUsers)
        // Asking hundreds of machines every second would cost more than what it finds out.
        val heartbeat = maxOf(HEARTBEAT, serving.size * SECOND / HEARTBEATS)
        val due = mine.filter { silenceOf(it) > if (it in serving) heartbeat else patience }
        // Beyond a cut a few are enough to see when it ends.
        val (open, beyond) = due.partition { health.heardFromZone(zoneOf(it), context.now - ZONE_SILENCE) }
        val drawn = if (beyond.isEmpty()) emptyList() else List(BEYOND) { beyond[context.random.nextInt(beyond.size)] }
        (open + drawn).forEach { agents.probe(it.id) }
        val silent = mine.filter { isSilent(it, it in serving) || isOneWay(it) }
        if (silent.isEmpty()) return
        val suspects = mine.count { agents.isUnreachable(it.id) }
        val many = suspects > maxOf(2, mine.size / DOUBT_PART) || (suspects == mine.size && mine.size > 1)
        val failingIn = mine.filter { agents.isUnreachable(it.id) }.groupingBy(::zoneOf).eachCount()
        for (view in silent) {
            val oneWay = isOneWay(view)
            val since = if (oneWay) agents.unreachableSince(view.id) ?: continue else agents.silentSince(view.id)
            // Heard after the first call that failed: the way to the machine's zone was open when it did not answer.
            val failing = agents.unreachableSince(view.id) ?: continue
            val peersHeard = health.heardFromZone(zoneOf(view), failing) && isOpen(view)
            // Others there fail with it and no call has got through since: then it may be we who do not reach them. Cut off
            // from its workers alone, a leader once returned 72 live machines within seconds, those of the services first.
            val alike = (failingIn[zoneOf(view)] ?: 0) > 1 && agents.reachedIn(zoneOf(view)) < failing
            if (context.now - since >
                doubt(view, many || alike, peersHeard)
            ) {
                machineRegistry.retire(view.id, Retiring.NOW, if (oneWay) "one-way" else "silent")
            }
        }
    }

    /**
     * After a cut machines are asked again before they are judged: once all that a zone had were given up the moment the
     * first of its controllers was heard again, for calls that had failed in the cut.
     */
    private fun isOpen(view: MachineView): Boolean =
        health.openSince(zoneOf(view))?.let { it == 0L || context.now - it > patience } ?: false

    /** One that is on its way back to the cloud with nothing left on it is gone before its record is. */
    private fun isMissed(view: MachineView): Boolean {
        val record = cache.machines[view.id]?.record ?: return false
        return record.retiring == Retiring.NO || cache.tasksOn(view.id).isNotEmpty()
    }

    /**
     * Its reports come but nothing reaches it: no answer has renewed its lease and no command is carried out. Another
     * controller that does reach it would have adopted it by now, and if nobody does, nobody should wait for it.
     */
    private fun isOneWay(view: MachineView): Boolean {
        val since = agents.unreachableSince(view.id) ?: return false
        return agents.failedCalls(view.id) > PROBES && context.now - since > patience + TURN_AWAY
    }

    /**
     * How long to doubt a silence. With a controller out of reach the network is the likelier fault: only what
     * has been silent for longer than its lease, and so has lost its tasks anyway, is given up. Many machines at
     * once may be our own cut from them; but then they turn to another controller, which we would hear of. In a cut of
     * a zone a controller there may keep their leases for us for a while.
     */
    private fun doubt(
        view: MachineView,
        many: Boolean,
        peersHeard: Boolean,
    ): Micros =
        when {
            !peersHeard -> context.settings.leaseUs * LEASES_DOUBTED + SILENCE + health.standInSpan(zoneOf(view))
            // Who reaches them adopts them by then.
            agents.isCutOff -> context.settings.leaseUs + SILENCE
            many -> minOf(patience + TURN_AWAY, context.settings.leaseUs)
            else -> 0
        }

    /** Longer than any pause between two reports. */
    private val patience: Micros = context.settings.reportUs * 5 / 4 + LATE

    /** Machines that serve users are asked between their reports; others only once a report is late. */
    private fun isSilent(
        view: MachineView,
        serving: Boolean,
    ): Boolean {
        val failures = agents.failedCalls(view.id)
        if (failures == 0 || health.heardElsewhere(view.id, within = silenceOf(view))) return false
        return if (serving) failures >= PROBES && silenceOf(view) > HEARTBEAT * 2 else silenceOf(view) > patience + HEARTBEAT
    }

    private fun zoneOf(view: MachineView): String? = cache.machines[view.id]?.record?.zone

    private fun servesUsers(view: MachineView): Boolean = cache.servicesOn(view.id).cpus > Resources.EPSILON

    private fun silenceOf(view: MachineView): Micros = context.now - agents.silentSince(view.id)

    /** Work on a machine with a notice moves at once: its worker need not be asked twice. */
    private fun emptyNoticed() {
        for (view in agents.views()) {
            if (view.noticeEndsUs == null ||
                !shardClaims.controls(view.id) ||
                !commandPlanner.isNoticed(view, shardClaims.control(view.id))
            ) {
                continue
            }
            if (cache.machines[view.id]?.record?.retiring == Retiring.NO) machineRegistry.retire(view.id, Retiring.DRAIN, "notice")
            if (hasRunning(view)) agents.push(view.id)
        }
    }

    private fun hasRunning(view: MachineView): Boolean =
        view.reported.any { (attempt: AttemptId, task) ->
            task.state != TaskState.EXITED && task.state != TaskState.SAVING && cache.tasksOn(view.id)[attempt.task] == attempt.attempt
        }

    private fun giveBack() {
        borrowedSince.keys.retainAll(cache.borrows.keys)
        for ((machine, claim) in cache.borrows.toMap()) {
            if (!shardClaims.isMine(claim)) continue
            val since = borrowedSince.getOrPut(machine) { context.now }
            val wanted = scheduler.unschedulable.isNotEmpty() || cache.tasksOn(machine).isNotEmpty()
            if (!wanted && context.now - since > BORROW_LEAST && stateStore.writesAllowed() > 2) shardClaims.giveBack(machine)
        }
    }

    companion object {
        private const val DOUBT_PART = 4
        private const val TICK: Micros = 250 * MILLI
        private const val LATE: Micros = 600 * MILLI
        private const val HEARTBEAT: Micros = SECOND
        private const val PROBES = 2

        /** Most machines asked in a second. */
        private const val HEARTBEATS = 25

        /** A worker gives up a report after 4 s, and its next controller answers a second later. */
        private const val TURN_AWAY: Micros = 6 * SECOND
        private const val ZONE_SILENCE: Micros = 3 * SECOND
        private const val BEYOND = 2

        /**
         * Beyond a cut work is proven gone by its lease alone; the machines are there again when the cut ends, sooner
         * than others would boot. Given up after one lease, 170 of them were returned seconds before a cut was over.
         */
        private const val LEASES_DOUBTED = 2
        private const val SILENCE: Micros = 2 * SECOND
        private const val SETTLE: Micros = 6 * SECOND
        private const val BORROW_LEAST: Micros = 20 * SECOND
    }
}
