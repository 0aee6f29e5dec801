package mintpick.testing

import mintpick.core.Micros
import mintpick.wire.JobSpec
import mintpick.wire.JobStage

/** The rules of PROTOCOL, checked from the simulated services' own view. Each breach is a line that begins with the rule's name. */
class RuleChecker(
    private val cancelUs: Micros,
    private val limits: Map<String, Double>,
) {
    val breaches = ArrayList<String>()
    private val on = HashMap<String, SimPlace>()
    private val specs = HashMap<String, JobSpec>()
    private val accepted = HashSet<String>()
    private val finished = HashMap<String, MutableSet<String>>()
    private val told = HashMap<String, JobStage>()
    private val cancelAsked = HashSet<String>()
    private val cancelTold = HashMap<String, Micros>()
    private val silentSince = HashMap<String, Micros>()
    private val submittedAt = HashMap<String, Micros>()
    private val startedAt = HashMap<String, Micros>()

    /** When the last task of each job was complete. */
    private val completeAt = HashMap<String, Micros>()

    private val impossible = HashSet<String>()
    private val acceptedAt = HashMap<String, Micros>()
    private val finalAt = HashMap<String, Micros>()
    private val hungAt = HashMap<String, Micros>()
    private val waitsSince = HashMap<String, Micros>()

    /** How long after their confirmed cancellation tasks started: sent before, as one that is on its way may be. */
    val startsAfterCancel = ArrayList<Micros>()

    /** Later than this after a confirmed cancellation no start can be told by a command that was on its way. */
    var lateStartUs: Micros = cancelUs

    /** When the last fault was over: from then on every job that is asked about must be answered for. */
    var faultsOverSinceUs: Micros = Long.MAX_VALUE
    var starts = 0
        private set

    /** How often each task was started. */
    val startsOf = HashMap<String, Int>()

    data class SimPlace(
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

    /** [job] can't run, or its submission lacks a field. */
    fun neverAccept(job: String) {
        impossible += job
    }

    fun hangs(
        machine: String,
        now: Micros,
    ) {
        hungAt[machine] = now
    }

    /** A user asks about an accepted job: unanswered questions add up job by job, however others fare. */
    fun asked(
        job: String,
        now: Micros,
    ) {
        silentSince.putIfAbsent(job, now)
    }

    fun answered(job: String) {
        silentSince.remove(job)
    }

    /** At least half of each group is served, and its largest jobs begin within four minutes, as users count it. */
    fun checkServed(now: Micros) {
        val counted = specs.values.filter { it.id in accepted && !isGivenUp(it.id) && readyAt(it.id) != null }
        val largest = counted.groupBy { it.jobClass }.mapValues { (_, jobs) -> jobs.maxOf { it.tasks } }
        val groups =
            counted.groupBy { "class ${it.jobClass}" } + counted.groupBy { "team ${it.team}" } +
                counted.filter { it.tasks == largest[it.jobClass] }.groupBy { "largest of ${it.jobClass}" }
        for ((name, jobs) in groups) {
            if (jobs.count { it.id in startedAt } * 2 < jobs.size) breaches += "unserved: $name"
        }
        for (job in counted.filter { it.tasks == largest[it.jobClass] }) {
            val began = startedAt[job.id] ?: now
            if (began - (readyAt(job.id) ?: 0) > LARGEST_BEGIN) breaches += "unserved: ${job.id} began at $began"
        }
    }

    fun spec(job: String): JobSpec? = specs[job]

    /** All jobs that [job] needs, directly or through others. */
    private fun needs(job: String): Set<String> {
        val found = LinkedHashSet<String>()
        val open = ArrayDeque(specs[job]?.predecessors.orEmpty())
        while (open.isNotEmpty()) {
            val next = open.removeFirst()
            if (found.add(next)) open += specs[next]?.predecessors.orEmpty()
        }
        return found
    }

    /** Whether [job] or one that it needs was to be cancelled. */
    private fun isGivenUp(job: String): Boolean = job in cancelAsked || needs(job).any { it in cancelAsked }

    /** When the last of the jobs that [job] needs was complete, or when it was submitted; null: not yet. */
    private fun readyAt(job: String): Micros? {
        val ends = specs[job]?.predecessors.orEmpty().map { completeAt[it] ?: return null }
        return maxOf(ends.maxOrNull() ?: 0, submittedAt[job] ?: 0)
    }

    fun started(
        task: String,
        place: SimPlace,
        now: Micros,
    ) {
        starts++
        startsOf.merge(task, 1, Int::plus)
        val job = task.substringBeforeLast('/')
        val spec = specs[job]
        startedAt.putIfAbsent(job, now)
        on[task]?.let { breaches += "ran_twice: $task on ${place.machine} while on ${it.machine} at $now" }
        on[task] = place
        if (spec == null) {
            breaches += "invented: $task"
            return
        }
        needs(job).filterNot(::isComplete).forEach { breaches += "too_early: $task before $it at $now" }
        if (place.spot && !spec.spot) breaches += "wrong_place: $task on a spot machine"
        if (spec.zone != null && spec.zone != place.zone) breaches += "wrong_place: $task in ${place.zone}"
        val zones =
            on
                .filterKeys { it.substringBeforeLast('/') == job }
                .values
                .groupingBy { it.zone }
                .eachCount()
        if (spec.spread && (zones[place.zone] ?: 0) > (spec.tasks + 1) / 2) breaches += "wrong_place: $task too many in ${place.zone}"
        if (spec.oneZone && zones.size > 1) breaches += "wrong_place: $task in two zones"
        val limit = limits[spec.team] ?: 0.0
        val used = on.keys.sumOf { t -> specs[t.substringBeforeLast('/')]?.takeIf { it.team == spec.team }?.cpus ?: 0.0 }
        if (limit > 0 && used > limit + 1e-6) breaches += "quota: ${spec.team} uses $used of $limit at $now"
        cancelTold[job]?.let {
            startsAfterCancel += now - it
            if (now - it > lateStartUs) breaches += "started_cancelled: $task ${now - it} after the cancellation"
        }
        cancelTold[job]?.let { if (now - it > cancelUs) breaches += "ran_cancelled: $task started at $now" }
    }

    fun left(
        task: String,
        completed: Boolean,
        now: Micros = 0,
    ) {
        on.remove(task)
        val job = task.substringBeforeLast('/')
        if (completed) finished.getOrPut(job) { HashSet() } += task
        if (completed && isComplete(job)) completeAt.putIfAbsent(job, now)
    }

    fun cancelRequested(job: String) {
        cancelAsked += job
    }

    /**
     * A user was told of a job: [stage] null stands for 404. An answer is older than another only if it was asked for,
     * at [askedUs], after the other had come: of two that were under way at once neither is.
     */
    fun told(
        job: String,
        stage: JobStage?,
        now: Micros,
        askedUs: Micros = now,
    ) {
        if (stage == null) {
            if (job in accepted && askedUs >= acceptedAt.getValue(job)) breaches += "forgotten: $job at $now"
            return
        }
        if (job !in specs) {
            breaches += "invented: $job"
            return
        }
        if (job in impossible) breaches += "accepted_odd: $job at $now"
        accepted += job
        acceptedAt.putIfAbsent(job, now)
        val before = told[job]
        val isFinal = before == JobStage.DONE || before == JobStage.CANCELLED
        val nowFinal = stage == JobStage.DONE || stage == JobStage.CANCELLED
        if (isFinal && !nowFinal && askedUs < finalAt.getValue(job)) return
        if (!nowFinal) checkOrphaned(job, now, askedUs)
        if (nowFinal) finalAt.putIfAbsent(job, now)
        if (isFinal && before != stage) breaches += "went_back: $job was $before, is $stage at $now"
        if (stage == JobStage.DONE && (finished[job]?.size ?: 0) < specs.getValue(job).tasks) breaches += "not_done: $job at $now"
        if (stage == JobStage.CANCELLED) {
            if (!isGivenUp(job)) breaches += "went_back: $job cancelled by nobody"
            cancelTold.putIfAbsent(job, now)
        }
        told[job] = stage
    }

    /** A job behind a cancelled one may be called queued or running for so long as a cancellation takes, not longer. */
    private fun checkOrphaned(
        job: String,
        now: Micros,
        askedUs: Micros,
    ) {
        val since = needs(job).mapNotNull { cancelTold[it] }.minOrNull() ?: return
        if (askedUs - since > cancelUs) breaches += "orphaned: $job at $now, since $since"
    }

    fun refused(
        job: String,
        status: Int,
    ) {
        if (job in accepted && status in listOf(400, 422)) breaches += "forgotten: $job got $status"
    }

    fun tick(now: Micros) {
        if (now - faultsOverSinceUs > UNANSWERED) {
            for ((job, since) in silentSince) {
                if (job in accepted && now - maxOf(since, faultsOverSinceUs) > UNANSWERED) breaches += "forgotten: $job unanswered at $now"
            }
        }
        for (task in on.keys) {
            val since = cancelTold[task.substringBeforeLast('/')] ?: continue
            if (now - since <= cancelUs) continue
            val hung = (hungAt[on.getValue(task).machine] ?: -1) >= since
            breaches += "ran_cancelled: $task ${if (hung) "went on after its machine hung" else "still on a machine"} at $now"
        }
    }

    /** Room on a machine that works, as the stand-ins see it. */
    data class Room(
        val place: SimPlace,
        val type: String,
        val cpus: Double,
        val memoryGb: Double,
    )

    /** Once faults are over no job waits for long beside room for it; [assigned] are all tasks that machines know of. */
    fun checkWaiting(
        rooms: List<Room>,
        assigned: Set<String>,
        now: Micros,
    ) {
        if (now < faultsOverSinceUs) return
        val waiting =
            specs.values.filter {
                it.id in accepted &&
                    !isGivenUp(it.id) &&
                    readyAt(it.id) != null &&
                    !isFinal(it.id) &&
                    waits(it, rooms, assigned)
            }
        waitsSince.keys.retainAll(waiting.mapTo(HashSet()) { it.id })
        for (job in waiting) {
            val since = waitsSince.getOrPut(job.id) { now }
            if (now - since > LEFT_WAITING) breaches += "left_waiting: ${job.id} at $now"
        }
    }

    private fun waits(
        spec: JobSpec,
        rooms: List<Room>,
        assigned: Set<String>,
    ): Boolean {
        val own = (assigned + finished[spec.id].orEmpty()).count { it.substringBeforeLast('/') == spec.id }
        if (own >= spec.tasks) return false
        val zones =
            on
                .filterKeys { it.substringBeforeLast('/') == spec.id }
                .values
                .groupingBy { it.zone }
                .eachCount()
        val limit = limits[spec.team] ?: 0.0
        val used = assigned.sumOf { task -> specs[task.substringBeforeLast('/')]?.takeIf { it.team == spec.team }?.cpus ?: 0.0 }
        if (limit > 0 && used + spec.cpus > limit) return false
        return rooms.any { room ->
            room.cpus >= spec.cpus &&
                room.memoryGb >= spec.memoryGb &&
                (spec.spot || !room.place.spot) &&
                (spec.types?.contains(room.type) ?: true) &&
                (spec.zone ?: room.place.zone) == room.place.zone &&
                (!spec.oneZone || zones.keys.all { it == room.place.zone }) &&
                (!spec.spread || (zones[room.place.zone] ?: 0) < (spec.tasks + 1) / 2)
        }
    }

    fun stageOf(job: String): JobStage? = told[job]

    fun isComplete(job: String): Boolean = (finished[job]?.size ?: 0) == specs[job]?.tasks

    fun isCompleted(task: String): Boolean = task in finished[task.substringBeforeLast('/')].orEmpty()

    /** Accepted jobs that nobody wants cancelled. */
    fun wanted(): List<JobSpec> = specs.values.filter { it.id in accepted && !isGivenUp(it.id) && readyAt(it.id) != null }

    /** Tasks that run now, with where they do. */
    val running: Map<String, SimPlace> get() = on

    fun isFinal(job: String): Boolean = told[job] == JobStage.DONE || told[job] == JobStage.CANCELLED

    fun startOf(job: String): Micros? = startedAt[job]

    /** Tasks on [machine] now. */
    fun attemptsOn(machine: String): Set<String> = on.filterValues { it.machine == machine }.keys

    fun isAccepted(job: String): Boolean = job in accepted

    private companion object {
        const val UNANSWERED: Micros = 75_000_000
        const val LEFT_WAITING: Micros = 90_000_000
        const val LARGEST_BEGIN: Micros = 240_000_000
    }
}
