package mintpick.engine

import mintpick.config.Operators
import mintpick.config.Settings
import mintpick.core.MILLI
import mintpick.core.MemoryBudget
import mintpick.core.Micros
import mintpick.engine.agents.AgentRegistry
import mintpick.engine.agents.CommandPlanner
import mintpick.engine.agents.MachineRegistry
import mintpick.engine.agents.Reconciler
import mintpick.engine.capacity.BorrowedMachines
import mintpick.engine.capacity.CapacityPlanner
import mintpick.engine.capacity.CapacityView
import mintpick.engine.capacity.CloudClient
import mintpick.engine.capacity.CloudInventory
import mintpick.engine.capacity.DemandForecast
import mintpick.engine.capacity.IdleMachineDrainer
import mintpick.engine.capacity.LeaderStatus
import mintpick.engine.capacity.MachineMonitor
import mintpick.engine.capacity.MachineTypeCatalog
import mintpick.engine.capacity.ScaleIn
import mintpick.engine.capacity.ScaleOut
import mintpick.engine.capacity.TerminationNoticeHandler
import mintpick.engine.capacity.UnresponsiveMachines
import mintpick.engine.jobs.FinalRecordPolicy
import mintpick.engine.jobs.JobAnswers
import mintpick.engine.jobs.JobUpdateWriter
import mintpick.engine.jobs.JobUrgency
import mintpick.engine.jobs.PendingRequests
import mintpick.engine.jobs.RecordSweeper
import mintpick.engine.jobs.SubmissionValidator
import mintpick.engine.jobs.UserRequestHandler
import mintpick.engine.membership.ClusterConnectivity
import mintpick.engine.membership.ControllerHealth
import mintpick.engine.membership.LeadershipLog
import mintpick.engine.membership.ShardClaims
import mintpick.engine.runtime.Effect
import mintpick.engine.runtime.EngineContext
import mintpick.engine.runtime.Event
import mintpick.engine.runtime.ReplyTo
import mintpick.engine.runtime.label
import mintpick.engine.scheduling.CandidateFinder
import mintpick.engine.scheduling.FaultyJobThrottle
import mintpick.engine.scheduling.JobPlacer
import mintpick.engine.scheduling.JobQueue
import mintpick.engine.scheduling.PlacementScopePolicy
import mintpick.engine.scheduling.PreemptionPlanner
import mintpick.engine.scheduling.Scheduler
import mintpick.engine.scheduling.UsageAccounting
import mintpick.engine.scheduling.UsageSummaryStore
import mintpick.engine.state.RecordFormatNegotiator
import mintpick.engine.state.StateStoreClient
import mintpick.engine.transactions.TransactionLimits
import mintpick.net.Answer
import mintpick.wire.NodeStatus
import mintpick.wire.WireJson
import org.slf4j.LoggerFactory
import java.util.random.RandomGenerator

/**
 * The state machine of one controller. It owns all state, takes batches of events and returns effects. It has no threads, clock
 * or I/O of its own. Event-loop thread only.
 */
