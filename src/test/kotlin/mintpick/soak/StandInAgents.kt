package mintpick.soak

import mintpick.core.MILLI
import mintpick.core.Micros
import mintpick.core.SECOND
import mintpick.testing.SimulatedAgent
import mintpick.testing.TaskWatcher
import mintpick.wire.Command
import mintpick.wire.CommandBatch
import mintpick.wire.MachineReport
import mintpick.wire.Misdirected
import mintpick.wire.RentalRequest
import mintpick.wire.ReportAnswer
import mintpick.wire.WireJson
import java.util.SplittableRandom
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.ScheduledExecutorService

/**
 * The agents of all machines: each sends heartbeats to one controller at a time and serves direct commands at an address of its own.
 * Every access to an agent's state holds [lock].
 */
internal class StandInAgents(
    private val controllers: List<ControllerProcess>,
    private val sockets: SocketClient,
    private val settings: SoakSettings,
    private val lock: Any,
    private val timer: ScheduledExecutorService,
    private val random: SplittableRandom,
    private val nowUs: () -> Micros,
    private val watcher: TaskWatcher,
    private val repeats: RepeatedExecutions,
) : MachineHost,
    AutoCloseable {
    private inner class Machine(
        val agent: SimulatedAgent,
        val server: StandInServer,
    ) {
        val client = SoakClient(sockets)
        var target = synchronized(random) { random.nextInt(controllers.size) }

        @Volatile var isRemoved = false
    }

    private val machines = ConcurrentHashMap<String, Machine>()

    /** Commands that agents have received, with their time and way, by task. Guarded by [lock]. */
    private val receivedCommands = HashMap<String, MutableList<String>>()

    /** What agents have received about [task], in order. */
    fun historyOf(task: String): List<String> = synchronized(lock) { receivedCommands[task].orEmpty().toList() }

    private fun recordCommands(
        machine: Machine,
        way: String,
        token: Long,
        commands: List<Command>,
    ) {
        for (it in commands) {
            val line = "${nowUs()} ${machine.agent.id} epoch ${machine.agent.agentEpoch} $way token $token ${it.verb} attempt ${it.attempt}"
            receivedCommands.getOrPut(it.task) { ArrayList() } += line
        }
    }

    /** Thousandths of heartbeats of which a copy reaches a random controller 2 to 15 s later. */
    @Volatile var lateCopies = 0

    /** Number of machines that are up. */
    val size: Int get() = machines.size

    override fun boot(
        id: String,
        request: RentalRequest,
    ) {
        lateinit var machine: Machine
        val server = StandInServer(timer) { handle(machine, it) }
        val agent = SimulatedAgent(id, server.address, request.type, request.zone, request.spot, settings.leaseUs, watcher, nowUs())
        machine = Machine(agent, server)
        machines[id] = machine
        tick(machine)
        heartbeat(machine)
    }

    override fun remove(id: String) {
        val machine = machines.remove(id) ?: return
        synchronized(lock) {
            machine.isRemoved = true
            machine.agent.assignedTasks().forEach { receivedCommands.getOrPut(it) { ArrayList() } += "${nowUs()} $id removed" }
            machine.agent.kill(nowUs())
        }
        machine.server.close()
        machine.client.close()
    }

    /** Makes [count] machines hang for [spanUs]. */
    fun hang(
        count: Int,
        spanUs: Micros,
    ) = machines.values.take(count).forEach { it.agent.hangingUntilUs = nowUs() + spanUs }

    private fun tick(machine: Machine) {
        if (machine.isRemoved) return
        synchronized(lock) { machine.agent.tick(nowUs()) }
        timer.after(TICK) { tick(machine) }
    }

    private fun heartbeat(machine: Machine) {
        if (machine.isRemoved) return
        if (nowUs() < machine.agent.hangingUntilUs) return timer.after(TICK) { heartbeat(machine) }
        val controller = controllers[machine.target]
        val sentUs = nowUs()
        val report = synchronized(lock) { machine.agent.heartbeat(sentUs) }
        val body = WireJson.encodeToString(MachineReport.serializer(), report)
        if (random.occurs(lateCopies)) timer.after(random.seconds(2, 15)) { sendCopy(body) }
        if (controller.faults.cutFromAgents) return timer.after(HEARTBEAT_TIMEOUT) { tryNext(machine) }
        machine.client.post(controller.apiAddress, "/checkin", body, HEARTBEAT_TIMEOUT) { answer ->
            if (controller.faults.cutFromAgents) tryNext(machine) else onAnswer(machine, report, sentUs, answer)
        }
    }

    private fun sendCopy(body: String) {
        val target = synchronized(random) { random.nextInt(controllers.size) }
        val copies = SoakClient(sockets)
        copies.post(controllers[target].apiAddress, "/checkin", body, HEARTBEAT_TIMEOUT) { copies.close() }
    }

    private fun onAnswer(
        machine: Machine,
        report: MachineReport,
        sentUs: Micros,
        answer: SoakAnswer?,
    ) {
        if (nowUs() < machine.agent.hangingUntilUs) return timer.after(TICK) { heartbeat(machine) }
        when (answer?.status) {
            OK -> onAccepted(machine, report, sentUs, answer)
            MISDIRECTED -> onMisdirected(machine, answer)
            else -> timer.after(SECOND) { tryNext(machine) }
        }
    }

    private fun onAccepted(
        machine: Machine,
        report: MachineReport,
        sentUs: Micros,
        answer: SoakAnswer,
    ) {
        val body = WireJson.decodeFromString(ReportAnswer.serializer(), answer.body)
        synchronized(lock) {
            if (machine.isRemoved) return
            machine.agent.tick(nowUs())
            recordCommands(machine, "heartbeat of $sentUs", body.token, body.commands)
            machine.agent.handleHeartbeatAnswer(report.agentEpoch, sentUs, body.token, body.commands, nowUs())
        }
        awaitNext(machine, sentUs)
    }

    /** Sends the next heartbeat when it is due, or earlier if something has changed. */
    private fun awaitNext(
        machine: Machine,
        sentUs: Micros,
    ) {
        val sinceUs = nowUs() - sentUs
        val isDue = sinceUs >= settings.heartbeatIntervalUs || (machine.agent.changed && sinceUs >= MIN_INTERVAL)
        if (isDue) heartbeat(machine) else timer.after(TICK) { awaitNext(machine, sentUs) }
    }

    private fun onMisdirected(
        machine: Machine,
        answer: SoakAnswer,
    ) {
        val name = WireJson.decodeFromString(Misdirected.serializer(), answer.body).controller
        val named = controllers.indexOfFirst { it.node == name }
        if (named < 0 || named == machine.target) return timer.after(SECOND) { tryNext(machine) }
        machine.client.disconnect(controllers[machine.target].apiAddress)
        machine.target = named
        timer.after(synchronized(random) { random.nextLong(SECOND / 2) }) { heartbeat(machine) }
    }

    private fun tryNext(machine: Machine) {
        machine.target = (machine.target + 1) % controllers.size
        heartbeat(machine)
    }

    private fun handle(
        machine: Machine,
        request: StandInRequest,
    ) {
        if (request.method == "GET") return request.reply(OK, reportOf(machine))
        val batch = WireJson.decodeFromString(CommandBatch.serializer(), request.body)
        val sender = controllers.firstOrNull { it.faults.lateCommands > 0 }
        val isLate = sender != null && random.occurs(sender.faults.lateCommands)
        val hangingUs = machine.agent.hangingUntilUs - nowUs()
        when {
            isLate -> {
                timer.after(random.seconds(2, 8)) { execute(machine, batch) }
                timer.after(HEARTBEAT_TIMEOUT) { request.drop() }
            }
            hangingUs > 0 -> timer.after(hangingUs) { executeAndReply(machine, batch, request) }
            else -> executeAndReply(machine, batch, request)
        }
    }

    private fun executeAndReply(
        machine: Machine,
        batch: CommandBatch,
        request: StandInRequest,
    ) {
        val result = execute(machine, batch)
        reply(request, result)
        if (result.first == OK) repeats.onAnswered { execute(machine, batch) }
    }

    private fun reply(
        request: StandInRequest,
        result: Pair<Int, MachineReport>,
    ) = request.reply(result.first, WireJson.encodeToString(MachineReport.serializer(), result.second))

    private fun execute(
        machine: Machine,
        batch: CommandBatch,
    ): Pair<Int, MachineReport> =
        synchronized(lock) {
            machine.agent.tick(nowUs())
            val state = if (machine.isRemoved) "removed" else "direct, has epoch ${batch.agentEpoch}"
            recordCommands(machine, state, batch.token, batch.commands)
            if (machine.isRemoved) {
                CONFLICT to machine.agent.heartbeat(nowUs())
            } else {
                machine.agent.handleCommands(batch.token, batch.agentEpoch, batch.commands, nowUs())
            }
        }

    private fun reportOf(machine: Machine): String =
        synchronized(lock) { WireJson.encodeToString(MachineReport.serializer(), machine.agent.heartbeat(nowUs())) }

    override fun close() = machines.keys.toList().forEach(::remove)

    private companion object {
        const val OK = 200
        const val CONFLICT = 409
        const val MISDIRECTED = 421
        const val TICK: Micros = 50 * MILLI
        const val MIN_INTERVAL: Micros = 500 * MILLI
        const val HEARTBEAT_TIMEOUT: Micros = 4 * SECOND
    }
}
