package mintpick.engine

import mintpick.config.Operators
import mintpick.config.Settings
import mintpick.core.JobId
import mintpick.core.MILLI
import mintpick.core.MachineView
import mintpick.core.Micros
import mintpick.core.NodeId
import mintpick.engine.agents.AgentRegistry
import mintpick.engine.agents.CommandPlanner
import mintpick.engine.agents.MachineRegistry
import mintpick.engine.agents.Reconciler
import mintpick.engine.capacity.CapacityPlanner
import mintpick.engine.capacity.CloudInventory
import mintpick.engine.capacity.MachineMonitor
import mintpick.engine.jobs.JobUpdates
import mintpick.engine.jobs.RecordSweeper
import mintpick.engine.jobs.UserRequests
import mintpick.engine.membership.ControllerHealth
import mintpick.engine.membership.ShardClaims
import mintpick.engine.runtime.Effect
import mintpick.engine.runtime.EngineContext
import mintpick.engine.runtime.Event
import mintpick.engine.scheduling.PreemptionPlanner
import mintpick.engine.scheduling.Scheduler
import mintpick.engine.scheduling.UsageAccounting
import mintpick.engine.state.FormatGate
import mintpick.engine.state.StateStoreClient
import mintpick.engine.transactions.JobUpdate
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
    private val stateStore = StateStoreClient(context, formats)
    private val shardClaims = ShardClaims(context, stateStore)
    private val health = ControllerHealth(context, stateStore)
    private val commandPlanner = CommandPlanner(context, health)
    private val agents = AgentRegistry(context, stateStore, shardClaims, health, commandPlanner)
    private val reconciler = Reconciler(context, shardClaims, agents, commandPlanner)
    private val usageAccounting = UsageAccounting(context, stateStore, shardClaims, operators, formats)
    private val preemptionPlanner = PreemptionPlanner(context, shardClaims, agents, commandPlanner, usageAccounting, operators)
    private val scheduler =
        Scheduler(context, shardClaims, agents, commandPlanner, reconciler, usageAccounting, health, preemptionPlanner, operators)
    private val cloudInventory = CloudInventory(context, stateStore, shardClaims, agents, reconciler, health, formats)
    private val machineRegistry = MachineRegistry(context, stateStore, shardClaims, agents, reconciler, formats)
    private val capacityPlanner =
        CapacityPlanner(
            context,
            stateStore,
            shardClaims,
            agents,
            reconciler,
            cloudInventory,
            machineRegistry,
            commandPlanner,
            scheduler,
            health,
            operators,
        )
    private val userRequests = UserRequests(context, stateStore, formats)
    private val jobUpdates = JobUpdates(context, stateStore, shardClaims, userRequests, commandPlanner, formats)
    private val machineMonitor =
        MachineMonitor(context, stateStore, shardClaims, agents, health, machineRegistry, commandPlanner, scheduler)
    private val sweeper = RecordSweeper(context, stateStore, shardClaims, userRequests)
    private var nextHintUs: Micros = 0
    private var nextPlanUs: Micros = 0
    private var hints = 0
    private var lastStepUs: Micros = 0
    private var announcedNoCapacity = false

    init {
        shardClaims.reachesAgents = { !agents.isCutOff }
        shardClaims.allPeersInTouch = { health.heardAllSince(context.now - CALM) }
    }

    /** What `/up` says as of the last step. */
    val isUp: Boolean get() = health.up()

    fun step(
        now: Micros,
        wall: Micros,
        events: List<Event>,
    ): List<Effect> {
        context.begin(now, wall)
        detectProcessPause()
        events.forEach(::handleAlone)
        stateStore.tick()
        formats.tick()
        health.tick()
        shardClaims.tick()
        agents.watchControl()
        usageAccounting.tick()
        cloudInventory.tick()
        capacityPlanner.tick()
        machineMonitor.tick()
        machineRegistry.tick()
        sweeper.tick()
        val touched = context.cache.touched.toSet()
        context.cache.touched.clear()
        agents.tick(touched)
        preemptionPlanner.tick(touched)
        reconciler.look(touched + agents.takeHeard())
        plan()
        userRequests.tick()
        hint()
        return context.takeEffects()
    }

    /**
     * After a standstill leases may be over and calls have failed for our own fault: what the clock no longer proves is given
     * up before the first event is looked at.
     */
    private fun detectProcessPause() {
        val pause = context.now - lastStepUs
        val onProcessPause = lastStepUs != 0L && pause > PROCESS_PAUSE
        lastStepUs = context.now
        if (!onProcessPause) return
        LOG.warn("stood still for_ms={}", pause / MILLI)
        stateStore.onProcessPause()
        agents.onProcessPause()
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
            is Event.Report -> agents.onReport(event.report, event.reply)
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
        val cache = context.cache
        return NodeStatus(
            node = settings.node,
            phase = stateStore.phase.name.lowercase(),
            leader = cache.leader?.node?.text,
            shards =
                cache.claims
                    .filterValues(shardClaims::isMine)
                    .keys
                    .sorted(),
            borrowed =
                cache.borrows
                    .filterValues(shardClaims::isMine)
                    .keys
                    .map { it.text },
            machines = cache.machines.size,
            jobs = cache.jobs.size,
            waitingTasks = cache.jobs.sumOf { it.waiting },
            placedTasks = cache.jobs.sumOf { it.placed },
            pendingSubmissions = userRequests.submissions.size,
            pendingCancellations = userRequests.cancellations.size,
            revision = cache.revision,
            use = settings.teams.associate { it.name to usageAccounting.use(it.name) },
            stateLatencyMs = stateStore.latencyMs(),
            waitingForPredecessors = cache.dependencies.waitingCount,
            withdrawnJobs = cache.closableJobs().count { !it.isReleased },
            recordFormat = formats.current.name.lowercase(),
            formatLevels = formats.levels(),
            limits = limitsInForce(),
            tooLargeTransactions = stateStore.tooLarge,
        )
    }

    private fun limitsInForce() =
        StatusLimits(
            settings.limits.writeRps,
            settings.limits.rps,
            formats.valueBytes.toInt(),
            jobUpdates.limits.changes,
            jobUpdates.limits.guards,
        )

    /** Gathers what came within a moment into few writes. */
    private fun plan() {
        if (context.now < nextPlanUs || !jobUpdates.hasRoom) return
        nextPlanUs = context.now + PLAN_EVERY
        val drafts = LinkedHashMap<JobId, JobUpdate>()
        val draftOf: (JobId) -> JobUpdate? = { id ->
            drafts[id] ?: context.cache
                .job(id)
                ?.takeIf { jobUpdates.isFree(id) }
                ?.let { job -> JobUpdate(job, jobUpdates.limits).also(reconciler::apply) }
                ?.also { drafts[id] = it }
        }
        for ((id, pending) in userRequests.cancellations) {
            if (pending.taken || context.cache.job(id)?.stage != StoredStage.OPEN) continue
            draftOf(id)?.cancel()
        }
        reconciler.due().forEach { draftOf(it) }
        closeCancelled(draftOf)
        if (stateStore.reachable) scheduler.schedule(jobUpdates, drafts, draftOf)
        if (jobUpdates.commit(drafts.values, scheduler.lacksWrites)) scheduler.foundNoWrite()
    }

    /**
     * Cancelled jobs without a task left get final records, so that they are not kept open for ever: only housekeeping, which
     * waits until nothing else needs the writes, since that they are cancelled is known anyway.
     */
    private fun closeCancelled(draftOf: (JobId) -> JobUpdate?) {
        val writes = jobUpdates.budget() - SPARE_WRITES
        if (writes <= 0) return
        val mine = context.cache.closableJobs().filter { shardClaims.preferredController(it.id) == context.me }
        mine.take(minOf(writes, MOST_CLOSED)).toList().forEach { draftOf(it.id)?.close() }
    }

    /** Tells the other controllers how we stand. */
    private fun hint() {
        // That we lack room is told at once: a job that another could place waits for it.
        val news = scheduler.lacksRoom && !announcedNoCapacity && context.now >= nextHintUs - HINT_EVERY + HINT_LEAST
        if (context.now < nextHintUs && !news) return
        nextHintUs = context.now + HINT_EVERY
        announcedNoCapacity = scheduler.lacksRoom
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
            stateStore.lastServedUs?.takeIf { stateStore.serving }?.let { context.now - it } ?: -1,
            machines,
            context.cache.revision,
            withMachines,
            scheduler.lacksRoom,
            images.keys.toList(),
            context.cache.cancelledJobs(),
            cancelledIsComplete = stateStore.hasLoaded,
            faultyJobs = reconciler.failures.faultyJobs().map { it.text },
        )
    }

    private fun heardMachines(): List<MachineView> =
        agents.views().filter { view ->
            view.latest != null &&
                context.now - view.reportedUs < settings.reportUs * 2 &&
                !reconciler.failures.isFaulty(view.id) &&
                !agents.isUnreachable(view.id) &&
                !commandPlanner.isEmptying(view, shardClaims.control(view.id))
        }

    companion object {
        private val LOG = LoggerFactory.getLogger(Engine::class.java)
        private const val OK = 200
        const val PROTOBUF = "application/x-protobuf"
        private const val SPARE_WRITES = 2
        private const val MOST_CLOSED = 2
        private const val PLAN_EVERY: Micros = 40 * MILLI

        /** Steps are at most a twentieth of a second apart, and a few tenths when the processor is short. */
        private const val PROCESS_PAUSE: Micros = 2_000 * MILLI
        private const val CALM: Micros = 3_000 * MILLI
        private const val HINT_EVERY: Micros = 1_000 * MILLI
        private const val HINT_LEAST: Micros = 250 * MILLI
        private const val HINT_TIMEOUT: Micros = 800 * MILLI
    }
}
