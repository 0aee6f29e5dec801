package mintpick.testing

import mintpick.core.Micros
import mintpick.core.SECOND
import mintpick.wire.Command
import mintpick.wire.ExitCause
import mintpick.wire.MachineReport
import mintpick.wire.TaskReport
import mintpick.wire.TaskState
import mintpick.wire.Verb

/** What the world watches: which attempt is on which machine, from the machines' own view. */
interface TaskWatcher {
    fun started(
        machine: SimulatedAgent,
        task: String,
        now: Micros,
    )

    fun left(
        machine: SimulatedAgent,
        task: String,
        completed: Boolean,
        now: Micros,
    )

    fun runTimeUs(task: String): Micros?

    /** Whether a run of [task] on [machine] ends with an error. */
    fun fails(
        machine: SimulatedAgent,
        task: String,
    ): Boolean
}

/** Stand-in for one machine's worker: tokens, sessions, leases and tasks as PROTOCOL describes them. */
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

    var session = 1L
        private set
    private var seq = 0L
    private var token = 0L
    private var leaseFromUs = now
    private val tasks = LinkedHashMap<String, Task>()
    var hangingUntilUs: Micros = 0
    var changed = true

    /** Its reports leave, but answers and commands do not arrive. */
    var deaf = false

    /** It reaches no controller, while direct calls reach it. */
    var mute = false

    /** Starts that were sent to it while it heard nothing: when, and which. */
    val missed = ArrayList<Pair<Micros, String>>()
    var noticeUs: Micros? = null

    /** Results are kept: a completed task that is started again is done as soon as it has its image. */
    private val results = HashSet<String>()

    /** Tasks that it runs or is about to run. */
    fun held(): Set<String> = tasks.filterValues { it.state != TaskState.EXITED }.keys

    fun miss(
        commands: List<Command>,
        now: Micros,
    ) {
        commands.filter { it.verb == Verb.START }.forEach { missed += now to "${it.task} ${it.attempt}" }
    }

    fun tick(now: Micros) {
        if (now - leaseFromUs > leaseUs) {
            kill(now)
            session++
            leaseFromUs = now
            changed = true
        }
        if (now < hangingUntilUs) return
        for ((name, task) in tasks) {
            if (task.state == TaskState.FETCHING && now >= task.untilUs) {
                task.state = TaskState.RUNNING
                task.untilUs = watcher.runTimeUs(name)?.let { now + it } ?: Long.MAX_VALUE
                if (watcher.fails(this, name)) task.untilUs = now + FAILS_AFTER
                if (name in results) task.untilUs = now
                changed = true
                watcher.started(this, name, now)
            } else if (task.state == TaskState.RUNNING && now >= task.untilUs) {
                val fails = watcher.fails(this, name)
                if (!fails) results += name
                exit(name, task, if (fails) ExitCause.ERROR else ExitCause.DONE, now)
            }
        }
    }

    private fun exit(
        name: String,
        task: Task,
        cause: ExitCause,
        now: Micros,
    ) {
        val wasOn = task.state == TaskState.RUNNING
        task.state = TaskState.EXITED
        task.cause = cause
        changed = true
        if (wasOn) watcher.left(this, name, cause == ExitCause.DONE, now)
    }

    fun kill(now: Micros) {
        for ((name, task) in tasks) if (task.state == TaskState.RUNNING) watcher.left(this, name, false, now)
        tasks.clear()
    }

    fun report(now: Micros): MachineReport {
        changed = false
        return MachineReport(
            id,
            address,
            type,
            zone,
            spot,
            session,
            ++seq,
            token,
            noticeUs?.let { (it - now).toDouble() / SECOND },
            tasks.map { (name, t) -> TaskReport(name, t.attempt, t.state, t.cause) },
        )
    }

    /** Takes the answer to a report of [reportSession] that was sent at [sentUs]. */
    fun answered(
        reportSession: Long,
        sentUs: Micros,
        answerToken: Long,
        commands: List<Command>,
        now: Micros,
    ) {
        if (reportSession != session || answerToken < token) return
        raise(answerToken)
        leaseFromUs = maxOf(leaseFromUs, sentUs)
        commands.forEach { execute(it, now) }
    }

    fun direct(
        batchToken: Long,
        batchSession: Long,
        commands: List<Command>,
        now: Micros,
    ): Pair<Int, MachineReport> {
        if (batchToken < token || batchSession != session) return 409 to report(now)
        raise(batchToken)
        commands.forEach { execute(it, now) }
        return 200 to report(now)
    }

    private fun raise(seen: Long) {
        if (seen > token) {
            token = seen
            changed = true
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
                        tasks[command.task] = Task(command.attempt, TaskState.FETCHING, null, now + FETCH)
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
        const val FETCH: Micros = SECOND
        const val FAILS_AFTER: Micros = SECOND
    }
}
