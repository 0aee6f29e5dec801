package mintpick.testing

import mintpick.config.Operators
import mintpick.config.Settings
import mintpick.core.MILLI
import mintpick.core.Micros
import mintpick.core.SECOND
import mintpick.engine.Engine
import mintpick.engine.StateMachine
import mintpick.engine.runtime.Effect
import mintpick.engine.runtime.Event
import mintpick.engine.runtime.ReplyTo
import mintpick.net.Call
import mintpick.net.Outcome
import mintpick.net.Target
import mintpick.store.Keys
import mintpick.wire.CommandBatch
import mintpick.wire.ExitCause
import mintpick.wire.JobSpec
import mintpick.wire.MAX_BODY_BYTES
import mintpick.wire.MachineReport
import mintpick.wire.PeerHint
import mintpick.wire.PeerProtobuf
import mintpick.wire.RentalRequest
import mintpick.wire.WireJson
import java.util.PriorityQueue
import java.util.SplittableRandom

/** Deterministic simulation of several controllers, a state store, a cloud, agents and users in virtual time, with fault injection. */
class SimulatedCluster(
    seed: Long,
    private val faultRates: FaultRates,
    private val size: ClusterSize = ClusterSize(),
    private val settingsOf: (Int) -> Settings,
) : TaskWatcher {
    /** The engine of one controller process, possibly of another version. */
    fun interface Controller {
        fun step(
            now: Micros,
            wallClockUs: Micros,
            events: List<Event>,
        ): List<Effect>
    }

    /** The present engine as a controller. */
    private class EngineController(
        engine: Engine,
    ) : Controller,
        StateMachine by engine

    /** Creates the engine of a node's process each time the process starts. */
    var controllerFactory: (Node) -> Controller = { node -> EngineController(Engine(node.settings, Operators(), random.split())) }

    inner class Node(
        val index: Int,
    ) {
        val settings = settingsOf(index)
        var engine: Controller? = null
            private set
        private var process: SimulatedProcess? = null
        private var incarnation = 0
        var cutFromState = false
        var cutFromAgents = false
        var cutFromPeers = false

        /** Calls made and events received by all processes of this node. */
        var calls = 0L
            private set
        var events = 0L
            private set

        /** Unique name of the current process of this node. */
        val name: String get() = "${settings.node} #$incarnation"

        /** Whether the health check of this node's process succeeds; false while the process is down or paused. */
        val isUp: Boolean get() = now >= pausedUntilUs && process?.isUp ?: false

        private var discardedByEarlier = 0L

        /** Effects that the processes of this node have discarded because their steps exceeded their time limit. */
        val discardedEffects: Long get() = discardedByEarlier + (process?.discardedEffects ?: 0)

        fun start() {
            val engine = controllerFactory(this)
            this.engine = engine
            incarnation++
            val sink = EffectDelivery(this, incarnation)
            val costs = size.processor
            val onEvents: (Int) -> Unit = { events += it }
            process = if (costs == null) InstantProcess(engine, sink, onEvents) else ChargedProcess(engine, costs, sink, onEvents)
            stepLoop(incarnation)
        }

        /** Pauses the process. Its clocks advance meanwhile, and events are queued. */
        fun pauseProcess(spanUs: Micros) {
            pausedUntilUs = now + spanUs
        }

        private var pausedUntilUs: Micros = 0

        /** Ends the process, and starts a new one after [downUs]. */
        fun crash(downUs: Micros) {
            discardedByEarlier = discardedEffects
            engine = null
            process = null
            after(downUs) {
                if (engine == null) start()
                repeatedRequests.onReturn(this, downUs)
            }
        }

        private fun stepLoop(ownIncarnation: Int) {
            val process = process
            if (incarnation != ownIncarnation || process == null) return
            val busyUs = if (now >= pausedUntilUs) process.step(now + index * SECOND, WALL_CLOCK_OFFSET + now) else 0
            after(maxOf(STEP, busyUs)) { stepLoop(ownIncarnation) }
        }

        /** Queues [event] for the next step; returns false if the process is down. */
        fun deliver(event: Event): Boolean {
            val process = process ?: return false
            process.deliver(event)
            return true
        }

        internal fun startCall(
            ownIncarnation: Int,
            id: Long,
            call: Call,
        ) {
            calls++
            perform(this, call) { if (incarnation == ownIncarnation) deliver(Event.CallDone(id, it)) }
        }
    }

    /** Performs the effects of the process [incarnation] of [node]. */
    private inner class EffectDelivery(
        private val node: Node,
        private val incarnation: Int,
    ) : EffectSink {
        override fun send(
            delay: Micros,
            send: Effect.Send,
        ) = afterOrNow(delay) { send.reply.answer(send.answer) }

        override fun start(
            delay: Micros,
            id: Long,
            call: Call,
        ) = afterOrNow(delay) { node.startCall(incarnation, id, call) }

        private fun afterOrNow(
            delay: Micros,
            run: () -> Unit,
        ) = if (delay == 0L) run() else after(delay, run)
    }

    val random = SplittableRandom(seed)
    var now: Micros = 0
        private set
    private val timers = PriorityQueue<Timer>(compareBy<Timer> { it.atUs }.thenBy { it.order })
    private var order = 0L
    private var started = false
    val state = SimulatedStateStore()
    val stateStoreFaults = StateStoreFaults(this)
    internal val userFaults by lazy { UserFaults(this) }
    val nodes = (0 until size.controllers).map { Node(it) }
    val agents = LinkedHashMap<String, SimulatedAgent>()

    val cloud by lazy { SimulatedCloud(this, size, nodes[0].settings.listLagUs) }

    /** Network partition between the two zones. */
    var zonesPartitioned = false

    /** A zone that is partitioned from the other zone, the state store, the cloud and the users. */
    var isolatedZone: String? = null

    /** Additional delay of the answer to a controller's call. */
    var answerDelay: (Node, Call) -> Micros = { _, _ -> 0 }

    /** Calls whose outcome never reaches their controller, although they are carried out. */
    var losesOutcome: (Node, Call) -> Boolean = { _, _ -> false }

    /** Longest answer that a controller keeps. */
    var maxAnswerBytes = Int.MAX_VALUE

    /** Called with the job id when the last task of a job completes. */
    var onJobCompleted: (String) -> Unit = {}

    /** Additional delay of a controller's call before it arrives. */
    var linkDelay: (Node, Call) -> Micros = { _, _ -> 0 }

    /** Whether a task fails when run on the given machine. */
    var taskFails: (SimulatedAgent, String) -> Boolean = { _, _ -> false }

    /** Why a start is refused by the agent of the given machine; null: it is not. */
    var startRefusal: (SimulatedAgent, String) -> ExitCause? = { _, _ -> null }

    /** Run times of tasks that differ from the estimate of their job. */
    val runTimes = HashMap<String, Micros>()

    /** Number of calls that arrived at each machine address, including addresses of machines that are gone. */
    val callsByAddress = HashMap<String, Int>()

    val rules =
        RuleChecker(
            nodes[0].settings.cancelUs,
            nodes[0].settings.teams.associate { it.name to it.cpusMax },
        )
    val messageDelays = MessageDelays(this)
    val repeatedRequests = RepeatedRequests(this) { call, reply -> deliverCall(call, reply) { } }
    private val users = SimulatedUsers(this)
    private val heartbeats = AgentHeartbeats(this, faultRates)

    /** Schedules [run] at [delay] from now. */
    fun after(
        delay: Micros,
        run: () -> Unit,
    ) {
        timers += Timer(now + delay, order++, run)
    }

    /** Advances virtual time to [untilUs]. */
    fun run(untilUs: Micros) {
        if (!started) {
            started = true
            nodes.forEach { it.start() }
            serviceLoop()
        }
        while (true) {
            val timer = timers.peek() ?: return
            if (timer.atUs > untilUs) break
            timers.poll()
            now = timer.atUs
            timer.run()
        }
        now = untilUs
    }

    private fun serviceLoop() {
        state.tick(now)
        messageDelays.tick()
        agents.values.toList().forEach { it.tick(now) }
        rules.tick(now)
        if (now % SECOND < SERVICE_TICK) {
            cloud.recordListing()
        }
        after(SERVICE_TICK) { serviceLoop() }
    }

    internal fun occurs(thousandths: Int): Boolean = thousandths > 0 && random.nextInt(1000) < thousandths

    internal fun networkDelay(): Micros = MILLI + random.nextLong(4 * MILLI)

    private fun perform(
        from: Node,
        call: Call,
        done: (Outcome) -> Unit,
    ) {
        if (call.target is Target.Worker) checkSize(call.path, call.body?.size ?: 0)
        if (call.target is Target.Cloud) cloud.recordRequestName(call, from.name)
        var pending = true
        val isOutcomeLost = losesOutcome(from, call)
        val complete: (Outcome) -> Unit = { outcome ->
            if (pending) {
                pending = false
                if (!isOutcomeLost) done(outcome)
            }
        }
        after(call.timeoutUs) { complete(Outcome.Unanswered) }
        val isLost =
            ((zonesPartitioned || isolatedZone != null) && crossesZones(from, call.target)) ||
                (from.settings.zone == isolatedZone && (call.target is Target.State || call.target is Target.Cloud)) ||
                (from.cutFromState && call.target is Target.State) ||
                (call.target is Target.Peer && peersCut(from, call.target)) ||
                (from.cutFromAgents && call.target is Target.Worker) ||
                occurs(faultRates.lost)
        if (isLost) return
        // A late request arrives 2 to 22 s after it was sent, which may be long after its call has timed out.
        val usual = if (occurs(faultRates.late)) 2 * SECOND + random.nextLong(20 * SECOND) else networkDelay()
        val travel = (messageDelays.commandTravelUs(from, call) ?: usual) + linkDelay(from, call)
        val reply: (Int, ByteArray) -> Unit = { status, body ->
            messageDelays.commandAnswered(call, status)
            repeatedRequests.onAnswered(from, call, status)
            if (!occurs(faultRates.lostAnswer)) after(networkDelay() + answerDelay(from, call)) { complete(answered(status, body)) }
        }
        val arrival: ((Int, ByteArray) -> Unit) -> Unit = { answered -> deliverCall(call, answered) { complete(Outcome.NotSent) } }
        after(travel) { if (call.target is Target.State) stateStoreFaults.intercept(from, call, reply, arrival) else arrival(reply) }
    }

    private fun answered(
        status: Int,
        body: ByteArray,
    ) = if (body.size > maxAnswerBytes) Outcome.Answered(status, ByteArray(0), isTooLong = true) else Outcome.Answered(status, body)

    /** Records a breach if a message to or from an agent is longer than the protocol allows. */
    internal fun checkSize(
        message: String,
        bytes: Int,
    ) {
        if (bytes > MAX_BODY_BYTES) rules.breaches += "too_large: $message of $bytes bytes at $now"
    }

    private fun peersCut(
        from: Node,
        to: Target,
    ): Boolean = from.cutFromPeers || nodes.first { it.settings.peerApi.toString() == to.address }.cutFromPeers

    private fun crossesZones(
        from: Node,
        target: Target,
    ): Boolean =
        when (target) {
            is Target.Peer -> nodes.first { it.settings.peerApi.toString() == target.address }.settings.zone != from.settings.zone
            is Target.Worker -> agents.values.firstOrNull { it.address == target.address }?.zone != from.settings.zone
            else -> false
        }

    private fun deliverCall(
        call: Call,
        reply: (Int, ByteArray) -> Unit,
        refused: () -> Unit,
    ) {
        val body = call.body ?: ByteArray(0)
        when (val target = call.target) {
            is Target.State ->
                state.request(
                    now,
                    call.method,
                    call.path,
                    body.decodeToString(),
                ) { reply(it.status, it.body.encodeToByteArray()) }
            is Target.Cloud -> cloud.request(call, body.decodeToString(), reply)
            is Target.Peer -> {
                val peer = nodes.first { it.settings.peerApi.toString() == target.address }
                val hint = PeerProtobuf.decodeFromByteArray(PeerHint.serializer(), body)
                if (!peer.deliver(Event.Hint(hint, ReplyTo { reply(it.status, it.body) }))) refused()
            }
            is Target.Worker -> {
                callsByAddress.merge(target.address, 1, Int::plus)
                val agent = agents.values.firstOrNull { it.address == target.address } ?: return
                if (call.method ==
                    "GET"
                ) {
                    answerInspection(agent, reply)
                } else {
                    deliverCommands(agent, WireJson.decodeFromString(CommandBatch.serializer(), body.decodeToString()), reply)
                }
            }
        }
    }

    private fun answerInspection(
        agent: SimulatedAgent,
        reply: (Int, ByteArray) -> Unit,
    ) {
        if (now < agent.hangingUntilUs || agent.inboundLost) return
        reply(200, WireJson.encodeToString(MachineReport.serializer(), agent.heartbeat(now)).encodeToByteArray())
    }

    private fun deliverCommands(
        agent: SimulatedAgent,
        batch: CommandBatch,
        reply: (Int, ByteArray) -> Unit,
    ) {
        if (agents[agent.id] !== agent) return
        if (agent.inboundLost) return agent.recordMissedStarts(batch.commands, now)
        // A hanging machine executes the commands it was sent as soon as it resumes.
        if (now < agent.hangingUntilUs) return after(agent.hangingUntilUs - now + MILLI) { deliverCommands(agent, batch, reply) }
        agent.tick(now)
        val (status, report) = agent.handleCommands(batch.token, batch.agentEpoch, batch.commands, now)
        reply(status, WireJson.encodeToString(MachineReport.serializer(), report).encodeToByteArray())
    }

    /** The address of a machine that boots, if it is not a new one. */
    var reusedAddress: (String) -> String? = { null }

    /** Starts the agent of a rented machine, which sends its first heartbeat to a random controller. */
    fun boot(
        id: String,
        request: RentalRequest,
    ) {
        val number = id.takeLast(4).toInt()
        val address = reusedAddress(id) ?: "10.1.${number / 250}.${number % 250}:9000"
        val agent = SimulatedAgent(id, address, request.type, request.zone, request.spot, nodes[0].settings.leaseUs, this, now)
        agents[id] = agent
        heartbeats.heartbeatLoop(agent, random.nextInt(nodes.size), 0)
    }

    /** Removes a machine together with all its tasks. */
    fun remove(id: String) {
        cloud.remove(id)
        agents.remove(id)?.kill(now)
    }

    /** Delivers a copy of an old heartbeat to [node]; the answer is discarded. */
    fun deliverDuplicate(
        message: MachineReport,
        node: Node,
    ) {
        node.deliver(Event.Report(message, ReplyTo { }))
    }

    /** Adds a user who submits [spec] until it is accepted, then polls it, and cancels it after [cancelAfterUs] if not null. */
    fun addUser(
        spec: JobSpec,
        cancelAfterUs: Micros?,
    ) = users.submitAndPoll(spec, cancelAfterUs)

    fun pollUnknownJob(id: String) = users.pollUnknownJob(id)

    override fun started(
        machine: SimulatedAgent,
        task: String,
        now: Micros,
    ) = rules.started(task, RuleChecker.TaskPlace(machine.id, machine.zone, machine.spot), now)

    override fun ended(
        machine: SimulatedAgent,
        task: String,
        completed: Boolean,
        now: Micros,
    ) {
        val job = task.substringBeforeLast('/')
        val wasComplete = rules.isComplete(job)
        rules.ended(task, completed, now)
        if (!wasComplete && rules.isComplete(job)) onJobCompleted(job)
    }

    override fun tokenRaised(
        machine: SimulatedAgent,
        token: Long,
    ) = rules.tokenRaised(machine.id, token, state.version(Keys.borrow(machine.id)))

    override fun removedTooEarly(
        machine: SimulatedAgent,
        task: String,
    ) = rules.removedTooEarly(machine.id, task, now)

    override fun refusedAsBusy(
        machine: SimulatedAgent,
        task: String,
    ) = rules.refusedAsBusy(machine.id, task, now)

    override fun refusal(
        machine: SimulatedAgent,
        task: String,
    ): ExitCause? = startRefusal(machine, task)

    override fun runTimeUs(task: String): Micros? {
        runTimes[task]?.let { return it }
        val spec = rules.spec(task.substringBeforeLast('/')) ?: return null
        return if (spec.estimateS == 0.0) null else (spec.estimateS * SECOND).toLong()
    }

    override fun fails(
        machine: SimulatedAgent,
        task: String,
    ): Boolean = taskFails(machine, task)

    companion object {
        private const val STEP: Micros = 20 * MILLI
        internal const val SERVICE_TICK: Micros = 100 * MILLI
        private const val WALL_CLOCK_OFFSET: Micros = 1_700_000_000 * SECOND
    }
}
