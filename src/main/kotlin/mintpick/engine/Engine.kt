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
    private val kernel = Kernel(settings, random)
    private val formats = FormatGate(kernel)
    private val link = StateLink(kernel, formats)
    private val ownership = Ownership(kernel, link)
    private val standing = Standing(kernel, link)
    private val orders = Orders(kernel, standing)
    private val fleet = Fleet(kernel, link, ownership, standing, orders)
    private val observer = Observer(kernel, ownership, fleet, orders)
    private val accounting = Accounting(kernel, link, ownership, operators, formats)
    private val preemptor = Preemptor(kernel, ownership, fleet, orders, accounting, operators)
    private val scheduling = Scheduling(kernel, ownership, fleet, orders, observer, accounting, standing, preemptor, operators)
    private val capacity = Capacity(kernel, link, ownership, fleet, observer, standing, formats)
    private val roster = Roster(kernel, link, ownership, fleet, observer, formats)
    private val supply = Supply(kernel, link, ownership, fleet, observer, capacity, roster, orders, scheduling, standing, operators)
    private val desk = Desk(kernel, link, formats)
    private val changes = Changes(kernel, link, ownership, desk, orders, formats)
    private val caretaker = Caretaker(kernel, link, ownership, fleet, standing, roster, orders, scheduling)
    private val sweeper = RecordSweeper(kernel, link, ownership, desk)
    private var nextHintUs: Micros = 0
    private var nextPlanUs: Micros = 0
    private var hints = 0
    private var lastStepUs: Micros = 0
    private var toldLack = false

    init {
        ownership.reaches = { !fleet.isCutOff }
        ownership.calm = { standing.heardAllSince(kernel.now - CALM) }
    }

    /** What `/up` says as of the last step. */
    val isUp: Boolean get() = standing.up()

    fun step(
        now: Micros,
        wall: Micros,
        events: List<Event>,
    ): List<Effect> {
        kernel.begin(now, wall)
        noticeStandstill()
        events.forEach(::handleAlone)
        link.tick()
        formats.tick()
        standing.tick()
        ownership.tick()
        fleet.watchControl()
        accounting.tick()
        capacity.tick()
        supply.tick()
        caretaker.tick()
        roster.tick()
        sweeper.tick()
        val touched = kernel.replica.touched.toSet()
        kernel.replica.touched.clear()
        fleet.tick(touched)
        preemptor.tick(touched)
        observer.look(touched + fleet.takeHeard())
        plan()
        desk.tick()
        hint()
        return kernel.takeEffects()
    }

    /**
     * After a standstill leases may be over and calls have failed for our own fault: what the clock no longer proves is given
     * up before the first event is looked at.
     */
    private fun noticeStandstill() {
        val pause = kernel.now - lastStepUs
        val stoodStill = lastStepUs != 0L && pause > STANDSTILL
        lastStepUs = kernel.now
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
            is Event.Submit -> desk.submit(event.spec, event.reply)
            is Event.Malformed -> desk.malformed(event.id, event.reason, event.reply)
            is Event.Poll -> desk.poll(event.id, event.reply)
            is Event.Cancel -> desk.cancel(event.id, event.reply)
            is Event.Report -> fleet.onReport(event.report, event.reply)
            is Event.Hint -> {
                standing.onHint(event.hint)
                kernel.send(
                    event.reply,
                    Answer(OK, MeshProtobuf.encodeToByteArray(PeerHint.serializer(), ownHint(withMachines = false)), null, PROTOBUF),
                )
            }
            is Event.Inspect -> kernel.send(event.reply, Answer.json(OK, WireJson.encodeToString(NodeStatus.serializer(), status())))
            is Event.CallDone -> kernel.callDone(event.id, event.outcome)
        }
    }

    private fun status(): NodeStatus {
        val replica = kernel.replica
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
            pendingSubmissions = desk.submissions.size,
            pendingCancellations = desk.cancellations.size,
            revision = replica.revision,
            use = settings.teams.associate { it.name to accounting.use(it.name) },
            stateLatencyMs = link.latencyMs(),
            waitingForPredecessors = replica.dependencies.waitingCount,
            withdrawnJobs = replica.withdrawnJobs().count(),
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
        if (kernel.now < nextPlanUs || !changes.hasRoom) return
        nextPlanUs = kernel.now + PLAN_EVERY
        val drafts = LinkedHashMap<JobId, Draft>()
        val draftOf: (JobId) -> Draft? = { id ->
            drafts[id] ?: kernel.replica
                .job(id)
                ?.takeIf { changes.isFree(id) }
                ?.let { job -> Draft(job, changes.limits).also(observer::apply) }
                ?.also { drafts[id] = it }
        }
        for ((id, pending) in desk.cancellations) {
            if (pending.taken || kernel.replica.job(id)?.stage != StoredStage.OPEN) continue
            draftOf(id)?.cancel()
        }
        observer.due().forEach { draftOf(it) }
        closeWithdrawn(draftOf)
        if (link.reachable) scheduling.schedule(changes, drafts, draftOf)
        if (changes.commit(drafts.values, scheduling.lacksWrites)) scheduling.foundNoWrite()
    }

    /**
     * Jobs withdrawn with one that they need get final records of their own, so that they are not kept open for ever: only
     * housekeeping, which waits until nothing else needs the writes, since what they are follows from other records anyway.
     */
    private fun closeWithdrawn(draftOf: (JobId) -> Draft?) {
        val writes = changes.budget() - SPARE_WRITES
        if (writes <= 0) return
        val mine = kernel.replica.withdrawnJobs().filter { ownership.home(it.id) == kernel.me }
        mine.take(minOf(writes, MOST_CLOSED)).toList().forEach { draftOf(it.id)?.close() }
    }

    /** Tells the other controllers how we stand. */
    private fun hint() {
        // That we lack room is told at once: a job that another could place waits for it.
        val news = scheduling.lacksRoom && !toldLack && kernel.now >= nextHintUs - HINT_EVERY + HINT_LEAST
        if (kernel.now < nextHintUs && !news) return
        nextHintUs = kernel.now + HINT_EVERY
        toldLack = scheduling.lacksRoom
        val body = MeshProtobuf.encodeToByteArray(PeerHint.serializer(), ownHint(withMachines = hints++ % 2 == 0))
        for (peer in settings.peers) {
            val call = Call(Target.Peer(peer.address.toString()), "POST", "/hint", body, HINT_TIMEOUT, PROTOBUF)
            val sent = kernel.now
            kernel.call(call) { outcome ->
                if (outcome is mintpick.net.Outcome.Answered && outcome.status == OK) {
                    standing.answeredBy(NodeId(peer.node), sent)
                    decodeHint(outcome.body)?.let { standing.onAnsweredHint(it, sent) }
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
                    MachineHint(view.id.text, kernel.now - view.reportedUs, view.imageNames.map { images.getOrPut(it) { images.size } })
                }
            } else {
                emptyList()
            }
        return PeerHint(
            settings.node,
            link.lastServedUs?.takeIf { link.serving }?.let { kernel.now - it } ?: -1,
            machines,
            kernel.replica.revision,
            withMachines,
            scheduling.lacksRoom,
            images.keys.toList(),
            kernel.replica.cancelledJobs(),
            cancelledIsComplete = link.hasLoaded,
            faultyJobs = observer.failures.faultyJobs().map { it.text },
        )
    }

    private fun heardMachines(): List<MachineView> =
        fleet.views().filter { view ->
            view.latest != null &&
                kernel.now - view.reportedUs < settings.reportUs * 2 &&
                !observer.failures.isFaulty(view.id) &&
                !fleet.isUnreachable(view.id) &&
                !orders.isEmptying(view, ownership.control(view.id))
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
