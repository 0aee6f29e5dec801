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
    private class Task(
        val attempt: Int,
        var state: TaskState,
        var cause: ExitCause?,
        var untilUs: Micros,
    )

    var agentEpoch = 1L
        private set
    private var sequence = 0L
    private var token = 0L
    private var leaseStartUs = now
    private val tasks = LinkedHashMap<String, Task>()

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

    /** Tasks that are running or fetching their image. */
    fun assignedTasks(): Set<String> = tasks.filterValues { it.state != TaskState.EXITED }.keys

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
        for ((name, task) in tasks) {
            if (task.state == TaskState.FETCHING && now >= task.untilUs) {
                task.state = TaskState.RUNNING
                task.untilUs = watcher.runTimeUs(name)?.let { now + it } ?: Long.MAX_VALUE
                if (watcher.fails(this, name)) task.untilUs = now + FAILURE_DELAY
                if (name in completedTasks) task.untilUs = now
                changed = true
                watcher.started(this, name, now)
            } else if (task.state == TaskState.RUNNING && now >= task.untilUs) {
                val fails = watcher.fails(this, name)
                if (!fails) completedTasks += name
                exit(name, task, if (fails) ExitCause.ERROR else ExitCause.DONE, now)
            }
        }
    }

    /** Lets the running task [name] complete at the next tick. */
    fun complete(
        name: String,
        now: Micros,
    ) {
        tasks.getValue(name).untilUs = now
    }

    private fun exit(
        name: String,
        task: Task,
        cause: ExitCause,
        now: Micros,
    ) {
        val wasRunning = task.state == TaskState.RUNNING
        task.state = TaskState.EXITED
        task.cause = cause
        changed = true
        if (wasRunning) watcher.ended(this, name, cause == ExitCause.DONE, now)
    }

    /** Ends all tasks without a result. */
    fun kill(now: Micros) {
        for ((name, task) in tasks) if (task.state == TaskState.RUNNING) watcher.ended(this, name, false, now)
        tasks.clear()
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
            tasks.map { (name, t) -> TaskReport(name, t.attempt, t.state, t.cause) },
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
        val task = tasks[command.task]
        when (command.verb) {
            Verb.START ->
                when {
                    task == null || (task.state == TaskState.EXITED && task.attempt != command.attempt) -> {
                        tasks[command.task] = Task(command.attempt, TaskState.FETCHING, null, now + FETCH_TIME)
                        changed = true
                    }
                    else -> Unit
                }
            Verb.STOP ->
                if (task != null &&
                    task.attempt == command.attempt &&
                    task.state != TaskState.EXITED
                ) {
                    exit(command.task, task, ExitCause.STOPPED, now)
                }
            Verb.REMOVE -> if (task?.state == TaskState.EXITED && task.attempt == command.attempt) tasks.remove(command.task)
        }
    }

    private companion object {
        const val FETCH_TIME: Micros = SECOND
        const val FAILURE_DELAY: Micros = SECOND
    }
}
