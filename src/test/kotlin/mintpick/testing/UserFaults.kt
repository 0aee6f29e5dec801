package mintpick.testing

import kotlinx.serialization.json.JsonElement
import kotlinx.serialization.json.JsonNull
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonPrimitive
import kotlinx.serialization.json.jsonObject
import kotlinx.serialization.json.jsonPrimitive
import mintpick.core.MILLI
import mintpick.core.MemoryBudget
import mintpick.core.Micros
import mintpick.core.SECOND
import mintpick.users.Routes
import mintpick.wire.JobSpec
import mintpick.wire.JobStage
import mintpick.wire.WireJson
import org.http4k.core.MemoryBody
import org.http4k.core.Method
import org.http4k.core.Request
import org.http4k.core.Response
import org.http4k.core.Status

/** Simulates users who call the HTTP routes of a given node at given times, and passes the answers to the [RuleChecker]. */
internal class UserFaults(
    private val cluster: SimulatedCluster,
) {
    private val rules get() = cluster.rules
    private val routes =
        cluster.nodes.map { node ->
            Routes({ node.deliver(it) }, { true }, MAX_WAITING_REQUESTS, NO_CONNECTION_LIMITS, MemoryBudget()) { cluster.now }
        }

    /** Number of answers by kind of request and status, such as `poll 200`. */
    val answerCounts = HashMap<String, Int>()

    /** Jobs cancelled while running, by [cancelNow]. */
    val cancelledRunning = ArrayList<String>()

    /** Jobs cancelled when their last task completed, by [cancelAtEnd]. */
    val cancelledAtEnd = ArrayList<String>()

    /** Machines that [cancelNow] made hang. */
    val hungMachines = ArrayList<String>()

    private fun send(
        kind: String,
        node: Int,
        request: Request,
        then: (Response) -> Unit,
    ) {
        var pending = true
        val complete: (Response) -> Unit = { response ->
            if (pending) {
                pending = false
                answerCounts.merge("$kind ${response.status.code}", 1, Int::plus)
                then(response)
            }
        }
        cluster.after(TIMEOUT) { complete(Response(Status.GATEWAY_TIMEOUT)) }
        cluster.after(cluster.networkDelay()) {
            routes[node].api(request) { response -> cluster.after(cluster.networkDelay()) { complete(response) } }
        }
    }

    private fun stageIn(response: Response): JobStage {
        val stage = WireJson.parseToJsonElement(response.bodyString()).jsonObject.getValue("stage")
        return WireJson.decodeFromJsonElement(JobStage.serializer(), stage)
    }

    private fun recordAnswer(
        job: String,
        response: Response,
        requestedUs: Micros,
    ) {
        when (response.status.code) {
            200, 201 -> rules.jobAnswered(job, stageIn(response), cluster.now, requestedUs)
            404 -> rules.jobAnswered(job, null, cluster.now, requestedUs)
            else -> rules.requestRefused(job, response.status.code)
        }
    }

    fun poll(
        job: String,
        node: Int,
        kind: String = "poll",
    ) {
        val requestedUs = cluster.now
        send(kind, node, Request(Method.GET, "/api/jobs/$job")) { recordAnswer(job, it, requestedUs) }
    }

    fun submit(
        job: String,
        body: String,
        node: Int,
        kind: String = "submit",
        then: (Response) -> Unit = {},
    ) {
        val requestedUs = cluster.now
        send(kind, node, Request(Method.POST, "/api/jobs").body(MemoryBody(body))) {
            recordAnswer(job, it, requestedUs)
            then(it)
        }
    }

    /** Requests the cancellation of [job] until it succeeds, trying the nodes in turn. */
    fun cancel(
        job: String,
        node: Int,
        then: () -> Unit = {},
    ) {
        rules.cancelRequested(job)
        val requestedUs = cluster.now
        send("cancel", node, Request(Method.POST, "/api/jobs/$job/cancel")) { response ->
            if (response.status.code == 200) {
                recordAnswer(job, response, requestedUs)
                then()
            } else {
                cluster.after(SECOND) { cancel(job, (node + 1) % cluster.nodes.size, then) }
            }
        }
    }

    fun bodyOf(spec: JobSpec): String = WireJson.encodeToString(JobSpec.serializer(), spec)

    /** Polls all nodes and resubmits [spec] several times within 120 ms. */
    fun pollRepeatedly(spec: JobSpec) {
        for (at in listOf(0L, 1, 2, 4, 8, 15, 40, 120)) {
            for (node in 0 until cluster.nodes.size) {
                cluster.after(at * MILLI) { poll(spec.id, node, "look") }
                if (at % 4 == 0L) cluster.after(at * MILLI) { submit(spec.id, bodyOf(spec), node, "repeat") }
            }
        }
    }

    /**
     * Submits [spec] until it is accepted, polls it until it ends, and cancels it [cancelAfterUs] after its acceptance
     * if not null. After each of these changes it polls repeatedly within milliseconds.
     */
    fun submitAndPoll(
        spec: JobSpec,
        cancelAfterUs: Micros?,
    ) {
        rules.submitted(spec, cluster.now)
        submitUntilAccepted(spec) {
            pollRepeatedly(spec)
            if (cancelAfterUs != null) cluster.after(cancelAfterUs) { cancel(spec.id, randomNode()) { pollRepeatedly(spec) } }
            pollToEnd(spec)
        }
    }

    private fun submitUntilAccepted(
        spec: JobSpec,
        then: () -> Unit,
    ) {
        submit(spec.id, bodyOf(spec), randomNode()) { response ->
            if (response.status.code in ACCEPTED) then() else cluster.after(SECOND) { submitUntilAccepted(spec, then) }
        }
    }

    private fun pollToEnd(spec: JobSpec) {
        if (rules.isFinal(spec.id)) return pollRepeatedly(spec)
        poll(spec.id, randomNode())
        cluster.after(SECOND) { pollToEnd(spec) }
    }

    private fun randomNode(): Int = cluster.random.nextInt(cluster.nodes.size)

    /**
     * Submits variants of [spec] that must be rejected: with a field missing, null or of a wrong type, and jobs that
     * can't run. They are numbered from [firstId]; returns the next free number.
     */
    fun submitInvalid(
        spec: JobSpec,
        firstId: Int,
    ): Int {
        var id = firstId
        val fresh: (JobSpec) -> JobSpec = { it.copy(id = "req-%06d".format(id++)).also { invalid -> rules.expectRejection(invalid.id) } }
        val whole: (JobSpec) -> JsonObject = { WireJson.encodeToJsonElement(JobSpec.serializer(), it).jsonObject }
        for (broken in malformed(whole(spec))) {
            val invalid = fresh(spec)
            rules.submitted(invalid, cluster.now)
            submit(invalid.id, JsonObject(broken + ("id" to JsonPrimitive(invalid.id))).toString(), randomNode(), "malformed")
        }
        for (job in listOf(
            spec.copy(team = "nobody"),
            spec.copy(cpus = 999.0),
            spec.copy(zone = "west"),
            spec.copy(types = listOf("none")),
        )) {
            val invalid = fresh(job)
            rules.submitted(invalid, cluster.now)
            submit(invalid.id, bodyOf(invalid), randomNode(), "impossible")
        }
        return id
    }

    /** Resubmits an accepted job in invalid variants, which must be answered like the accepted job. */
    fun resubmitInvalid(spec: JobSpec) {
        val whole = WireJson.encodeToJsonElement(JobSpec.serializer(), spec).jsonObject
        malformed(whole).forEach { submit(spec.id, it.toString(), randomNode(), "odd repeat") }
        submit(spec.id, bodyOf(spec.copy(cpus = 999.0)), randomNode(), "odd repeat")
        submit(spec.id, bodyOf(spec.copy(team = "nobody")), randomNode(), "odd repeat")
    }

    private fun malformed(whole: JsonObject): List<JsonObject> =
        whole.keys.filter { it != "id" && it !in OPTIONAL }.flatMap { field ->
            val wrong: JsonElement = if (whole.getValue(field).jsonPrimitive.isString) JsonPrimitive(7) else JsonPrimitive("x")
            listOf(JsonObject(whole - field), JsonObject(whole + (field to wrong)), JsonObject(whole + (field to JsonNull)))
        }

    /** Cancels [count] running jobs within a fifth of a second, while up to eight of their machines hang for [hangUs]. */
    fun cancelNow(
        count: Int,
        hangUs: Micros,
    ) {
        val running =
            cluster.agents.values.flatMap { machine ->
                rules.tasksOn(machine.id).map { it.substringBeforeLast('/') to machine }
            }
        val jobs =
            running
                .map { it.first }
                .distinct()
                .filter { !rules.isFinal(it) }
                .take(count)
        val machines =
            running
                .filter { it.first in jobs }
                .map { it.second }
                .distinct()
                .take(MAX_HANGING_MACHINES)
        for (machine in machines) {
            machine.hangingUntilUs = cluster.now + hangUs
            rules.machineHung(machine.id, cluster.now)
            hungMachines += machine.id
        }
        jobs.forEachIndexed { i, job -> cluster.after(i * (SECOND / 5) / jobs.size) { cancel(job, i % cluster.nodes.size) } }
        cancelledRunning += jobs
    }

    /** From now on cancels [percent] percent of the jobs when their last task completes. */
    fun cancelAtEnd(percent: Int) {
        cluster.onJobCompleted = { job ->
            if (cluster.random.nextInt(HUNDRED_PERCENT) < percent) {
                cancelledAtEnd += job
                val cancelling = cluster.random.nextInt(cluster.nodes.size)
                cancel(job, cancelling)
                rules.spec(job)?.let(::pollRepeatedly)
            }
        }
    }

    /** From now on checks each second whether jobs wait although a machine fits them. */
    fun watchWaitingJobs() {
        val working = cluster.agents.values.filter { cluster.now >= it.hangingUntilUs && !it.inboundLost && it.noticeUs == null }
        val free =
            working.map { machine ->
                val type = MACHINE_TYPES.first { it.name == machine.type }
                val specs = machine.assignedTasks().mapNotNull { rules.spec(it.substringBeforeLast('/')) }
                val place = RuleChecker.TaskPlace(machine.id, machine.zone, machine.spot)
                val freeCpus = type.cpus - specs.sumOf { it.cpus }
                RuleChecker.FreeCapacity(place, machine.type, freeCpus, type.memoryGb - specs.sumOf { it.memoryGb })
            }
        rules.checkWaiting(free, cluster.agents.values.flatMapTo(HashSet()) { it.assignedTasks() }, cluster.now)
        cluster.after(SECOND) { watchWaitingJobs() }
    }

    private companion object {
        const val MAX_WAITING_REQUESTS = 100_000
        const val TIMEOUT: Micros = 5 * SECOND
        const val MAX_HANGING_MACHINES = 8
        const val HUNDRED_PERCENT = 100
        val ACCEPTED = listOf(200, 201)
        val OPTIONAL = setOf("breeds", "plot", "due_s")
    }
}
