package mintpick.testing

import mintpick.config.Operators
import mintpick.config.Settings
import mintpick.core.MILLI
import mintpick.core.Micros
import mintpick.core.SECOND
import mintpick.engine.Engine
import mintpick.engine.runtime.Effect
import mintpick.engine.runtime.Event
import mintpick.engine.runtime.ReplyTo
import mintpick.net.Answer
import mintpick.net.Call
import mintpick.net.Outcome
import mintpick.net.Target
import mintpick.wire.CommandBatch
import mintpick.wire.JobSpec
import mintpick.wire.MachineReport
import mintpick.wire.Misdirected
import mintpick.wire.PeerHint
import mintpick.wire.PeerProtobuf
import mintpick.wire.RentalRequest
import mintpick.wire.ReportAnswer
import mintpick.wire.WireJson
import java.util.PriorityQueue
import java.util.SplittableRandom

/** Three engines, a state service, a cloud, workers and users in one virtual time, with faults at will. */
class SimulatedCluster(
    seed: Long,
    private val faultRates: FaultRates,
    private val size: ClusterSize = ClusterSize(),
    private val settingsOf: (Int) -> Settings,
) : TaskWatcher {
    /** The controller of one process: some version of the engine. */
    fun interface Controller {
        fun step(
            now: Micros,
            wallClockUs: Micros,
            events: List<Event>,
        ): List<Effect>
    }

    /** What a process of a node runs when it starts. */
    var controllerOf: (Node) -> Controller = { node -> Engine(node.settings, Operators(), random.split())::step.let(::Controller) }

    inner class Node(
        val index: Int,
    ) {
        val settings = settingsOf(index)
        var engine: Controller? = null
        private val inbox = ArrayList<Event>()
        private var life = 0
        var cutFromState = false
        var cutFromWorkers = false
        var cutFromPeers = false

        /** Calls made and events taken, over all its lives. */
        var calls = 0L
            private set
        var events = 0L
            private set

        /** This controller's present life. */
        val name: String get() = "${settings.node} #$life"

        fun start() {
            engine = controllerOf(this)
            life++
            inbox.clear()
            val mine = life
            stepLoop(mine)
        }

        /** Pauses, while its clocks go on and what comes for it is kept. */
        fun pauseProcess(spanUs: Micros) {
            pausedUntilUs = now + spanUs
        }

        private var pausedUntilUs: Micros = 0

        fun crash(downUs: Micros) {
            engine = null
            after(downUs) { if (engine == null) start() }
        }

        private fun stepLoop(mine: Int) {
            if (life != mine || engine == null) return
            if (now >= pausedUntilUs) step()
            after(STEP) { stepLoop(mine) }
        }

        fun deliver(event: Event): Boolean {
            if (engine == null) return false
            inbox += event
            return true
        }

        private fun step() {
            val engine = engine ?: return
            val batch = inbox.toList()
            inbox.clear()
            events += batch.size
            val mine = life
            for (effect in engine.step(now + index * SECOND, WALL + now, batch)) {
                when (effect) {
                    is Effect.Send -> effect.reply.answer(effect.answer)
                    is Effect.Start -> {
                        calls++
                        perform(this, effect.call) { if (life == mine) deliver(Event.CallDone(effect.id, it)) }
                    }
                }
            }
        }
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
    val nodes = (0 until NODES).map { Node(it) }
    val workers = LinkedHashMap<String, SimulatedAgent>()

    val cloud by lazy { SimulatedCloud(this, size, nodes[0].settings.listLagUs) }

    /** The two zones can't reach each other. */
    var zonesCut = false

    /** A zone that is cut off from everything: from the other zone, the state service, the cloud and the users. */
    var zoneOut: String? = null

    /** How much longer than usual the answer to a controller's call takes. */
    var slowAnswer: (Node, Call) -> Micros = { _, _ -> 0 }

    /** Hears which jobs' last tasks are done, as that happens. */
    var onLastTaskDone: (String) -> Unit = {}

    /** How much longer than usual a call is on its way. */
    var linkDelay: (Node, Call) -> Micros = { _, _ -> 0 }

    /** Which runs end with an error: by machine and task. */
    var failing: (SimulatedAgent, String) -> Boolean = { _, _ -> false }

    /** Run times of tasks that differ from their job's estimate. */
    val runTimes = HashMap<String, Micros>()

    /** Calls by the address of the machine that they were for. */
    val callsTo = HashMap<String, Int>()

    val rules =
        RuleChecker(
            nodes[0].settings.cancelUs,
            nodes[0].settings.teams.associate { it.name to it.cpusMax },
        )
    val messageDelays = MessageDelays(this)
    private val users = SimulatedUsers(this)

    fun after(
        delay: Micros,
        run: () -> Unit,
    ) {
        timers += Timer(now + delay, order++, run)
    }

    fun run(untilUs: Micros) {
        if (!started) {
            started = true
            nodes.forEach { it.start() }
            worldLoop()
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

    private fun worldLoop() {
        state.tick(now)
        messageDelays.tick()
        workers.values.toList().forEach { it.tick(now) }
        rules.tick(now)
        if (now % SECOND < TICK) {
            cloud.noteList()
        }
        after(TICK) { worldLoop() }
    }

    private fun hit(thousandths: Int): Boolean = thousandths > 0 && random.nextInt(1000) < thousandths

    internal fun delay(): Micros = MILLI + random.nextLong(4 * MILLI)

    private fun perform(
        from: Node,
        call: Call,
        done: (Outcome) -> Unit,
    ) {
        if (call.target is Target.Cloud) cloud.noteName(call, from.name)
        var open = true
        val end: (Outcome) -> Unit = { outcome ->
            if (open) {
                open = false
                done(outcome)
            }
        }
        after(call.timeoutUs) { end(Outcome.Unanswered) }
        val cut =
            ((zonesCut || zoneOut != null) && crossesZones(from, call.target)) ||
                (from.settings.zone == zoneOut && (call.target is Target.State || call.target is Target.Cloud)) ||
                (from.cutFromState && call.target is Target.State) ||
                (call.target is Target.Peer && peersCut(from, call.target)) ||
                (from.cutFromWorkers && call.target is Target.Worker) ||
                hit(faultRates.lost)
        if (cut) return
        // A packet that is held back arrives long after the sender has given up.
        val usual = if (hit(faultRates.late)) 2 * SECOND + random.nextLong(20 * SECOND) else delay()
        val travel = (messageDelays.travelUs(from, call) ?: usual) + linkDelay(from, call)
        val reply: (Int, ByteArray) -> Unit = { status, body ->
            messageDelays.arrived(call, status)
            if (!hit(faultRates.lostAnswer)) after(delay() + slowAnswer(from, call)) { end(Outcome.Answered(status, body)) }
        }
        val arrival: ((Int, ByteArray) -> Unit) -> Unit = { answered -> arrive(call, answered) { end(Outcome.NotSent) } }
        after(travel) { if (call.target is Target.State) stateStoreFaults.pass(from, call, reply, arrival) else arrival(reply) }
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
            is Target.Worker -> workers.values.firstOrNull { it.address == target.address }?.zone != from.settings.zone
            else -> false
        }

    private fun arrive(
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
                callsTo.merge(target.address, 1, Int::plus)
                val worker = workers.values.firstOrNull { it.address == target.address } ?: return
                if (call.method ==
                    "GET"
                ) {
                    inspect(worker, reply)
                } else {
                    command(worker, WireJson.decodeFromString(CommandBatch.serializer(), body.decodeToString()), reply)
                }
            }
        }
    }

    private fun inspect(
        worker: SimulatedAgent,
        reply: (Int, ByteArray) -> Unit,
    ) {
        if (now < worker.hangingUntilUs || worker.deaf) return
        reply(200, WireJson.encodeToString(MachineReport.serializer(), worker.report(now)).encodeToByteArray())
    }

    private fun command(
        worker: SimulatedAgent,
        batch: CommandBatch,
        reply: (Int, ByteArray) -> Unit,
    ) {
        if (workers[worker.id] !== worker) return
        if (worker.deaf) return worker.miss(batch.commands, now)
        // A hanging machine executes what it was sent when it carries on.
        if (now < worker.hangingUntilUs) return after(worker.hangingUntilUs - now + MILLI) { command(worker, batch, reply) }
        worker.tick(now)
        val (status, report) = worker.direct(batch.token, batch.agentEpoch, batch.commands, now)
        reply(status, WireJson.encodeToString(MachineReport.serializer(), report).encodeToByteArray())
    }

    /** A rented machine comes up; its worker reports to any controller first. */
    fun boot(
        id: String,
        request: RentalRequest,
    ) {
        val number = id.takeLast(4).toInt()
        val address = "10.1.${number / 250}.${number % 250}:9000"
        val worker = SimulatedAgent(id, address, request.type, request.zone, request.spot, nodes[0].settings.leaseUs, this, now)
        workers[id] = worker
        reportLoop(worker, random.nextInt(NODES), 0)
    }

    /** The machine is gone with everything on it. */
    fun remove(id: String) {
        cloud.remove(id)
        workers.remove(id)?.kill(now)
    }

    private fun reportLoop(
        worker: SimulatedAgent,
        target: Int,
        waitedUs: Micros,
    ) {
        if (workers[worker.id] !== worker) return
        val due = waitedUs >= 3 * SECOND || (worker.changed && waitedUs >= SECOND / 2)
        if (!due || now < worker.hangingUntilUs) return after(TICK) { reportLoop(worker, target, waitedUs + TICK) }
        report(worker, target)
    }

    private fun report(
        worker: SimulatedAgent,
        target: Int,
    ) {
        val node = nodes[target]
        val message = worker.report(now)
        val sent = now
        messageDelays.reported(message)
        if (hit(faultRates.copied)) after(2 * SECOND + random.nextLong(58 * SECOND)) { replay(message, nodes[random.nextInt(NODES)]) }
        var open = true
        val next: (Int, Micros) -> Unit = { to, pause ->
            if (open) {
                open = false
                after(pause) { reportLoop(worker, to, 3 * SECOND) }
            }
        }
        after(4 * SECOND) { next((target + 1) % NODES, SECOND) }
        if (worker.mute ||
            node.cutFromWorkers ||
            ((zonesCut || zoneOut != null) && node.settings.zone != worker.zone) ||
            hit(faultRates.lost)
        ) {
            return
        }
        val travel = if (hit(faultRates.late)) 5 * SECOND + random.nextLong(10 * SECOND) else delay()
        after(travel) {
            val delivered =
                node.deliver(
                    Event.Report(
                        message,
                        ReplyTo { answer ->
                            if (worker.deaf) {
                                miss(worker, answer)
                            } else if (!hit(faultRates.lostAnswer)) {
                                after(delay()) {
                                    if (open && workers[worker.id] === worker && now >= worker.hangingUntilUs) {
                                        open = false
                                        take(worker, target, message.agentEpoch, sent, answer)
                                    }
                                }
                            }
                        },
                    ),
                )
            if (!delivered) next((target + 1) % NODES, SECOND)
        }
    }

    private fun miss(
        worker: SimulatedAgent,
        answer: Answer,
    ) {
        if (answer.status ==
            200
        ) {
            worker.miss(WireJson.decodeFromString(ReportAnswer.serializer(), answer.body.decodeToString()).commands, now)
        }
    }

    /** A copy of an old report arrives; nobody reads the answer. */
    fun replay(
        message: MachineReport,
        node: Node,
    ) {
        node.deliver(Event.Report(message, ReplyTo { }))
    }

    private fun take(
        worker: SimulatedAgent,
        target: Int,
        session: Long,
        sentUs: Micros,
        answer: Answer,
    ) {
        when (answer.status) {
            200 -> {
                val body = WireJson.decodeFromString(ReportAnswer.serializer(), answer.body.decodeToString())
                worker.tick(now)
                worker.answered(session, sentUs, body.token, body.commands, now)
                after(TICK) { reportLoop(worker, target, TICK) }
            }
            421 -> {
                val to = WireJson.decodeFromString(Misdirected.serializer(), answer.body.decodeToString()).controller
                val index = nodes.indexOfFirst { it.settings.node == to }
                if (index < 0 || index == target) {
                    after(SECOND) { reportLoop(worker, (target + 1) % NODES, 3 * SECOND) }
                } else {
                    after(random.nextLong(SECOND / 2)) { reportLoop(worker, index, 3 * SECOND) }
                }
            }
            else -> after(SECOND) { reportLoop(worker, (target + 1) % NODES, 3 * SECOND) }
        }
    }

    /** A user who submits, repeats until accepted, and polls to the end. */
    fun user(
        spec: JobSpec,
        cancelAfterUs: Micros?,
    ) = users.begin(spec, cancelAfterUs)

    fun pollUnknown(id: String) = users.pollUnknown(id)

    override fun started(
        machine: SimulatedAgent,
        task: String,
        now: Micros,
    ) = rules.started(task, RuleChecker.SimPlace(machine.id, machine.zone, machine.spot), now)

    override fun left(
        machine: SimulatedAgent,
        task: String,
        completed: Boolean,
        now: Micros,
    ) {
        val job = task.substringBeforeLast('/')
        val wasComplete = rules.isComplete(job)
        rules.left(task, completed, now)
        if (!wasComplete && rules.isComplete(job)) onLastTaskDone(job)
    }

    override fun runTimeUs(task: String): Micros? {
        runTimes[task]?.let { return it }
        val spec = rules.spec(task.substringBeforeLast('/')) ?: return null
        return if (spec.estimateS == 0.0) null else (spec.estimateS * SECOND).toLong()
    }

    override fun fails(
        machine: SimulatedAgent,
        task: String,
    ): Boolean = failing(machine, task)

    companion object {
        const val NODES = 3
        private const val STEP: Micros = 20 * MILLI
        private const val TICK: Micros = 100 * MILLI
        private const val WALL: Micros = 1_700_000_000 * SECOND
    }
}
