package mintpick.engine

import mintpick.config.Operators
import mintpick.config.Settings
import mintpick.core.JobId
import mintpick.core.MILLI
import mintpick.core.MachineView
import mintpick.core.Micros
import mintpick.core.NodeId
import mintpick.net.Answer
import mintpick.net.Call
import mintpick.net.Target
import mintpick.wire.MachineHint
import mintpick.wire.MeshProtobuf
import mintpick.wire.NodeStatus
import mintpick.wire.PeerHint
import mintpick.wire.StatusLimits
import mintpick.wire.StoredStage
import mintpick.wire.WireJson
import mintpick.wire.decodeHint
import org.slf4j.LoggerFactory
import java.util.random.RandomGenerator

/**
 * The owner of all state of one controller, without threads, clock or I/O: it takes a batch of events and
 * says what is to be done outside.
 */
class Engine(
    private val settings: Settings,
    operators: Operators,
    random: RandomGenerator,
) {
    private val context = EngineContext(settings, random)
    private val formats = FormatGate(context)
    private val link = StateLink(context, formats)
    private val ownership = Ownership(context, link)
    private val health = ControllerHealth(context, link)
    private val commandPlanner = CommandPlanner(context, health)
    private val fleet = Fleet(context, link, ownership, health, commandPlanner)
    private val observer = Observer(context, ownership, fleet, commandPlanner)
    private val accounting = Accounting(context, link, ownership, operators, formats)
    private val preemptor = Preemptor(context, ownership, fleet, commandPlanner, accounting, operators)
    private val scheduling = Scheduling(context, ownership, fleet, commandPlanner, observer, accounting, health, preemptor, operators)
    private val capacity = Capacity(context, link, ownership, fleet, observer, health, formats)
    private val machineRegistry = MachineRegistry(context, link, ownership, fleet, observer, formats)
    private val supply =
        Supply(context, link, ownership, fleet, observer, capacity, machineRegistry, commandPlanner, scheduling, health, operators)
    private val userRequests = UserRequests(context, link, formats)
    private val changes = Changes(context, link, ownership, userRequests, commandPlanner, formats)
    private val machineMonitor = MachineMonitor(context, link, ownership, fleet, health, machineRegistry, commandPlanner, scheduling)
    private val sweeper = RecordSweeper(context, link, ownership, userRequests)
    private var nextHintUs: Micros = 0
    private var nextPlanUs: Micros = 0
    private var hints = 0
    private var lastStepUs: Micros = 0
    private var toldLack = false

    init {
        ownership.reaches = { !fleet.isCutOff }
        ownership.calm = { health.heardAllSince(context.now - CALM) }
    }

    /** What `/up` says as of the last step. */
    val isUp: Boolean get() = health.up()

    fun step(
        now: Micros,
        wall: Micros,
        events: List<Event>,
    ): List<Effect> {
        context.begin(now, wall)
        noticeStandstill()
        events.forEach(::handleAlone)
        link.tick()
        formats.tick()
        health.tick()
        ownership.tick()
        fleet.watchControl()
        accounting.tick()
        capacity.tick()
        supply.tick()
        machineMonitor.tick()
        machineRegistry.tick()
        sweeper.tick()
        val touched = context.replica.touched.toSet()
        context.replica.touched.clear()
        fleet.tick(touched)
        preemptor.tick(touched)
        observer.look(touched + fleet.takeHeard())
        plan()
        userRequests.tick()
        hint()
        return context.takeEffects()
    }

    /**
     * After a standstill leases may be over and calls have failed for our own fault: what the clock no longer proves is given
     * up before the first event is looked at.
     */
    private fun noticeStandstill() {
        val pause = context.now - lastStepUs
        val stoodStill = lastStepUs != 0L && pause > STANDSTILL
        lastStepUs = context.now
        if (!stoodStill) return
        LOG.warn("stood still for_ms={}", pause / MILLI)
        link.stoodStill()
        fleet.stoodStill()
    }

    /** A defect met by one event must not cost the others, outcomes of calls that somebody waits for among them. */
    private fun handleAlone(event: Event) {
        try {
            handle(event)
        } catch (e: RuntimeException) {
            LOG.error("event failed kind={}", event::class.simpleName, e)
        }
    }

    private fun handle(event: Event) {
        when (event) {
            is Event.Submit -> userRequests.submit(event.spec, event.reply)
            is Event.Malformed -> userRequests.malformed(event.id, event.reason, event.reply)
            is Event.Poll -> userRequests.poll(event.id, event.reply)
            is Event.Cancel -> userRequests.cancel(event.id, event.reply)
            is Event.Report -> fleet.onReport(event.report, event.reply)
            is Event.Hint -> {
                health.onHint(event.hint)
                context.send(
                    event.reply,
                    Answer(OK, MeshProtobuf.encodeToByteArray(PeerHint.serializer(), ownHint(withMachines = false)), null, PROTOBUF),
                )
            }
            is Event.Inspect -> context.send(event.reply, Answer.json(OK, WireJson.encodeToString(NodeStatus.serializer(), status())))
            is Event.CallDone -> context.callDone(event.id, event.outcome)
        }
    }

    private fun status(): NodeStatus {
        val replica = context.replica
        return NodeStatus(
            node = settings.node,
            phase = link.phase.name.lowercase(),
            leader = replica.leader?.node?.text,
            shards =
                replica.claims
                    .filterValues(ownership::isMine)
                    .keys
                    .sorted(),
            borrowed =
                replica.borrows
                    .filterValues(ownership::isMine)
                    .keys
                    .map { it.text },
            machines = replica.machines.size,
            jobs = replica.jobs.size,
            waitingTasks = replica.jobs.sumOf { it.waiting },
            placedTasks = replica.jobs.sumOf { it.placed },
            pendingSubmissions = userRequests.submissions.size,
            pendingCancellations = userRequests.cancellations.size,
            revision = replica.revision,
            use = settings.teams.associate { it.name to accounting.use(it.name) },
            stateLatencyMs = link.latencyMs(),
            waitingForPredecessors = replica.dependencies.waitingCount,
            withdrawnJobs = replica.closableJobs().count { !it.isReleased },
            recordFormat = formats.current.name.lowercase(),
            formatLevels = formats.levels(),
            limits = limitsInForce(),
            tooLargeTransactions = link.tooLarge,
        )
    }

    private fun limitsInForce() =
        StatusLimits(
            settings.limits.writeRps,
            settings.limits.rps,
            formats.valueBytes.toInt(),
            changes.limits.changes,
            changes.limits.guards,
        )

    /** Gathers what came within a moment into few writes. */
    private fun plan() {
        if (context.now < nextPlanUs || !changes.hasRoom) return
        nextPlanUs = context.now + PLAN_EVERY
        val drafts = LinkedHashMap<JobId, JobChange>()
        val draftOf: (JobId) -> JobChange? = { id ->
            drafts[id] ?: context.replica
                .job(id)
                ?.takeIf { changes.isFree(id) }
                ?.let { job -> JobChange(job, changes.limits).also(observer::apply) }
                ?.also { drafts[id] = it }
        }
        for ((id, pending) in userRequests.cancellations) {
            if (pending.taken || context.replica.job(id)?.stage != StoredStage.OPEN) continue
            draftOf(id)?.cancel()
        }
        observer.due().forEach { draftOf(it) }
        closeCancelled(draftOf)
        if (link.reachable) scheduling.schedule(changes, drafts, draftOf)
        if (changes.commit(drafts.values, scheduling.lacksWrites)) scheduling.foundNoWrite()
    }

    /**
     * Cancelled jobs without a task left get final records, so that they are not kept open for ever: only housekeeping, which
     * waits until nothing else needs the writes, since that they are cancelled is known anyway.
     */
    private fun closeCancelled(draftOf: (JobId) -> JobChange?) {
        val writes = changes.budget() - SPARE_WRITES
        if (writes <= 0) return
        val mine = context.replica.closableJobs().filter { ownership.home(it.id) == context.me }
        mine.take(minOf(writes, MOST_CLOSED)).toList().forEach { draftOf(it.id)?.close() }
    }

    /** Tells the other controllers how we stand. */
    private fun hint() {
        // That we lack room is told at once: a job that another could place waits for it.
        val news = scheduling.lacksRoom && !toldLack && context.now >= nextHintUs - HINT_EVERY + HINT_LEAST
        if (context.now < nextHintUs && !news) return
        nextHintUs = context.now + HINT_EVERY
        toldLack = scheduling.lacksRoom
        val body = MeshProtobuf.encodeToByteArray(PeerHint.serializer(), ownHint(withMachines = hints++ % 2 == 0))
        for (peer in settings.peers) {
            val call = Call(Target.Peer(peer.address.toString()), "POST", "/hint", body, HINT_TIMEOUT, PROTOBUF)
            val sent = context.now
            context.call(call) { outcome ->
                if (outcome is mintpick.net.Outcome.Answered && outcome.status == OK) {
                    health.answeredBy(NodeId(peer.node), sent)
                    decodeHint(outcome.body)?.let { health.onAnsweredHint(it, sent) }
                }
            }
        }
    }

    /** Which machines we hear is told in every other hint only: with a thousand of them it is most of its size. */
    private fun ownHint(withMachines: Boolean): PeerHint {
        val images = LinkedHashMap<String, Int>()
        val machines =
            if (withMachines) {
                heardMachines().map { view ->
                    MachineHint(view.id.text, context.now - view.reportedUs, view.imageNames.map { images.getOrPut(it) { images.size } })
                }
            } else {
                emptyList()
            }
        return PeerHint(
            settings.node,
            link.lastServedUs?.takeIf { link.serving }?.let { context.now - it } ?: -1,
            machines,
            context.replica.revision,
            withMachines,
            scheduling.lacksRoom,
            images.keys.toList(),
            context.replica.cancelledJobs(),
            cancelledIsComplete = link.hasLoaded,
            faultyJobs = observer.failures.faultyJobs().map { it.text },
        )
    }

    private fun heardMachines(): List<MachineView> =
        fleet.views().filter { view ->
            view.latest != null &&
                context.now - view.reportedUs < settings.reportUs * 2 &&
                !observer.failures.isFaulty(view.id) &&
                !fleet.isUnreachable(view.id) &&
                !commandPlanner.isEmptying(view, ownership.control(view.id))
        }

    companion object {
        private val LOG = LoggerFactory.getLogger(Engine::class.java)
        private const val OK = 200
        const val PROTOBUF = "application/x-protobuf"
        private const val SPARE_WRITES = 2
        private const val MOST_CLOSED = 2
        private const val PLAN_EVERY: Micros = 40 * MILLI

        /** Steps are at most a twentieth of a second apart, and a few tenths when the processor is short. */
        private const val STANDSTILL: Micros = 2_000 * MILLI
        private const val CALM: Micros = 3_000 * MILLI
        private const val HINT_EVERY: Micros = 1_000 * MILLI
        private const val HINT_LEAST: Micros = 250 * MILLI
        private const val HINT_TIMEOUT: Micros = 800 * MILLI
    }
}