class Engine(
    private val settings: Settings,
    operators: Operators,
    random: RandomGenerator,
    memory: MemoryBudget,
) : StateMachine {
    /** An engine for a heap of the usual size. */
    constructor(settings: Settings, operators: Operators, random: RandomGenerator) : this(settings, operators, random, MemoryBudget())

    private val context = EngineContext(settings, random, memory)
    private val formats = RecordFormatNegotiator(context)
    private val stateStore = StateStoreClient(context, formats)
    private val shardClaims = ShardClaims(context, stateStore, Connectivity())
    private val health = ControllerHealth(context, stateStore)
    private val commandPlanner = CommandPlanner(context, health)
    private val agents = AgentRegistry(context, stateStore, shardClaims, health, commandPlanner)
    private val reconciler = Reconciler(context, shardClaims, agents, commandPlanner)
    private val usageSummaries = UsageSummaryStore(context, stateStore, operators, formats)
    private val usageAccounting = UsageAccounting(context, stateStore, shardClaims, operators, usageSummaries)
    private val preemptionPlanner = PreemptionPlanner(context, shardClaims, agents, commandPlanner, usageAccounting, operators)
    private val jobUrgency = JobUrgency(context)
    private val jobQueue = JobQueue(context, usageAccounting, jobUrgency, operators.sizeHandicap)
    private val placementScopePolicy = PlacementScopePolicy(context, shardClaims, health)
    private val candidateFinder = CandidateFinder(context, shardClaims, agents, commandPlanner, reconciler, health)
    private val faultyJobThrottle = FaultyJobThrottle(context, shardClaims, reconciler, health)
    private val jobPlacer =
        JobPlacer(context, shardClaims, agents, reconciler, candidateFinder, jobUrgency, operators.placementSample)
    private val scheduler =
        Scheduler(context, jobQueue, placementScopePolicy, candidateFinder, faultyJobThrottle, jobPlacer, preemptionPlanner)
    private val cloudClient = CloudClient(context)
    private val machineTypes = MachineTypeCatalog(context, stateStore, shardClaims, formats, cloudClient)
    private val cloudInventory = CloudInventory(context, stateStore, shardClaims, agents, reconciler, cloudClient, machineTypes)
    private val scaleOut = ScaleOut(context, cloudClient, cloudInventory)
    private val machineRegistry = MachineRegistry(context, stateStore, shardClaims, agents, reconciler, formats)
    private val leaderStatus = LeaderStatus(context, stateStore, shardClaims, health)
    private val scaleIn = ScaleIn(context, leaderStatus, reconciler, cloudClient, cloudInventory, machineRegistry)
    private val capacityView = CapacityView(context, shardClaims, agents, reconciler, commandPlanner, cloudInventory, scaleOut)
    private val demandForecast = DemandForecast(context, scheduler, operators)
    private val idleMachineDrainer = IdleMachineDrainer(context, machineRegistry, operators)
    private val capacityPlanner =
        CapacityPlanner(context, leaderStatus, demandForecast, capacityView, idleMachineDrainer, scaleOut, scaleIn)
    private val transactionLimits = TransactionLimits(settings.limits.transactionOps)
    private val jobAnswers = JobAnswers(context, stateStore)
    private val pendingRequests = PendingRequests(context, stateStore, jobAnswers)
    private val submissionValidator = SubmissionValidator(context, formats, transactionLimits)
    private val userRequestHandler = UserRequestHandler(context, stateStore, pendingRequests, submissionValidator, jobAnswers)
    private val jobUpdateWriter = JobUpdateWriter(context, stateStore, pendingRequests, commandPlanner, formats, transactionLimits)
    private val machineMonitor =
        MachineMonitor(
            context,
            health,
            UnresponsiveMachines(context, stateStore, shardClaims, agents, health, machineRegistry),
            TerminationNoticeHandler(context, shardClaims, agents, machineRegistry, commandPlanner),
            BorrowedMachines(context, stateStore, shardClaims, scheduler),
        )
    private val sweeper = RecordSweeper(context, stateStore, shardClaims, pendingRequests)
    private val finalRecordPolicy = FinalRecordPolicy(context, shardClaims)
    private val updateCycle =
        JobUpdateCycle(context, stateStore, reconciler, scheduler, pendingRequests, jobUpdateWriter, finalRecordPolicy)
    private val machineHintCollector = MachineHintCollector(context, shardClaims, agents, reconciler, commandPlanner)
    private val hintExchange = PeerHintExchange(context, stateStore, health, reconciler, machineHintCollector)
    private val leadershipLog = LeadershipLog(context)
    private val statusReporter =
        StatusReporter(context, stateStore, shardClaims, formats, pendingRequests, jobUpdateWriter, usageAccounting)
    private var lastStepUs: Micros = 0

    /** Must not be used before the first step, because it refers to parts of the engine that are created later. */
    private inner class Connectivity : ClusterConnectivity {
        override val hasHintsFromAllPeers: Boolean get() = health.hasHintsFromAllSince(context.now - MAX_HINT_AGE)
        override val canReachAgents: Boolean get() = !agents.isIsolatedFromAgents
    }

    /** The answer of `/up` as of the last step: whether this controller accepts requests. */
    override val isUp: Boolean get() = health.isUp()

    override val reasonForDown: String? get() = health.reasonForDown()

    override fun takeReport(): String {
        val cacheAgeMs = stateStore.cacheAsOfUs?.let { (context.now - it) / MILLI }
        val records = "phase=${stateStore.phase.label()} revision=${context.cache.revision} cache_age_ms=$cacheAgeMs"
        return "$records ${memoryReport()} ${context.metrics.takeReport()}"
    }

    private fun memoryReport(): String {
        val cache = context.cache
        val submissions = pendingRequests.submissions.size
        return "memory jobs=${cache.jobs.size} open_job_bytes=${cache.openJobBytes} limit=${context.memory.openJobBytes} " +
            "dependencies=${cache.dependencies.edgeCount} placed_tasks=${cache.placedTaskCount} limit=${context.memory.placedTasks} " +
            "submissions=$submissions submission_bytes=${pendingRequests.submissionBytes}"
    }

    /**
     * Handles [events] in order, then performs all work that is due.
     *
     * @param now the monotonic clock in microseconds; must not be less than in the previous step
     * @param wallClockUs the wall clock in microseconds since 1970; its error must be within the bound of the settings
     * @return answers to send and calls to start, to be performed in the order of the list
     */
    override fun step(
        now: Micros,
        wallClockUs: Micros,
        events: List<Event>,
    ): List<Effect> {
        context.startStep(now, wallClockUs)
        detectProcessPause()
        events.forEach(::handleSafely)
        context.expireCalls()
        updateMembership()
        planCapacity()
        updateAgents()
        updateCycle.tick()
        userRequestHandler.tick()
        hintExchange.tick(scheduler.lacksCapacity)
        return context.takeEffects()
    }

    private fun updateMembership() {
        stateStore.tick()
        formats.tick()
        health.tick()
        shardClaims.tick()
        leadershipLog.tick()
        agents.updateControlledMachines()
    }

    private fun planCapacity() {
        usageAccounting.tick()
        cloudInventory.tick()
        capacityPlanner.tick()
        machineMonitor.tick()
        machineRegistry.tick()
        sweeper.tick()
    }

    private fun updateAgents() {
        val touched = context.cache.changedMachines.toSet()
        context.cache.changedMachines.clear()
        agents.tick(touched)
        preemptionPlanner.tick(touched)
        reconciler.reconcile(touched + agents.takeUpdatedMachines())
    }

    /**
     * Detects that the process was paused since the last step. Leases may have expired meanwhile, and calls may have failed
     * only because of the pause. State that is no longer certain is discarded before the first event is handled.
     */
    private fun detectProcessPause() {
        val sinceLastStep = context.now - lastStepUs
        val wasPaused = lastStepUs != 0L && sinceLastStep > PROCESS_PAUSE
        lastStepUs = context.now
        if (!wasPaused) return
        LOG.warn("process paused for_ms={}", sinceLastStep / MILLI)
        stateStore.onProcessPause()
        agents.onProcessPause()
    }

    /** Handles [event] and logs exceptions, so that a defect triggered by one event does not prevent the handling of others. */
    private fun handleSafely(event: Event) {
        try {
            handle(event)
        } catch (e: RuntimeException) {
            LOG.error("event failed kind={}", event::class.simpleName, e)
        }
    }

    private fun handle(event: Event) {
        when (event) {
            is Event.Submit -> userRequestHandler.submit(event.spec, event.reply)
            is Event.Malformed -> userRequestHandler.rejectMalformed(event.id, event.reason, event.reply)
            is Event.Poll -> userRequestHandler.poll(event.id, event.reply)
            is Event.Cancel -> userRequestHandler.cancel(event.id, event.reply)
            is Event.Report -> agents.onHeartbeat(event.report, event.reply)
            is Event.Hint -> context.send(event.reply, hintExchange.answer(event.hint, scheduler.lacksCapacity))
            is Event.StatusRequest -> sendStatus(event.reply)
            is Event.CallDone -> context.callDone(event.id, event.outcome)
        }
    }

    private fun sendStatus(reply: ReplyTo) {
        val body = WireJson.encodeToString(NodeStatus.serializer(), statusReporter.status())
        context.send(reply, Answer.json(OK, body))
    }

    private companion object {
        val LOG = LoggerFactory.getLogger(Engine::class.java)
        const val OK = 200

        /** Steps are normally at most 50 ms apart, and a few hundred milliseconds under CPU contention. */
        const val PROCESS_PAUSE: Micros = 2_000 * MILLI

        /** Each peer must have sent a hint within this time for shards to be moved back to their balanced owners. */
        const val MAX_HINT_AGE: Micros = 3_000 * MILLI
    }
}
