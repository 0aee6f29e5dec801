package mintpick.testing

import kotlinx.serialization.json.JsonElement
import kotlinx.serialization.json.JsonNull
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonPrimitive
import kotlinx.serialization.json.jsonObject
import kotlinx.serialization.json.jsonPrimitive
import mintpick.core.MILLI
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

/** Users who ask through the HTTP routes of a chosen node, at chosen moments; what they are told goes to the rules. */
internal class UserFaults(
    private val cluster: SimulatedCluster,
) {
    private val rules get() = cluster.rules
    private val routes = cluster.nodes.map { node -> Routes({ node.deliver(it) }, { true }, MAX_WAITING) { cluster.now } }

    /** Answers by what was asked and their status. */
    val answers = HashMap<String, Int>()

    /** Jobs that were cancelled while they ran, and those at the moment of their end. */
    val cancelledRunning = ArrayList<String>()
    val cancelledAtEnd = ArrayList<String>()

    /** Machines of tasks that were cancelled, which hung for a while. */
    val hung = ArrayList<String>()

    private fun send(
        kind: String,
        node: Int,
        request: Request,
        then: (Response) -> Unit,
    ) {
        var open = true
        val end: (Response) -> Unit = { response ->
            if (open) {
                open = false
                answers.merge("$kind ${response.status.code}", 1, Int::plus)
                then(response)
            }
        }
        cluster.after(PATIENCE) { end(Response(Status.GATEWAY_TIMEOUT)) }
        cluster.after(cluster.delay()) { routes[node].api(request) { response -> cluster.after(cluster.delay()) { end(response) } } }
    }

    private fun stageIn(response: Response): JobStage {
        val stage = WireJson.parseToJsonElement(response.bodyString()).jsonObject.getValue("stage")
        return WireJson.decodeFromJsonElement(JobStage.serializer(), stage)
    }

    private fun tell(
        job: String,
        response: Response,
        askedUs: Micros,
    ) {
        when (response.status.code) {
            200, 201 -> rules.told(job, stageIn(response), cluster.now, askedUs)
            404 -> rules.told(job, null, cluster.now, askedUs)
            else -> rules.refused(job, response.status.code)
        }
    }

    fun poll(
        job: String,
        node: Int,
        kind: String = "poll",
    ) {
        val asked = cluster.now
        send(kind, node, Request(Method.GET, "/api/jobs/$job")) { tell(job, it, asked) }
    }

    fun submit(
        job: String,
        body: String,
        node: Int,
        kind: String = "submit",
        then: (Response) -> Unit = {},
    ) {
        val asked = cluster.now
        send(kind, node, Request(Method.POST, "/api/jobs").body(MemoryBody(body))) {
            tell(job, it, asked)
            then(it)
        }
    }

    /** Asks until it is answered, as users do. */
    fun cancel(
        job: String,
        node: Int,
        then: () -> Unit = {},
    ) {
        rules.cancelRequested(job)
        val asked = cluster.now
        send("cancel", node, Request(Method.POST, "/api/jobs/$job/cancel")) { response ->
            if (response.status.code == 200) {
                tell(job, response, asked)
                then()
            } else {
                cluster.after(SECOND) { cancel(job, (node + 1) % SimulatedCluster.NODES, then) }
            }
        }
    }

    fun bodyOf(spec: JobSpec): String = WireJson.encodeToString(JobSpec.serializer(), spec)

    /** Questions at all nodes, and a repeated submission, again and again within milliseconds. */
    fun lookClosely(spec: JobSpec) {
        for (at in listOf(0L, 1, 2, 4, 8, 15, 40, 120)) {
            for (node in 0 until SimulatedCluster.NODES) {
                cluster.after(at * MILLI) { poll(spec.id, node, "look") }
                if (at % 4 == 0L) cluster.after(at * MILLI) { submit(spec.id, bodyOf(spec), node, "repeat") }
            }
        }
    }

    /** Submits [spec], looks closely once it is accepted and once it has ended, and may call it off after that. */
    fun begin(
        spec: JobSpec,
        cancelAfterUs: Micros?,
    ) {
        rules.submitted(spec, cluster.now)
        submitUntilAccepted(spec) {
            lookClosely(spec)
            if (cancelAfterUs != null) cluster.after(cancelAfterUs) { cancel(spec.id, anyNode()) { lookClosely(spec) } }
            pollToEnd(spec)
        }
    }

    private fun submitUntilAccepted(
        spec: JobSpec,
        then: () -> Unit,
    ) {
        submit(spec.id, bodyOf(spec), anyNode()) { response ->
            if (response.status.code in ACCEPTED) then() else cluster.after(SECOND) { submitUntilAccepted(spec, then) }
        }
    }

    private fun pollToEnd(spec: JobSpec) {
        if (rules.isFinal(spec.id)) return lookClosely(spec)
        poll(spec.id, anyNode())
        cluster.after(SECOND) { pollToEnd(spec) }
    }

    private fun anyNode(): Int = cluster.random.nextInt(SimulatedCluster.NODES)

    /** Submissions that can't be accepted, in turn: without a field, with one of a wrong type, and jobs that fit nowhere. */
    fun oddRequests(
        spec: JobSpec,
        firstId: Int,
    ): Int {
        var id = firstId
        val fresh: (JobSpec) -> JobSpec = { it.copy(id = "req-%06d".format(id++)).also { odd -> rules.neverAccept(odd.id) } }
        val whole: (JobSpec) -> JsonObject = { WireJson.encodeToJsonElement(JobSpec.serializer(), it).jsonObject }
        for (broken in malformed(whole(spec))) {
            val odd = fresh(spec)
            rules.submitted(odd, cluster.now)
            submit(odd.id, JsonObject(broken + ("id" to JsonPrimitive(odd.id))).toString(), anyNode(), "malformed")
        }
        for (job in listOf(
            spec.copy(team = "nobody"),
            spec.copy(cpus = 999.0),
            spec.copy(zone = "west"),
            spec.copy(types = listOf("none")),
        )) {
            val odd = fresh(job)
            rules.submitted(odd, cluster.now)
            submit(odd.id, bodyOf(odd), anyNode(), "impossible")
        }
        return id
    }

    /** Submissions of a job that was accepted, each with something wrong. */
    fun repeatOddly(spec: JobSpec) {
        val whole = WireJson.encodeToJsonElement(JobSpec.serializer(), spec).jsonObject
        malformed(whole).forEach { submit(spec.id, it.toString(), anyNode(), "odd repeat") }
        submit(spec.id, bodyOf(spec.copy(cpus = 999.0)), anyNode(), "odd repeat")
        submit(spec.id, bodyOf(spec.copy(team = "nobody")), anyNode(), "odd repeat")
    }

    private fun malformed(whole: JsonObject): List<JsonObject> =
        whole.keys.filter { it != "id" && it !in OPTIONAL }.flatMap { field ->
            val wrong: JsonElement = if (whole.getValue(field).jsonPrimitive.isString) JsonPrimitive(7) else JsonPrimitive("x")
            listOf(JsonObject(whole - field), JsonObject(whole + (field to wrong)), JsonObject(whole + (field to JsonNull)))
        }

    /** Cancels [count] jobs that run within a fifth of a second, while up to eight of their machines hang. */
    fun cancelNow(
        count: Int,
        hangUs: Micros,
    ) {
        val running =
            cluster.workers.values.flatMap { machine ->
                rules.attemptsOn(machine.id).map { it.substringBeforeLast('/') to machine }
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
                .take(HANGING)
        for (machine in machines) {
            machine.hangingUntilUs = cluster.now + hangUs
            rules.hangs(machine.id, cluster.now)
            hung += machine.id
        }
        jobs.forEachIndexed { i, job -> cluster.after(i * (SECOND / 5) / jobs.size) { cancel(job, i % SimulatedCluster.NODES) } }
        cancelledRunning += jobs
    }

    /** Cancels a [percent] of the jobs that end, at the moment of their end, for as long as the world runs. */
    fun cancelAtEnd(percent: Int) {
        cluster.onLastTaskDone = { job ->
            if (cluster.random.nextInt(PERCENT) < percent) {
                cancelledAtEnd += job
                val cancelling = cluster.random.nextInt(SimulatedCluster.NODES)
                cancel(job, cancelling)
                rules.spec(job)?.let(::lookClosely)
            }
        }
    }

    /** From now on jobs that wait beside room for them are noticed. */
    fun watchWaiting() {
        val working = cluster.workers.values.filter { cluster.now >= it.hangingUntilUs && !it.deaf && it.noticeUs == null }
        val rooms =
            working.map { machine ->
                val type = MACHINE_TYPES.first { it.name == machine.type }
                val specs = machine.held().mapNotNull { rules.spec(it.substringBeforeLast('/')) }
                val place = RuleChecker.SimPlace(machine.id, machine.zone, machine.spot)
                RuleChecker.Room(place, machine.type, type.cpus - specs.sumOf { it.cpus }, type.memoryGb - specs.sumOf { it.memoryGb })
            }
        rules.checkWaiting(rooms, cluster.workers.values.flatMapTo(HashSet()) { it.held() }, cluster.now)
        cluster.after(SECOND) { watchWaiting() }
    }

    private companion object {
        const val MAX_WAITING = 100_000
        const val PATIENCE: Micros = 5 * SECOND
        const val HANGING = 8
        const val PERCENT = 100
        val ACCEPTED = listOf(200, 201)
        val OPTIONAL = setOf("breeds", "plot", "due_s")
    }
}
