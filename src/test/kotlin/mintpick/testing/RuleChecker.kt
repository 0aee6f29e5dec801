package mintpick.testing

import mintpick.core.Micros
import mintpick.wire.JobSpec
import mintpick.wire.JobStage

/**
 * Checks the rules of PROTOCOL against what agents run and users are answered, not against the controllers' records.
 * Each breach is a line that begins with the name of the rule. [limits] are the teams' CPU limits; 0 means no limit.
 */
class RuleChecker(
    private val cancelUs: Micros,
    private val limits: Map<String, Double>,
) {
    val breaches = ArrayList<String>()
    private val runningTasks = HashMap<String, TaskPlace>()
    private val specs = HashMap<String, JobSpec>()
    private val accepted = HashSet<String>()
    private val finished = HashMap<String, MutableSet<String>>()
    private val answeredStage = HashMap<String, JobStage>()

    /** Jobs whose cancellation a user has requested. */
    private val cancelRequests = HashSet<String>()

    /** When a user was first answered that the job is cancelled. */
    private val cancelConfirmedAt = HashMap<String, Micros>()

    /** Time of the first poll of each job since the last answered one. */
    private val unansweredSince = HashMap<String, Micros>()
    private val submittedAt = HashMap<String, Micros>()
    private val startedAt = HashMap<String, Micros>()

    /** When the last task of each job completed. */
    private val completeAt = HashMap<String, Micros>()

    /** Jobs whose submission must be rejected. */
    private val unacceptable = HashSet<String>()
    private val acceptedAt = HashMap<String, Micros>()
    private val finalAt = HashMap<String, Micros>()
    private val hungAt = HashMap<String, Micros>()
    private val waitingSince = HashMap<String, Micros>()

    /** Delays between the confirmed cancellation of a job and later starts of its tasks, which commands sent before may cause. */
    val startsAfterCancel = ArrayList<Micros>()

    /** Longest allowed delay between a confirmed cancellation and a start by a command that was in flight by then. */
    var maxStartAfterCancelUs: Micros = cancelUs

    /** When the last fault ended. Afterwards polls must be answered and jobs placed within fixed times. */
    var faultsOverAtUs: Micros = Long.MAX_VALUE
    var starts = 0
        private set

    /** Number of starts of each task. */
    val startsOf = HashMap<String, Int>()

    /** Machine on which a task runs. */
    data class TaskPlace(
        val machine: String,
        val zone: String,
        val spot: Boolean,
    )

    fun submitted(
        spec: JobSpec,
        now: Micros = 0,
    ) {
        specs[spec.id] = spec
        submittedAt[spec.id] = now
    }

    /** Declares that [job] must not be accepted: it fits no machine, or its submission is malformed. */
    fun expectRejection(job: String) {
        unacceptable += job
    }

    /** Records that [machine] started to hang, so that a task it runs on is reported as such. */
    fun machineHung(
        machine: String,
        now: Micros,
    ) {
        hungAt[machine] = now
    }

    /** A user polls an accepted job. The time without an answer is counted for each job on its own. */
    fun polled(
        job: String,
        now: Micros,
    ) {
        unansweredSince.putIfAbsent(job, now)
    }

    fun pollAnswered(job: String) {
        unansweredSince.remove(job)
    }

    /**
     * Checks that at least half of the runnable jobs of each class, each team and each class's largest size have
     * started, and that the largest jobs of each class started within four minutes of being ready.
     */
    fun checkServed(now: Micros) {
        val runnable = specs.values.filter { it.id in accepted && !isCancelRequested(it.id) && readyAt(it.id) != null }
        val largest = runnable.groupBy { it.jobClass }.mapValues { (_, jobs) -> jobs.maxOf { it.tasks } }
        val groups =
            runnable.groupBy { "class ${it.jobClass}" } + runnable.groupBy { "team ${it.team}" } +
                runnable.filter { it.tasks == largest[it.jobClass] }.groupBy { "largest of ${it.jobClass}" }
        for ((name, jobs) in groups) {
            if (jobs.count { it.id in startedAt } * 2 < jobs.size) breaches += "unserved: $name"
        }
        for (job in runnable.filter { it.tasks == largest[it.jobClass] }) {
            val startUs = startedAt[job.id] ?: now
            if (startUs - (readyAt(job.id) ?: 0) > MAX_DELAY_OF_LARGEST) breaches += "unserved: ${job.id} began at $startUs"
        }
    }

    /** Checks that no job whose tasks have all completed is still open long after that and after the last fault. */
    fun checkEnded(now: Micros) {
        for ((job, completeUs) in completeAt) {
            val isOverdue = now - maxOf(completeUs, faultsOverAtUs) > MAX_DELAY_OF_END
            if (isOverdue && job in accepted && !isFinal(job)) breaches += "not_ended: $job complete at $completeUs"
        }
    }

    fun spec(job: String): JobSpec? = specs[job]

    /** All direct and indirect predecessors of [job]. */
    private fun allPredecessors(job: String): Set<String> {
        val found = LinkedHashSet<String>()
        val pending = ArrayDeque(specs[job]?.predecessors.orEmpty())
        while (pending.isNotEmpty()) {
            val next = pending.removeFirst()
            if (found.add(next)) pending += specs[next]?.predecessors.orEmpty()
        }
        return found
    }

    /** Whether a user requested the cancellation of [job] or of one of its direct or indirect predecessors. */
    private fun isCancelRequested(job: String): Boolean = job in cancelRequests || allPredecessors(job).any { it in cancelRequests }

    /** When the last predecessor of [job] completed or [job] was submitted, whichever is later; null: a predecessor is incomplete. */
    private fun readyAt(job: String): Micros? {
        val ends = specs[job]?.predecessors.orEmpty().map { completeAt[it] ?: return null }
        return maxOf(ends.maxOrNull() ?: 0, submittedAt[job] ?: 0)
    }

    fun started(
        task: String,
        place: TaskPlace,
        now: Micros,
    ) {
        starts++
        startsOf.merge(task, 1, Int::plus)
        val job = task.substringBeforeLast('/')
        val spec = specs[job]
        startedAt.putIfAbsent(job, now)
        runningTasks[task]?.let { breaches += "ran_twice: $task on ${place.machine} while on ${it.machine} at $now" }
        runningTasks[task] = place
        if (spec == null) {
            breaches += "invented: $task"
            return
        }
        allPredecessors(job).filterNot(::isComplete).forEach { breaches += "too_early: $task before $it at $now" }
        if (place.spot && !spec.spot) breaches += "wrong_place: $task on a spot machine"
        if (spec.zone != null && spec.zone != place.zone) breaches += "wrong_place: $task in ${place.zone}"
        val zones =
            runningTasks
                .filterKeys { it.substringBeforeLast('/') == job }
                .values
                .groupingBy { it.zone }
                .eachCount()
        if (spec.spread && (zones[place.zone] ?: 0) > (spec.tasks + 1) / 2) breaches += "wrong_place: $task too many in ${place.zone}"
        if (spec.oneZone && zones.size > 1) breaches += "wrong_place: $task in two zones"
        val limit = limits[spec.team] ?: 0.0
        val used = runningTasks.keys.sumOf { t -> specs[t.substringBeforeLast('/')]?.takeIf { it.team == spec.team }?.cpus ?: 0.0 }
        if (limit > 0 && used > limit + 1e-6) breaches += "quota: ${spec.team} uses $used of $limit at $now"
        cancelConfirmedAt[job]?.let {
            startsAfterCancel += now - it
            if (now - it > maxStartAfterCancelUs) breaches += "started_cancelled: $task ${now - it} after the cancellation"
        }
        cancelConfirmedAt[job]?.let { if (now - it > cancelUs) breaches += "ran_cancelled: $task started at $now" }
    }

    fun ended(
        task: String,
        completed: Boolean,
        now: Micros = 0,
    ) {
        runningTasks.remove(task)
        val job = task.substringBeforeLast('/')
        if (completed) finished.getOrPut(job) { HashSet() } += task
        if (completed && isComplete(job)) completeAt.putIfAbsent(job, now)
    }

    /**
     * The agent of [machine] accepted [token] while the stored claim of the borrowed machine had version [borrowedVersion], or 0
     * without one. No controller may hold a token that the agent prefers to the borrower's.
     */
    fun tokenRaised(
        machine: String,
        token: Long,
        borrowedVersion: Long,
    ) {
        if (borrowedVersion in 1 until token) breaches += "two_tokens: $machine accepted $token while borrowed with $borrowedVersion"
    }

    /** Whether attempts that agents may start again must not be removed; the version in production removes them. */
    var checksRemovals = true

    /** The agent of [machine] had to remove an attempt of [task], of which a direct start would still be executed. */
    fun removedTooEarly(
        machine: String,
        task: String,
        now: Micros,
    ) {
        if (checksRemovals) breaches += "removed_too_early: $task on $machine at $now"
    }

    /** The agent of [machine] refused a start of [task], because it lists another attempt. */
    fun refusedAsBusy(
        machine: String,
        task: String,
        now: Micros,
    ) {
        if (checksRemovals) breaches += "started_too_early: $task on $machine at $now"
    }

    fun cancelRequested(job: String) {
        cancelRequests += job
    }

    /**
     * A user received the stage of a job; null stands for 404. An answer must be consistent with an earlier one only if
     * it was requested, at [requestedUs], after the earlier one had arrived. Of two concurrent answers neither is newer.
     */
    fun jobAnswered(
        job: String,
        stage: JobStage?,
        now: Micros,
        requestedUs: Micros = now,
    ) {
        if (stage == null) {
            if (job in accepted && requestedUs >= acceptedAt.getValue(job)) breaches += "forgotten: $job at $now"
            return
        }
        if (job !in specs) {
            breaches += "invented: $job"
            return
        }
        if (job in unacceptable) breaches += "accepted_odd: $job at $now"
        accepted += job
        acceptedAt.putIfAbsent(job, now)
        val before = answeredStage[job]
        val isFinal = before == JobStage.DONE || before == JobStage.CANCELLED
        val nowFinal = stage == JobStage.DONE || stage == JobStage.CANCELLED
        if (isFinal && !nowFinal && requestedUs < finalAt.getValue(job)) return
        if (!nowFinal) checkOrphaned(job, now, requestedUs)
        if (nowFinal) finalAt.putIfAbsent(job, now)
        if (isFinal && before != stage) breaches += "went_back: $job was $before, is $stage at $now"
        if (stage == JobStage.DONE && (finished[job]?.size ?: 0) < specs.getValue(job).tasks) breaches += "not_done: $job at $now"
        if (stage == JobStage.CANCELLED) {
            if (!isCancelRequested(job)) breaches += "went_back: $job cancelled by nobody"
            cancelConfirmedAt.putIfAbsent(job, now)
        }
        answeredStage[job] = stage
    }

    /** A job with a cancelled predecessor may be answered as queued or running only until the time limit of a cancellation. */
    private fun checkOrphaned(
        job: String,
        now: Micros,
        requestedUs: Micros,
    ) {
        val since = allPredecessors(job).mapNotNull { cancelConfirmedAt[it] }.minOrNull() ?: return
        if (requestedUs - since > cancelUs) breaches += "orphaned: $job at $now, since $since"
    }

    fun requestRefused(
        job: String,
        status: Int,
    ) {
        if (job in accepted && status in listOf(400, 422)) breaches += "forgotten: $job got $status"
    }

    /** Longest time since the last fault for which an accepted job has been polled without an answer. */
    fun longestUnansweredUs(now: Micros): Micros =
        unansweredSince.filterKeys { it in accepted }.values.maxOfOrNull { now - maxOf(it, faultsOverAtUs) } ?: 0

    fun tick(now: Micros) {
        if (now - faultsOverAtUs > MAX_UNANSWERED) {
            for ((job, since) in unansweredSince) {
                if (job in accepted && now - maxOf(since, faultsOverAtUs) > MAX_UNANSWERED) breaches += "forgotten: $job unanswered at $now"
            }
        }
        for (task in runningTasks.keys) {
            val since = cancelConfirmedAt[task.substringBeforeLast('/')] ?: continue
            if (now - since <= cancelUs) continue
            val hung = (hungAt[runningTasks.getValue(task).machine] ?: -1) >= since
            breaches += "ran_cancelled: $task ${if (hung) "went on after its machine hung" else "still on a machine"} at $now"
        }
    }

    /** Free resources of a working machine, computed from the tasks that its agent knows. */
    data class FreeCapacity(
        val place: TaskPlace,
        val type: String,
        val cpus: Double,
        val memoryGb: Double,
    )

    /** After the last fault no job may wait long while a machine in [free] fits it. [assigned] are all tasks that agents know. */
    fun checkWaiting(
        free: List<FreeCapacity>,
        assigned: Set<String>,
        now: Micros,
    ) {
        if (now < faultsOverAtUs) return
        val waiting =
            specs.values.filter {
                it.id in accepted &&
                    !isCancelRequested(it.id) &&
                    readyAt(it.id) != null &&
                    !isFinal(it.id) &&
                    couldRun(it, free, assigned)
            }
        waitingSince.keys.retainAll(waiting.mapTo(HashSet()) { it.id })
        for (job in waiting) {
            val since = waitingSince.getOrPut(job.id) { now }
            if (now - since > MAX_WAITING) breaches += "left_waiting: ${job.id} at $now"
        }
    }

    private fun couldRun(
        spec: JobSpec,
        free: List<FreeCapacity>,
        assigned: Set<String>,
    ): Boolean {
        val own = (assigned + finished[spec.id].orEmpty()).count { it.substringBeforeLast('/') == spec.id }
        if (own >= spec.tasks) return false
        val zones =
            runningTasks
                .filterKeys { it.substringBeforeLast('/') == spec.id }
                .values
                .groupingBy { it.zone }
                .eachCount()
        val limit = limits[spec.team] ?: 0.0
        val used = assigned.sumOf { task -> specs[task.substringBeforeLast('/')]?.takeIf { it.team == spec.team }?.cpus ?: 0.0 }
        if (limit > 0 && used + spec.cpus > limit) return false
        return free.any { machine ->
            machine.cpus >= spec.cpus &&
                machine.memoryGb >= spec.memoryGb &&
                (spec.spot || !machine.place.spot) &&
                (spec.types?.contains(machine.type) ?: true) &&
                (spec.zone ?: machine.place.zone) == machine.place.zone &&
                (!spec.oneZone || zones.keys.all { it == machine.place.zone }) &&
                (!spec.spread || (zones[machine.place.zone] ?: 0) < (spec.tasks + 1) / 2)
        }
    }

    fun stageOf(job: String): JobStage? = answeredStage[job]

    fun isComplete(job: String): Boolean = (finished[job]?.size ?: 0) == specs[job]?.tasks

    fun isCompleted(task: String): Boolean = task in finished[task.substringBeforeLast('/')].orEmpty()

    /** Accepted jobs without a requested cancellation whose predecessors are complete. */
    fun runnableJobs(): List<JobSpec> = specs.values.filter { it.id in accepted && !isCancelRequested(it.id) && readyAt(it.id) != null }

    /** Tasks that run now, each with its machine. */
    val running: Map<String, TaskPlace> get() = runningTasks

    fun isFinal(job: String): Boolean = answeredStage[job] == JobStage.DONE || answeredStage[job] == JobStage.CANCELLED

    fun startOf(job: String): Micros? = startedAt[job]

    /** Tasks that run on [machine] now. */
    fun tasksOn(machine: String): Set<String> = runningTasks.filterValues { it.machine == machine }.keys

    fun isAccepted(job: String): Boolean = job in accepted

    private companion object {
        const val MAX_UNANSWERED: Micros = 75_000_000
        const val MAX_WAITING: Micros = 90_000_000
        const val MAX_DELAY_OF_END: Micros = 30_000_000
        const val MAX_DELAY_OF_LARGEST: Micros = 240_000_000
    }
}
