package mintpick.engine.capacity

import mintpick.config.Operators
import mintpick.core.Job
import mintpick.core.MachineId
import mintpick.core.Micros
import mintpick.core.Resources
import mintpick.core.Room
import mintpick.core.SECOND
import mintpick.core.ScaleOutPlanner
import mintpick.core.TeamQuota
import mintpick.core.capacity
import mintpick.core.demand
import mintpick.core.isGang
import mintpick.core.isService
import mintpick.engine.agents.AgentRegistry
import mintpick.engine.agents.CommandPlanner
import mintpick.engine.agents.MachineRegistry
import mintpick.engine.agents.Reconciler
import mintpick.engine.cache.KnownMachine
import mintpick.engine.membership.ControllerHealth
import mintpick.engine.membership.ShardClaims
import mintpick.engine.runtime.EngineContext
import mintpick.engine.scheduling.Scheduler
import mintpick.engine.state.StateStoreClient
import mintpick.wire.JobSpec
import mintpick.wire.Retiring
import mintpick.wire.StoredStage
import org.slf4j.LoggerFactory
import kotlin.math.ceil

/** The leader's policy: how much room to keep, what to rent for it, and what to return. */
class CapacityPlanner(
    private val context: EngineContext,
    private val stateStore: StateStoreClient,
    private val shardClaims: ShardClaims,
    private val agents: AgentRegistry,
    private val reconciler: Reconciler,
    private val cloudInventory: CloudInventory,
    private val machineRegistry: MachineRegistry,
    private val commandPlanner: CommandPlanner,
    private val scheduler: Scheduler,
    private val health: ControllerHealth,
    private val operators: Operators,
) {
    /** What has been seen of one class of jobs. */
    private class Seen(
        var spec: JobSpec,
    ) {
        /** Tasks wanted at a time, by whole seconds. */
        val history = ArrayDeque<Pair<Micros, Int>>()
        var largest = 1
    }

    private val classes = LinkedHashMap<String, Seen>()
    private val idleSince = HashMap<MachineId, Micros>()
    private var nextUs: Micros = 0
    private var nextLogUs: Micros = 0

    private val cache get() = context.cache

    fun tick() {
        if (!stateStore.serving || context.now < nextUs) return
        nextUs = context.now + TICK + TICK * cache.machines.size / MANY
        watchClasses()
        watchIdle()
        watchHealth()
        // A leader that the state service does not serve has perhaps been replaced already.
        if (!shardClaims.isLeader || !health.healthy() || cache.types.isEmpty() || context.now - stateStore.servingSinceUs < SETTLE) return
        logFleet()
        val scaleOutPlanner = ScaleOutPlanner(cache.types, context.settings.zones, cloudInventory::isTroubled, cloudInventory::available)
        val rooms = rooms()
        val plan = scaleOutPlanner.plan(rooms, (waiting(rooms) + expected()).sortedBy { !it.spec.isService }, MAX_NEW)
        // The most needed first: requests are few.
        plan.rent.entries
            .sortedByDescending { it.value }
            .forEach { (offer, count) -> cloudInventory.rent(offer, count, "demand") }
        if (plan.rent.isEmpty()) returnIdle(plan.unused)
    }

    /**
     * The fleet in one line, for people on call. A machine's room is given again as soon as tasks are proven to have ended
     * there, and their records follow seconds later: what the records show beyond a machine's size has nearly all ended.
     */
    private fun logFleet() {
        if (context.now < nextLogUs) return
        nextLogUs = context.now + LOG_EVERY
        for (spot in listOf(true, false)) {
            val machines = cache.machines.values.filter { it.record.spot == spot && !reconciler.isGone(it.id) }
            val cpus = machines.sumOf { cache.types[it.record.type]?.cpus ?: 0.0 }
            val recorded = machines.sumOf { cache.usedOn(it.id).cpus }
            val used = machines.sumOf { minOf(cache.usedOn(it.id).cpus, cache.types[it.record.type]?.cpus ?: 0.0) }
            val empty = machines.count { cache.tasksOn(it.id).isEmpty() }
            LOG.info(
                "fleet spot={} machines={} empty={} cpus={} used={} ended={} booting={} waiting={}",
                spot,
                machines.size,
                empty,
                cpus,
                used.toInt(),
                (recorded - used).toInt(),
                cloudInventory.booting.values.count { it.offer.spot == spot },
                cache.jobs.sumOf { it.waiting },
            )
        }
    }

    private fun watchClasses() {
        val wanted = HashMap<String, Int>()
        val teams = scheduler.teamQuota()
        for (job in cache.jobs) {
            if (job.stage != StoredStage.OPEN) continue
            val seen = classes.getOrPut(job.spec.jobClass) { Seen(job.spec) }
            seen.spec = job.spec
            seen.largest = maxOf(seen.largest, minOf(job.spec.tasks, LARGEST))
            wanted.merge(job.spec.jobClass, usable(job, teams) + job.placed, Int::plus)
        }
        for ((name, seen) in classes) {
            seen.history.addLast(context.now to (wanted[name] ?: 0))
            while (seen.history.isNotEmpty() &&
                context.now - seen.history.first().first > operators.batchMemoryUs
            ) {
                seen.history.removeFirst()
            }
        }
    }

    /** Tasks of [job] that machines would help: neither held back by its team's limit nor failing wherever they run. */
    private fun usable(
        job: Job,
        teams: TeamQuota,
    ): Int = minOf(scheduler.startable(job), teams.tasks(job.spec)).also { teams.take(job.spec, it) }

    private fun watchIdle() {
        for (id in cache.machines.keys) {
            if (cache.tasksOn(id).isEmpty()) idleSince.putIfAbsent(id, context.now) else idleSince.remove(id)
        }
        idleSince.keys.retainAll(cache.machines.keys)
    }

    /** Machines as they are or will be: the fullest first, so that what is empty stays empty. */
    private fun rooms(): List<Room> {
        val known =
            cache.machines.values.mapNotNull { machine ->
                val type = cache.types[machine.record.type]
                val lost =
                    agents.view(machine.id)?.let {
                        shardClaims.controls(machine.id) &&
                            (!agents.isFresh(it) || commandPlanner.isEmptying(it, shardClaims.control(it.id)))
                    }
                        ?: false
                if (type == null || machine.record.retiring != Retiring.NO || reconciler.isGone(machine.id) || lost) {
                    null
                } else {
                    val free = type.capacity - cache.usedOn(machine.id)
                    val record = machine.record
                    Room(machine.id, type.name, record.zone, record.spot, free, type.capacity, { false }, true, yielding(machine.id))
                }
            }
        val coming =
            cloudInventory.booting.values.mapNotNull { machine ->
                val type = cache.types[machine.offer.type] ?: return@mapNotNull null
                // Some machines take several times as long to boot, or forever: nobody should wait for them.
                if (cloudInventory.isLate(machine)) return@mapNotNull null
                Room(
                    machine.id,
                    type.name,
                    machine.offer.zone,
                    machine.offer.spot,
                    type.capacity,
                    type.capacity,
                    { false },
                    true,
                    up = false,
                )
            }
        val asked =
            cloudInventory.asked().flatMap { (offer, count) ->
                val type = cache.types[offer.type]
                List(if (type == null) 0 else count) { i ->
                    val size = requireNotNull(type).capacity
                    Room(MachineId("asked-$i"), offer.type, offer.zone, offer.spot, size, size, { false }, true, up = false)
                }
            }
        return (known + coming + asked).sortedWith(compareBy({ !it.up }, { it.free.dominantShare(it.total) }, { !it.spot }))
    }

    /** What batch work holds on a machine: services may have it, so it is no reason to rent more for them. */
    private fun yielding(machine: MachineId): Resources = cache.usedOn(machine) - cache.servicesOn(machine)

    /**
     * Work that may use spot machines is worth ordinary ones when the spot machines would need too long for
     * what waits: longer than a part of what its class is expected to take altogether.
     */
    private fun waiting(rooms: List<Room>): List<ScaleOutPlanner.Want> {
        val spotCpus = rooms.filter { it.spot }.sumOf { it.total.cpus }
        var queued = 0.0
        val teams = scheduler.teamQuota()
        return scheduler
            .order(cache.waitingJobs())
            .mapNotNull { job ->
                // What its team's limit holds back now takes its time on the machines all the same.
                queued += scheduler.startable(job) * job.spec.cpus * job.spec.estimateS
                val count = usable(job, teams)
                if (count == 0) return@mapNotNull null
                val patience = (expectation[job.spec.jobClass] ?: DEFAULT_EXPECTATION_S) * operators.queuePart
                val isSpare = scheduler.keepsToSpot(job)
                ScaleOutPlanner.Want(job.spec, count, scheduler.zonesOf(job), !isSpare && queued > patience * spotCpus, isSpare)
            }.let(::merged)
            .take(MAX_WANTS)
    }

    /** Jobs that need the same count as one: hundreds of services that wait at once are few kinds. */
    private fun merged(wants: List<ScaleOutPlanner.Want>): List<ScaleOutPlanner.Want> =
        wants
            .groupBy { want ->
                val spec = want.spec
                if (spec.oneZone ||
                    spec.isGang ||
                    want.perZone.isNotEmpty()
                ) {
                    spec.id
                } else {
                    listOf(spec.jobClass, spec.demand, spec.types, spec.zone, spec.spot, spec.spread, want.ordinary, want.spare)
                }
            }.values
            .map { same ->
                val count = same.sumOf { it.count }
                if (same.size == 1) same.first() else same.first().copy(spec = same.first().spec.copy(tasks = count), count = count)
            }

    /** Seconds within which the settings expect jobs of a class to be finished, at the tightest. */
    private val expectation: Map<String?, Double> =
        context.settings.objectives
            .filter { it.kind == "finished" && it.withinS > 0 }
            .groupBy { it.jobClass }
            .mapValues { (_, aims) -> aims.minOf { it.withinS } }

    /** Room for work that has not come yet: like the recent peak for batch work, some spare replicas in each zone for services. */
    private fun expected(): List<ScaleOutPlanner.Want> =
        classes.values.mapNotNull { seen ->
            val now = seen.history.lastOrNull()?.second ?: 0
            if (seen.spec.isService) {
                val spare = maxOf(seen.largest, ceil(now * operators.serviceHeadroom).toInt())
                val spec = seen.spec.copy(tasks = spare * 2, spread = context.settings.zones.size > 1, zone = null)
                ScaleOutPlanner.Want(spec, spare * 2)
            } else {
                val peak = seen.history.maxOfOrNull { it.second } ?: 0
                val spare = ceil(peak * operators.batchHeadroom).toInt() - now
                if (spare <=
                    0
                ) {
                    null
                } else {
                    ScaleOutPlanner.Want(seen.spec.copy(spread = false, oneZone = false), spare, ordinary = false, spare = true)
                }
            }
        }

    private fun returnIdle(unused: Set<MachineId>) {
        // One whose mark waits to be written would be picked again and again, and keep the others from being returned.
        val idle = unused.mapNotNull { cache.machines[it] }.filterNot { machineRegistry.isMarked(it.id) }.sortedBy { it.id.text }
        val (spot, ordinary) = idle.partition { it.record.spot }
        // Ordinary machines cost several times as much: beyond a few that may soon be wanted again they go early.
        val due =
            ordinary.drop(KEPT).filter { isIdleFor(it, operators.idleUs / EARLY) } +
                (ordinary.take(KEPT) + spot).filter { isIdleFor(it, operators.idleUs) }
        due.take(maxOf(2, due.size / RETURN_PART)).forEach { machineRegistry.retire(it.id, Retiring.DRAIN, "idle") }
    }

    private fun isIdleFor(
        known: KnownMachine,
        span: Micros,
    ): Boolean = context.now - (idleSince[known.id] ?: context.now) >= span

    /** Each controller empties the faulty ones among its machines: only it sees what fails there. */
    private fun watchHealth() {
        if (!health.healthy()) return
        reconciler.failures.faultyMachines().forEach { machineRegistry.retire(it, Retiring.DRAIN, "errors") }
    }

    companion object {
        private val LOG = LoggerFactory.getLogger(CapacityPlanner::class.java)
        private const val LOG_EVERY: Micros = 20 * SECOND
        private const val TICK: Micros = SECOND / 2
        private const val MANY = 1000
        private const val SETTLE: Micros = SECOND
        private const val MAX_NEW = 240
        private const val MAX_WANTS = 200
        private const val RETURN_PART = 4
        private const val EARLY = 3
        private const val KEPT = 4
        private const val DEFAULT_EXPECTATION_S = 60.0
        private const val LARGEST = 16
    }
}
