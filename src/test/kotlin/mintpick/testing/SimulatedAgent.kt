package mintpick.testing

import mintpick.core.Micros
import mintpick.core.SECOND
import mintpick.wire.Command
import mintpick.wire.ExitCause
import mintpick.wire.MachineReport
import mintpick.wire.TaskReport
import mintpick.wire.TaskState
import mintpick.wire.Verb

/** Observes on which machine each task runs, as the agents see it, and determines run times and failures. */
interface TaskWatcher {
    fun started(
        machine: SimulatedAgent,
        task: String,
        now: Micros,
    )

    fun ended(
        machine: SimulatedAgent,
        task: String,
        completed: Boolean,
        now: Micros,
    )

    /** The agent of [machine] has accepted the fencing token [token], which is higher than all before. */
    fun tokenRaised(
        machine: SimulatedAgent,
        token: Long,
    )

    /** The agent of [machine] was told to remove an attempt of [task], and would execute a direct start of it again. */
    fun removedTooEarly(
        machine: SimulatedAgent,
        task: String,
    ) = Unit

    /** The agent of [machine] has refused a start of [task], because it still lists another attempt. */
    fun refusedAsBusy(
        machine: SimulatedAgent,
        task: String,
    ) = Unit

    /** Why the agent of [machine] refuses a start of [task]; null: it accepts it. */
    fun refusal(
        machine: SimulatedAgent,
        task: String,
    ): ExitCause? = null

    /** Run time of [task]; null: it runs until stopped. */
    fun runTimeUs(task: String): Micros?

    /** Whether [task] fails when run on [machine]. */
    fun fails(
        machine: SimulatedAgent,
        task: String,
    ): Boolean
}

