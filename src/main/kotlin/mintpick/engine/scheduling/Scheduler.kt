package mintpick.engine.scheduling

import mintpick.config.Operators
import mintpick.core.FailureTracker
import mintpick.core.Job
import mintpick.core.JobId
import mintpick.core.MILLI
import mintpick.core.MachineId
import mintpick.core.Micros
import mintpick.core.Placer
import mintpick.core.Resources
import mintpick.core.Room
import mintpick.core.SECOND
import mintpick.core.TeamQuota
import mintpick.core.capacity
import mintpick.core.demand
import mintpick.core.isGang
import mintpick.core.isProduction
import mintpick.core.isService
import mintpick.engine.agents.AgentRegistry
import mintpick.engine.agents.CommandPlanner
import mintpick.engine.agents.Reconciler
import mintpick.engine.cache.Claim
import mintpick.engine.cache.KnownMachine
import mintpick.engine.jobs.JobUpdates
import mintpick.engine.jobs.JobUrgency
import mintpick.engine.membership.ControllerHealth
import mintpick.engine.membership.ShardClaims
import mintpick.engine.runtime.EngineContext
import mintpick.engine.transactions.JobUpdate
import mintpick.wire.Priority
import mintpick.wire.Retiring
import mintpick.wire.StoredStage

/** Orders waiting jobs by fair share and assigns their tasks to machines. */
class Scheduler(
    private val context: EngineContext,
    private val shardClaims: ShardClaims,
    private val agents: AgentRegistry,
    private val commandPlanner: CommandPlanner,
    private val reconciler: Reconciler,
    private val usageAccounting: UsageAccounting,
    private val health: ControllerHealth,
    private val preemptionPlanner: PreemptionPlanner,
    private val operators: Operators,
) {
    /** A waiting job as this controller has seen it: since when its record has not moved. */
    private class UnchangedSince(
        val version: Long,
        val sinceUs: Micros,
    )

    /** What one pass works with. */
    private class Pass(
        val jobUpdates: JobUpdates,
        val draftOf: (JobId) -> JobUpdate?,
        val mine: Placer.Rooms,
        val teams: TeamQuota,
        others: () -> List<Room>,
    ) {
        /** Everybody's machines, which only the leader needs, and only for what no part can hold. */
        val wide: Placer.Rooms by lazy { mine.with(others()) }
        val toBorrow = LinkedHashSet<MachineId>()
        var writes = 0
        var overloaded = false
        var parts = false
        var partsPlaced = false
    }

    private val urgency = JobUrgency(context)
    private val placer = Placer(context.random, operators.placementSample)
    private val limits =
        context.settings.teams.associate { team ->
            team.name to Resources(orUnlimited(team.cpusMax), orUnlimited(team.gpusMax), TeamQuota.UNLIMITED)
        }
    private val unchangedSince = HashMap<JobId, UnchangedSince>()
    private var nextPartsUs: Micros = 0
    private var nextPassUs: Micros = 0
    private val cache get() = context.cache

    /** Jobs that found no room in the last pass, for the capacity planner and for preemption. */
    var unschedulable: List<Job> = emptyList()
        private set

    /** Whether some of them found no room here, rather than no time to be written. */
    var lacksRoom = false
        private set

    /** Whether a job could have been placed in the last pass, but for a write. */
    var lacksWrites = false
        private set

    /** What the last pass placed could not be written. */
    fun foundNoWrite() {
        lacksWrites = true
    }

    /** Waiting jobs, first the one to be served first. */
    fun order(jobs: Collection<Job>): List<Job> {
        val cpus = cache.cpus
        val places = usageAccounting.places()
        return jobs
            .map { Place(it, !usageAccounting.isFunded(it.id), priorityOf(it), places[it.spec.team] ?: Int.MAX_VALUE, turn(it, cpus)) }
            .sortedWith(PLACES)
            .map { it.job }
    }

    /** Where a job stands in the queue, worked out once and not for each comparison. */
    private class Place(
        val job: Job,
        val unfunded: Boolean,
        val priority: Priority,
        val team: Int,
        val turn: Micros,
    )

    /** The highest priority of [job] and of all jobs that need it: what they wait for is as urgent as they are. */
    fun priorityOf(job: Job): Priority = urgency.of(job).priority

    /**
     * A team's own jobs go in order of submission, but small ones pass large ones: a job counts as submitted
     * later by a multiple of the time that its remaining work would take the whole cluster. Bounded, so that
     * waiting makes up for any size: without the bound the largest would never begin while small ones keep coming.
     */
    private fun turn(
        job: Job,
        cpus: Double,
    ): Micros {
        val work = job.waiting * job.spec.estimateS * job.spec.cpus / maxOf(cpus, 1.0)
        val turn = urgency.readySinceUs(job) + minOf((work * operators.sizeHandicap * SECOND).toLong(), MOST_HANDICAP)
        // What has little time left goes as if it had come earlier; what has much of it loses nothing.
        return urgency.of(job).latestStartUs?.let { minOf(turn, it - COMFORTABLE_SLACK) } ?: turn
    }

    fun schedule(
        jobUpdates: JobUpdates,
        drafts: Map<JobId, JobUpdate>,
        draftOf: (JobId) -> JobUpdate?,
    ) {
        // What was just observed moves in the same write; otherwise planning more often than this finds nothing new.
        val urgent = drafts.values.any { it.job.waiting > it.before.waiting }
        if (context.now < nextPassUs && !urgent) return
        nextPassUs = context.now + passEvery(cache.waitingJobs().size)
        lacksWrites = false
        val waiting = LinkedHashMap<JobId, Job>()
        cache.waitingJobs().forEach { waiting[it.id] = it }
        drafts.values.forEach { if (it.job.waiting > 0) waiting[it.job.id] = it.job else waiting.remove(it.job.id) }
        unchangedSince.keys.retainAll(waiting.keys)
        if (waiting.isEmpty()) {
            unschedulable = emptyList()
            lacksRoom = false
            return
        }
        val pass = Pass(jobUpdates, draftOf, Placer.Rooms.of(ownRooms(jobUpdates)), teamQuota()) { othersRooms(jobUpdates) }
        pass.overloaded = waiting.size > OVERLOAD_QUEUE
        val budget = jobUpdates.budget()
        pass.parts = context.now >= nextPartsUs || budget >= plenty
        val left = ArrayList<Job>()
        var short = false
        for (job in order(waiting.values)) {
            if (!reconciler.mayPlace(job.id)) continue
            val startable = startable(job)
            if (startable == 0) continue
            if (unchangedSince[job.id]?.version != job.version) unchangedSince[job.id] = UnchangedSince(job.version, context.now)
            val free = jobUpdates.isFree(job.id)
            val rooms = roomsFor(job, pass)
            // With more to write than the limits allow, batch jobs keep a part of it: one write starts many tasks.
            val mayWrite = pass.writes < if (job.spec.isProduction) maxOf(1, (budget * PRODUCTION_WRITES).toInt()) else budget
            if (!mayWrite && !job.spec.isProduction) {
                // One is enough to know.
                lacksWrites = lacksWrites || (rooms != null && free && couldPlace(job, rooms, pass))
                left += job
                continue
            }
            val placed = if (rooms == null || !free) 0 else place(job, startable, rooms, pass, mayWrite)
            if (placed < startable) {
                left += job
                if (placed == 0 && rooms != null && free && mayWrite && teamMayPlace(job, pass)) {
                    short = true
                    // Another controller may have room, for which nobody has to be stopped.
                    val waitsLong = context.now - (unchangedSince[job.id]?.sinceUs ?: context.now) >= SEEK_AFTER
                    if (waitsLong && !isFaulty(job)) preemptionPlanner.seek(job, rooms, zonesOf(job))
                }
            }
        }
        if (pass.partsPlaced) nextPartsUs = context.now + PART_EVERY
        lacksRoom = short
        unschedulable = left
        if (pass.toBorrow.isNotEmpty()) shardClaims.borrow(pass.toBorrow, agents::push)
    }

    /** The more wait, the less a pass more would find: writes are what is short then, and processor time is for answers. */
    private fun passEvery(waiting: Int): Micros {
        val every =
            when {
                waiting > OVERLOAD_QUEUE -> PASS * 2
                waiting > FEW -> PASS
                else -> PASS / 3
            }
        // A pass looks at each of our machines: with hundreds of them it is their number that costs.
        return every + every * agents.mine.size / MANY
    }

    /**
     * Home places a job on its own part; the leader takes what no part can hold as a whole, from everybody's
     * machines. Exception: what its home has had no room for may be placed by another controller on its part,
     * first by the one that the job's id picks, so that two rarely write at once. See docs/design.md.
     */
    private fun roomsFor(
        job: Job,
        pass: Pass,
    ): Placer.Rooms? {
        val home = shardClaims.preferredController(job.id)
        val idle = context.now - (unchangedSince[job.id]?.sinceUs ?: context.now)
        if (shardClaims.isLeader && isLarge(job, idle)) {
            // Our machines may hold a gang, were they empty, and never be empty at the same time.
            val waitsInVain = job.spec.isGang && idle >= LARGE_AFTER
            if (waitsInVain || !pass.mine.couldHold(job.spec, job.waiting)) return pass.wide
        } else if (home == context.me) {
            return pass.mine
        }
        val helpsFirst = Math.floorMod(job.id.text.hashCode(), 2) == if (isNextAfter(home)) 0 else 1
        if (home == context.me) return pass.mine
        val helps = home == null || (health.lacksRoom(home) && idle >= (if (helpsFirst) HELP_SOON else HELP_LATE))
        return if (helps) pass.mine else null
    }

    private fun isNextAfter(home: mintpick.core.NodeId?): Boolean =
        everybody[(everybody.indexOf(home?.text) + 1) % everybody.size] == context.settings.node

    private val everybody = (context.settings.peers.map { it.node } + context.settings.node).sorted()

    /** Placed whole or not at all, or in vain for a while. */
    private fun isLarge(
        job: Job,
        idle: Micros,
    ): Boolean = idle >= HELP_LATE && (job.spec.isGang || job.spec.oneZone || idle >= LARGE_AFTER)

    private fun place(
        job: Job,
        startable: Int,
        rooms: Placer.Rooms,
        pass: Pass,
        mayWrite: Boolean,
    ): Int {
        if (!pass.jobUpdates.isTeamFree(job.spec.team)) return 0
        val limit = minOf(pass.teams.tasks(job.spec), MAX_TASKS, startable)
        if (limit <= 0) return 0
        val avoided = reconciler.failures.triedOn(job.id)
        val found = placer.place(job.spec, job.waitingTasks(), rooms, zonesOf(job), limit, pass.overloaded, avoided, keepsToSpot(job))
        if (found.isEmpty()) return 0
        // Gangs start whole or not at all.
        if (job.spec.isGang && found.size < job.waiting) return 0
        found.forEach { (_, machine) -> rooms.take(machine, job.spec.demand) }
        // A machine that is borrowed takes work only after the old owner has surely stopped placing there.
        found.mapNotNullTo(pass.toBorrow) { (_, machine) -> machine.takeIf { rooms[it]?.own == false } }
        if (!mayWrite) return 0
        val now = found.filter { (_, machine) -> rooms[machine]?.let { it.own && it.ready } == true }
        if (now.isEmpty() || (job.spec.isGang && now.size < found.size)) return 0
        // Parts of jobs are placed now and then, not for each task that ends or machine that comes up, since each costs
        // a write: the room is held for them meanwhile.
        val isPart = now.size < job.waiting
        if (isPart && !pass.parts) return 0
        val draft = pass.draftOf(job.id) ?: return 0
        if (draft.job.stage != StoredStage.OPEN) return 0
        if (isPart) pass.partsPlaced = true
        val machines = LinkedHashSet<MachineId>()
        var count = 0
        for ((task, machine) in now) {
            // Each borrowed machine has a guard of its own, of which a transaction holds only so many.
            if (machine !in machines && machine in cache.borrows && machines.count { it in cache.borrows } >= maxBorrowed) continue
            if (machine !in machines && !draft.guard(shardClaims.guards(machine))) continue
            if (!draft.place(task, machine)) continue
            machines += machine
            pass.teams.take(job.spec, 1)
            count++
        }
        pass.writes += maxOf(1, draft.touched.size)
        if (LOG.isDebugEnabled) {
            LOG.debug(
                "place job={} tasks={} machines={} wide={}",
                job.id.text,
                count,
                machines.size,
                rooms !== pass.mine,
            )
        }
        return count
    }

    /**
     * Spare-time work leaves ordinary machines alone, which would never be empty and returned with it, unless its tasks are
     * short, or nothing of it runs and it has waited for long: where there are no spot machines it is served all the same.
     */
    fun keepsToSpot(job: Job): Boolean {
        if (!job.spec.spot || priorityOf(job) != Priority.LOW || job.spec.estimateS <= SHORT_S) return false
        return job.placed > 0 || context.wall - urgency.readySinceUs(job) < SPOT_PATIENCE
    }

    /** How many of the waiting tasks of [job] may start now: of one that fails wherever it runs a single one, at its home. */
    fun startable(job: Job): Int {
        if (!isFaulty(job)) return job.waiting
        val home = shardClaims.preferredController(job.id)
        return if (home == context.me || home == null) FailureTracker.probes(job.waiting, job.placed) else 0
    }

    /**
     * Whether any controller has found that [job] fails wherever it runs, and none of its tasks has completed since. Services
     * never complete: of them only the controller itself knows when they have recovered.
     */
    private fun isFaulty(job: Job): Boolean {
        if (job.done > 0) return false
        return reconciler.failures.isFaulty(job.id) || (!job.spec.isService && health.isFaultyElsewhere(job.id))
    }

    /** Whether there is room for a task of [job]. Gangs need more than that, and say nothing. */
    private fun couldPlace(
        job: Job,
        rooms: Placer.Rooms,
        pass: Pass,
    ): Boolean {
        if (job.spec.isGang || !pass.jobUpdates.isTeamFree(job.spec.team) || pass.teams.tasks(job.spec) <= 0) return false
        val found = placer.place(job.spec, job.waitingTasks(), rooms, zonesOf(job), 1, pass.overloaded)
        return found.any { (_, machine) -> rooms[machine]?.let { it.own && it.ready } == true }
    }

    /** So many writes free, beyond those kept for submissions, that parts of jobs need not wait for each other. */
    private val plenty = context.settings.limits.writeRps / (context.settings.peers.size + 1) * PLENTY

    private val maxBorrowed = context.settings.limits.transactionOps

    /** The platform's files say 0 where there is no limit. */
    private fun orUnlimited(limit: Double): Double = if (limit > 0) limit else TeamQuota.UNLIMITED

    /** What teams may still use under their limits as the records stand. */
    fun teamQuota(): TeamQuota = TeamQuota(limits, cache::usedBy)

    /** Whether it is room that [job] waits for. For what its team's limit holds back nobody has to be stopped. */
    private fun teamMayPlace(
        job: Job,
        pass: Pass,
    ): Boolean {
        val least = if (job.spec.isGang) job.waiting else 1
        return pass.jobUpdates.isTeamFree(job.spec.team) && pass.teams.tasks(job.spec) >= least
    }

    fun zonesOf(job: Job): Map<String, Int> {
        if (!job.spec.spread && !job.spec.oneZone) return emptyMap()
        val counts = HashMap<String, Int>()
        job.placements().forEach { (_, at) -> cache.machines[at.machine]?.let { counts.merge(it.record.zone, 1, Int::plus) } }
        return counts
    }

    private fun ownRooms(jobUpdates: JobUpdates): List<Room> =
        agents.mine.mapNotNull { id ->
            val known = cache.machines[id] ?: return@mapNotNull null
            val claim = shardClaims.control(id)
            if (claim != null && shardClaims.isMine(claim)) room(known, claim, true, null, jobUpdates) else null
        }

    /** Room on the other controllers' machines that they have heard from lately. */
    private fun othersRooms(jobUpdates: JobUpdates): List<Room> =
        health.hintedImages(context.settings.reportUs * 2).mapNotNull { (id, images) ->
            val known = cache.machines[id] ?: return@mapNotNull null
            val claim = shardClaims.control(id)
            if (claim != null && !shardClaims.isMine(claim)) room(known, claim, false, images, jobUpdates) else null
        }

    private fun room(
        known: KnownMachine,
        claim: Claim,
        own: Boolean,
        hint: Set<String>?,
        jobUpdates: JobUpdates,
    ): Room? {
        val type = cache.types[known.record.type]
        if (type == null ||
            known.record.retiring != Retiring.NO ||
            reconciler.isGone(known.id) ||
            !reconciler.hasRoom(known.id)
        ) {
            return null
        }
        val view = agents.view(known.id)
        if (view != null && commandPlanner.isEmptying(view, claim)) return null
        val settling = own && agents.isSettling(known.id)
        if (own && !settling && !isUsable(view)) return null
        return Room(
            known.id,
            known.record.type,
            known.record.zone,
            known.record.spot,
            type.capacity - cache.usedOn(known.id) + reconciler.freedOn(known.id) - jobUpdates.reservedOn(known.id),
            type.capacity,
            { view?.hasImage(it) == true || (hint != null && it in hint) },
            own,
            yielding = cache.usedOn(known.id) - cache.servicesOn(known.id),
            ready = !settling,
        )
    }

    /** In touch both ways: nothing is placed where commands may not arrive, however many reports come. */
    private fun isUsable(view: mintpick.core.MachineView?): Boolean =
        view != null &&
            agents.isConfirmed(view) &&
            agents.isFresh(view) &&
            !agents.isUnreachable(view.id) &&
            !reconciler.failures.isFaulty(view.id)

    companion object {
        private val LOG = org.slf4j.LoggerFactory.getLogger(Scheduler::class.java)
        private val PLACES =
            // Exception to share order: services that users look at wait for nobody. See docs/design.md.
            compareBy<Place> { !it.job.spec.isProduction }
                .thenBy { it.unfunded }
                .thenBy { it.priority }
                .thenBy { it.team }
                .thenBy { it.turn }
                .thenBy { it.job.id.text }
        private const val MAX_TASKS = 512
        private const val OVERLOAD_QUEUE = 150
        private const val PRODUCTION_WRITES = 0.6
        private const val PASS: Micros = 120 * MILLI
        private const val PART_EVERY: Micros = 800 * MILLI
        private const val MANY = 300
        private const val FEW = 25
        private const val PLENTY = 0.6
        private const val HELP_SOON: Micros = 200 * MILLI
        private const val HELP_LATE: Micros = 1_500 * MILLI
        private const val SEEK_AFTER: Micros = 600 * MILLI
        private const val LARGE_AFTER: Micros = 15 * SECOND

        /** Tasks that are over before their machine would be returned as idle. */
        private const val SHORT_S = 20.0
        private const val SPOT_PATIENCE: Micros = 120 * SECOND

        /** A job that has to start only later than this is in no hurry. */
        private const val COMFORTABLE_SLACK: Micros = 60 * SECOND
        private const val MOST_HANDICAP: Micros = 30 * SECOND
    }
}