/** Simulates the agent of one machine: fencing tokens, agent epochs, leases and tasks as PROTOCOL describes them. */
class SimulatedAgent(
    val id: String,
    val address: String,
    val type: String,
    val zone: String,
    val spot: Boolean,
    private val leaseUs: Micros,
    private val watcher: TaskWatcher,
    now: Micros,
) {
    /** An attempt of [task] in the agent's list. */
    private class Attempt(
        val task: String,
        val number: Int,
        var state: TaskState,
        var cause: ExitCause?,
        var untilUs: Micros,
    ) {
        val isAssigned: Boolean get() = state != TaskState.EXITED
    }

    /** Name of a task and number of its attempt. */
    private data class AttemptName(
        val task: String,
        val number: Int,
    )

    var agentEpoch = 1L
        private set
    private var sequence = 0L
    private var token = 0L
    private var leaseStartUs = now

    /** Every attempt stays listed until a command removes it; a task may have several ended ones. */
    private val attempts = LinkedHashMap<AttemptName, Attempt>()

    /** Highest token of the direct commands in which each attempt was started in this epoch; such a start may be executed again. */
    private val directStarts = HashMap<AttemptName, Long>()

    /** Until then the agent sends no heartbeats, executes no commands and completes no tasks, but its lease still expires. */
    var hangingUntilUs: Micros = 0

    /** Whether there is something new to send, so that the next heartbeat is due early. */
    var changed = true

    /** Network fault: its heartbeats are delivered, but answers, commands and inspections do not reach it. */
    var inboundLost = false

    /** Network fault: its heartbeats are lost, while direct calls reach it and are answered. */
    var heartbeatsLost = false

    /** Starts that did not reach it because of [inboundLost]: the time, and task and attempt. */
    val missedStarts = ArrayList<Pair<Micros, String>>()

    /** When the machine will be terminated, if the cloud has given notice. */
    var noticeUs: Micros? = null

    /** Tasks with a stored result. If started again, they are done as soon as the image is fetched. */
    private val completedTasks = HashSet<String>()

    /** Jobs whose image is on the machine, so that their tasks start at once. */
    private val jobsWithImage = HashSet<String>()

    private fun jobOf(task: String): String = task.substringBeforeLast('/')

    /** Tasks that are running or fetching their image. */
    fun assignedTasks(): Set<String> = attempts.values.filter { it.isAssigned }.mapTo(LinkedHashSet()) { it.task }

    /** All attempts in its list, as in its next heartbeat. */
    fun listedAttempts(): List<TaskReport> = attempts.values.map { TaskReport(it.task, it.number, it.state, it.cause) }

    fun recordMissedStarts(
        commands: List<Command>,
        now: Micros,
    ) {
        commands.filter { it.verb == Verb.START }.forEach { missedStarts += now to "${it.task} ${it.attempt}" }
    }

    fun tick(now: Micros) {
        if (now - leaseStartUs > leaseUs) {
            kill(now)
            agentEpoch++
            leaseStartUs = now
            changed = true
        }
        if (now < hangingUntilUs) return
        attempts.values.forEach { advance(it, now) }
    }

    private fun advance(
        attempt: Attempt,
        now: Micros,
    ) {
        val name = attempt.task
        if (attempt.state == TaskState.FETCHING && now >= attempt.untilUs) {
            attempt.state = TaskState.RUNNING
            jobsWithImage += jobOf(name)
            attempt.untilUs = watcher.runTimeUs(name)?.let { now + it } ?: Long.MAX_VALUE
            if (watcher.fails(this, name)) attempt.untilUs = now + FAILURE_DELAY
            if (name in completedTasks) attempt.untilUs = now
            changed = true
            watcher.started(this, name, now)
        } else if (attempt.state == TaskState.RUNNING && now >= attempt.untilUs) {
            val fails = watcher.fails(this, name)
            if (!fails) completedTasks += name
            exit(attempt, if (fails) ExitCause.ERROR else ExitCause.DONE, now)
        }
    }

    /** Lets the running task [name] complete at the next tick. */
    fun complete(
        name: String,
        now: Micros,
    ) {
        attempts.values.first { it.task == name && it.isAssigned }.untilUs = now
    }

    private fun exit(
        attempt: Attempt,
        cause: ExitCause,
        now: Micros,
    ) {
        val wasRunning = attempt.state == TaskState.RUNNING
        attempt.state = TaskState.EXITED
        attempt.cause = cause
        changed = true
        if (wasRunning) watcher.ended(this, attempt.task, cause == ExitCause.DONE, now)
    }

    /** Ends all tasks without a result. */
    fun kill(now: Micros) {
        attempts.values.filter { it.state == TaskState.RUNNING }.forEach { watcher.ended(this, it.task, false, now) }
        attempts.clear()
        directStarts.clear()
    }

    fun heartbeat(now: Micros): MachineReport {
        changed = false
        return MachineReport(
            id,
            address,
            type,
            zone,
            spot,
            agentEpoch,
            ++sequence,
            token,
            noticeUs?.let { (it - now).toDouble() / SECOND },
            listedAttempts(),
        )
    }

    /** Handles the answer to a heartbeat that was sent at [sentUs] in [heartbeatEpoch]; it renews the lease from [sentUs]. */
    fun handleHeartbeatAnswer(
        heartbeatEpoch: Long,
        sentUs: Micros,
        answerToken: Long,
        commands: List<Command>,
        now: Micros,
    ) {
        if (heartbeatEpoch != agentEpoch || answerToken < token) return
        raiseToken(answerToken)
        leaseStartUs = maxOf(leaseStartUs, sentUs)
        commands.forEach { execute(it, now) }
    }

    /** Executes a batch of direct commands unless its token or agent epoch is outdated; returns status and heartbeat. */
    fun handleCommands(
        batchToken: Long,
        batchEpoch: Long,
        commands: List<Command>,
        now: Micros,
    ): Pair<Int, MachineReport> {
        if (batchToken < token || batchEpoch != agentEpoch) return 409 to heartbeat(now)
        raiseToken(batchToken)
        commands.filter { it.verb == Verb.START }.forEach { directStarts[AttemptName(it.task, it.attempt)] = batchToken }
        commands.forEach { execute(it, now) }
        return 200 to heartbeat(now)
    }

    private fun raiseToken(seen: Long) {
        if (seen > token) {
            token = seen
            changed = true
            watcher.tokenRaised(this, seen)
        }
    }

    private fun execute(
        command: Command,
        now: Micros,
    ) {
        val name = AttemptName(command.task, command.attempt)
        val attempt = attempts[name]
        when (command.verb) {
            Verb.START -> if (attempt == null) start(name, now)
            Verb.STOP -> if (attempt != null && attempt.isAssigned) exit(attempt, ExitCause.STOPPED, now)
            Verb.REMOVE -> if (attempt != null && !attempt.isAssigned) remove(name)
        }
    }

    /** Refuses the start as the protocol allows it: also if an attempt of the task has ended and is still listed. */
    private fun start(
        name: AttemptName,
        now: Micros,
    ) {
        val isBusy = attempts.values.any { it.task == name.task }
        val refusal = if (isBusy) ExitCause.BUSY else watcher.refusal(this, name.task)
        val state = if (refusal == null) TaskState.FETCHING else TaskState.EXITED
        val fetchTime = if (jobOf(name.task) in jobsWithImage) 0 else FETCH_TIME
        attempts[name] = Attempt(name.task, name.number, state, refusal, now + fetchTime)
        changed = true
        if (isBusy) watcher.refusedAsBusy(this, name.task)
    }

    private fun remove(name: AttemptName) {
        attempts.remove(name)
        changed = true
        val startToken = directStarts[name] ?: return
        if (startToken >= token) watcher.removedTooEarly(this, name.task)
    }

    private companion object {
        const val FETCH_TIME: Micros = SECOND
        const val FAILURE_DELAY: Micros = SECOND
    }
}
