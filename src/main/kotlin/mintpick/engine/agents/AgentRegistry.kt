package mintpick.engine.agents

import mintpick.core.AttemptId
import mintpick.core.MILLI
import mintpick.core.MachineId
import mintpick.core.MachineView
import mintpick.core.Micros
import mintpick.core.SECOND
import mintpick.engine.cache.Claim
import mintpick.engine.membership.ControllerHealth
import mintpick.engine.membership.ShardClaims
import mintpick.engine.runtime.EngineContext
import mintpick.engine.runtime.ReplyTo
import mintpick.engine.state.StateStoreClient
import mintpick.net.Answer
import mintpick.net.errorAnswer
import mintpick.wire.Command
import mintpick.wire.CommandBatch
import mintpick.wire.MachineReport
import mintpick.wire.Misdirected
import mintpick.wire.ReportAnswer
import mintpick.wire.TaskState
import mintpick.wire.Verb
import mintpick.wire.WireJson
import mintpick.workers.WorkerProtocol
import org.slf4j.LoggerFactory

/** The machines as their workers show them: takes reports, sends commands, and knows who is in touch. */
class AgentRegistry(
    private val context: EngineContext,
    private val stateStore: StateStoreClient,
    private val shardClaims: ShardClaims,
    private val health: ControllerHealth,
    private val commandPlanner: CommandPlanner,
) {
    private class Redirects(
        var first: Micros,
        var last: Micros,
        var count: Int,
    )

    /** Direct calls that failed one after the other. */
    private class Failures(
        val sinceUs: Micros,
        var count: Int,
        var nextUs: Micros,
    )

    /** Since when a machine has been ours without a break, and the token that it began with. */
    private class ControlPeriod(
        val sinceUs: Micros,
        val token: Long,
    )

    /** For the debug log alone. */
    private val running = HashSet<AttemptId>()
    private val views = HashMap<MachineId, MachineView>()
    private val calls = HashSet<MachineId>()
    private val again = HashSet<MachineId>()
    private val confirmAfter = HashMap<MachineId, Micros>()
    private val redirects = HashMap<MachineId, Redirects>()
    private val unservedIn = HashMap<Int, HashMap<MachineId, Micros>>()
    private val failures = HashMap<MachineId, Failures>()
    private val reachedUs = HashMap<String, Micros>()
    private val controlledSince = HashMap<MachineId, ControlPeriod>()
    private val terminated = HashSet<MachineId>()
    private val heard = HashSet<MachineId>()
    private var suspectCalls = 0
    private var epochSeen = -1L
    private var nextTickUs: Micros = 0

    private val cache get() = context.cache

    fun view(machine: MachineId): MachineView? = views[machine]

    fun views(): Collection<MachineView> = views.values

    /** Machines that are ours to command. */
    val mine: Set<MachineId> get() = controlledSince.keys

    /** Machines heard since the last call. */
    fun takeHeard(): Set<MachineId> = heard.toSet().also { heard.clear() }

    /** Proven gone: what still comes under this name are late copies, which must not make a record of it again. */
    fun markTerminated(machine: MachineId) {
        terminated += machine
        views.remove(machine)
        redirects.remove(machine)
        confirmAfter.remove(machine)
        failures.remove(machine)
        controlledSince.remove(machine)
        shardClaims.forget(machine)
    }

    /** Heard lately enough to be given work. */
    fun isFresh(view: MachineView): Boolean = context.now - view.heardUs < context.settings.reportUs * 5 / 4 + FRESH_MARGIN

    /**
     * Its worker has shown the token that is ours now, so what it says is newer than our claim. Reports alone
     * prove no more than that somebody sent them once: copies may arrive much later.
     */
    fun isConfirmed(view: MachineView): Boolean {
        val claim = shardClaims.control(view.id) ?: return false
        return shardClaims.isMine(claim) && view.latest != null && view.token >= claim.version
    }

    /** Answers and commands have not got through to it since a call that failed; its reports may still come. */
    fun isUnreachable(machine: MachineId): Boolean = (failures[machine]?.count ?: 0) > 0

    /**
     * Did not answer the last call, is late with its report, or was never heard: when many machines die at once, the first
     * call to each would otherwise hold up the calls to live ones.
     */
    private fun isSuspect(machine: MachineId): Boolean {
        val view = views[machine]?.takeIf { it.latest != null } ?: return true
        return isUnreachable(machine) || context.now - view.heardUs > context.settings.reportUs * 5 / 4 + LATE
    }

    private fun isReportLate(view: MachineView): Boolean = context.now - view.reportedUs > context.settings.reportUs * 5 / 4 + LATE

    /**
     * When a call of ours last got through to a machine in [zone], or a report from there to us: with few machines a wave
     * of hangs may leave none that we call often.
     */
    fun reachedIn(zone: String?): Micros = reachedUs[zone] ?: 0

    /**
     * Calls to several machines fail and none gets through anywhere: it is we who are cut off from the workers. Such a
     * controller takes nothing from those that are not, until a call or report gets through: the machines whose calls
     * failed may all go while the cut lasts.
     */
    val isCutOff: Boolean get() = cutOffSinceUs != null
    private var cutOffSinceUs: Micros? = null

    private fun watchCutOff() {
        val reached = reachedUs.values.maxOrNull() ?: 0
        val since = cutOffSinceUs
        if (since == null) {
            if (failures.size >= CUT_OFF && context.now - reached > NONE_REACHED) cutOffSinceUs = context.now
        } else if (reached > since || cache.machines.isEmpty()) {
            cutOffSinceUs = null
        }
    }

    /** The process stood still: calls that failed meanwhile, and silences, say nothing of the machines. */
    fun onProcessPause() {
        failures.clear()
        cutOffSinceUs = null
        processPausedUs = context.now
    }

    private var processPausedUs: Micros = 0

    /** Calls that failed one after the other, and since when. */
    fun failedCalls(machine: MachineId): Int = failures[machine]?.count ?: 0

    fun unreachableSince(machine: MachineId): Micros? = failures[machine]?.sinceUs

    fun onReport(
        report: MachineReport,
        reply: ReplyTo,
    ) {
        val id = MachineId(report.machine)
        if (id in terminated) return context.send(reply, misdirected(null))
        shardClaims.register(id, report.zone)
        val view = views.getOrPut(id) { MachineView(id, context.now) }
        val awaited = view.awaits(report)
        val fresh = view.take(report, context.now, direct = false)
        if (fresh) learn(view, report)
        // In a cut from the workers neither calls nor reports get through.
        if (awaited) reachedUs[report.zone] = context.now
        if (awaited && isUnserved(id)) {
            takeOver(view, report, reply)
        } else {
            context.send(reply, answer(id, view, report, awaited && fresh, awaited))
        }
    }

    /**
     * The worker is held for a call to it and the one write that makes it ours: sent on, it would spend the rest
     * of its lease on controllers that it can't reach. The call tells a live machine whose commands get through
     * from a late copy of a report, and from one that only its reports leave.
     */
    private fun takeOver(
        view: MachineView,
        report: MachineReport,
        reply: ReplyTo,
    ) {
        val id = view.id
        val shard = shardClaims.shard(id)
        val from = shardClaims.control(id)?.node
        if (shard == null || from == null) return context.send(reply, misdirected(null))
        val peers = unservedIn.getOrPut(shard) { HashMap() }
        peers[id] = context.now
        peers.values.removeIf { context.now - it > UNSERVED_MEMORY }
        inspect(view) { ok ->
            val whole = peers.size >= WHOLE_SHARD || !health.hears(from)
            if (ok) {
                shardClaims.takeOver(
                    id,
                    whole,
                    from,
                    "unserved",
                ) { context.send(reply, answer(id, view, report, view.latest === report, true)) }
            } else {
                context.send(reply, answer(id, view, report, fresh = false, awaited = true))
            }
        }
    }

    private fun answer(
        id: MachineId,
        view: MachineView,
        report: MachineReport,
        fresh: Boolean,
        awaited: Boolean,
    ): Answer {
        val claim = shardClaims.control(id)
        if (!stateStore.hasLoaded || claim == null) return errorAnswer(UNAVAILABLE, "not ready")
        if (claim.node != context.me) return if (awaited) answerOnBehalf(view, report, claim) ?: redirect(claim) else redirect(claim)
        if (claim.version < report.token) {
            // Either a borrowing has ended, or we have been deposed and do not know it yet.
            shardClaims.raise(id, "seen-higher")
            return misdirected(null)
        }
        if (!health.mayAnswerWorkers()) return misdirected(null)
        redirects.remove(id)
        // Our earlier process may have left starts under way that only the next token ends, so nothing else is said till then.
        val commands =
            if (fresh &&
                shardClaims.isMine(claim)
            ) {
                commandPlanner.answerFor(view, claim)
            } else {
                commandPlanner.stopsOfCancelled(view)
            }
        if (fresh) view.answeredWith(CommandPlanner.starts(commands))
        // A copy is answered to nobody: only a report that its worker may still wait for renews the lease.
        if (awaited) view.answeredReport(context.now)
        return answer(claim, commands)
    }

    private fun answer(
        claim: Claim,
        commands: List<Command>,
    ) = Answer(
        OK,
        WireJson.encodeToString(ReportAnswer.serializer(), ReportAnswer(claim.version, commands)).encodeToByteArray(),
        closes = isCrowded(),
    )

    /**
     * Workers keep up to two fifths of the sockets; with more of them than that, some come anew with each report, so that
     * users, health checks, other controllers and our own calls always find one.
     */
    private fun isCrowded(): Boolean {
        val keep = context.settings.resources.maxConnections * 2 / 5
        return keep in 1 until controlledSince.size && context.random.nextInt(controlledSince.size) >= keep
    }

    /**
     * Exception: in a cut of our zone we keep alive what others command here, with their token, and start nothing. Only
     * work that was cancelled before the cut is stopped.
     */
    private fun answerOnBehalf(
        view: MachineView,
        report: MachineReport,
        claim: Claim,
    ): Answer? {
        if (report.zone != context.settings.zone || claim.version < report.token || !health.mayAnswerFor(claim.node)) return null
        view.answeredReport(context.now)
        return answer(claim, commandPlanner.stopsOfCancelled(view))
    }

    private fun misdirected(node: String?): Answer =
        Answer.json(MISDIRECTED, WireJson.encodeToString(Misdirected.serializer(), Misdirected(node)))

    private fun redirect(claim: Claim): Answer = misdirected(if (shardClaims.isLive(claim.node)) claim.node.text else null)

    /** A worker that keeps coming although it was sent to its controller, or whose controller is silent to us too. */
    private fun isUnserved(id: MachineId): Boolean {
        val claim = shardClaims.control(id)
        if (!health.healthy() || claim == null || claim.node == context.me || !shardClaims.isLive(claim.node)) return false
        val seen = redirects.getOrPut(id) { Redirects(context.now, context.now, 0) }
        if (context.now - seen.last > REDIRECT_MEMORY) {
            seen.first = context.now
            seen.count = 0
        }
        seen.last = context.now
        seen.count++
        // Whoever has just claimed it is alive to the state service, though we may not hear them: they are tried first.
        // While controllers refused each other's connections, shards once went back and forth until leases lapsed.
        val settled = shardClaims.isSettled(id)
        val unserved =
            (settled && !health.hears(claim.node)) ||
                (seen.count >= REDIRECTS && context.now - seen.first > REDIRECT_SPAN && !health.heardElsewhere(id, claim.node))
        if (unserved) seen.count = 0
        return unserved
    }

    private fun learn(
        view: MachineView,
        report: MachineReport,
    ) {
        heard += view.id
        val cacheGb = cache.types[report.type]?.cacheGb ?: 0.0
        for ((attempt, task) in view.reported) {
            if (task.state == TaskState.FETCHING || task.state == TaskState.EXITED) continue
            val job = cache.job(attempt.task.job) ?: continue
            if (LOG.isDebugEnabled && running.add(attempt)) {
                val waited = (context.wall - job.submittedUs) / MILLI
                LOG.debug("running task={} attempt={} machine={} waited_ms={}", attempt.task, attempt.attempt, view.id.text, waited)
            }
            view.sawImage(job.spec.image, job.spec.imageGb, cacheGb)
        }
    }

    /** Sends a machine what it lacks without waiting for its next report; also shows it our token. */
    fun push(machine: MachineId) {
        if (machine in calls) {
            again += machine
            return
        }
        val claim = shardClaims.control(machine) ?: return
        if (!shardClaims.isMine(claim) || !health.healthy() || machine in terminated) return
        val view = views.getOrPut(machine) { MachineView(machine, context.now) }
        val address = addressOf(view) ?: return
        val commands = if (view.latest == null) emptyList() else commandPlanner.commandsFor(view, claim)
        // What is only to be forgotten can wait for the next report.
        if (commands.all { it.verb == Verb.FORGET } && view.latest != null && view.token >= claim.version) return
        if (!mayCall(machine)) return
        val started = CommandPlanner.starts(commands)
        started.forEach { view.launching(it, claim.version, view.session) }
        val session = view.session
        call(machine, WorkerProtocol.commands(address, CommandBatch(claim.version, session, commands), isSuspect(machine))) { result ->
            if (result == WorkerProtocol.Result.Unanswered) {
                started.forEach(view::launchLost)
            } else {
                started.forEach(view::launchSettled)
            }
            val report = (result as? WorkerProtocol.Result.Executed)?.report ?: (result as? WorkerProtocol.Result.Dropped)?.report
            if (report != null && view.take(report, context.now, direct = true)) learn(view, report)
            val rejected = result is WorkerProtocol.Result.Dropped && report != null && report.session != session
            if (again.remove(machine) || rejected) push(machine)
            report != null
        }
    }

    private fun addressOf(view: MachineView): String? = view.latest?.address ?: cache.machines[view.id]?.record?.address

    /** Calls to machines that do not answer are few at a time and further and further apart. */
    private fun mayCall(machine: MachineId): Boolean {
        if (isSuspect(machine) && suspectCalls >= mostSuspectCalls(machine)) return false
        return context.now >= (failures[machine]?.nextUs ?: 0)
    }

    /** Beyond a cut a few calls are enough to see when it ends; the rest would only take time and sockets. */
    private fun mostSuspectCalls(machine: MachineId): Int =
        if (health.openSince(cache.machines[machine]?.record?.zone) == null) MAX_CALLS_BEYOND else MAX_SUSPECT_CALLS

    private fun call(
        machine: MachineId,
        call: mintpick.net.Call,
        then: (WorkerProtocol.Result) -> Boolean,
    ) {
        calls += machine
        val suspect = isSuspect(machine)
        if (suspect) suspectCalls++
        context.call(call) { outcome ->
            calls -= machine
            if (suspect) suspectCalls--
            if (then(WorkerProtocol.read(outcome))) {
                failures.remove(machine)
                cache.machines[machine]?.let { reachedUs[it.record.zone] = context.now }
            } else if (machine !in terminated) {
                val failing = failures.getOrPut(machine) { Failures(context.now, 0, 0) }
                failing.count++
                failing.nextUs = context.now + minOf(RETRY_MOST, RETRY_LEAST * failing.count)
            }
        }
    }

    /** Asks a machine that has missed its report whether it is there at all. */
    fun probe(machine: MachineId) {
        val view = views[machine] ?: return
        if (machine !in calls && mayCall(machine)) inspect(view) { }
    }

    private fun inspect(
        view: MachineView,
        then: (Boolean) -> Unit,
    ) {
        val address = addressOf(view)
        if (address == null || view.id in calls) return then(false)
        call(view.id, WorkerProtocol.inspect(address, isSuspect(view.id))) { result ->
            val report = (result as? WorkerProtocol.Result.Executed)?.report
            if (report != null && view.take(report, context.now, direct = true)) learn(view, report)
            then(report != null)
            // What a machine lacks goes with the answer to its next report; where none comes, it is sent now.
            if (again.remove(view.id) || (report != null && isReportLate(view))) push(view.id)
            report != null
        }
    }

    /**
     * Since when [machine] has said nothing to us although it was ours to command: a machine that has just
     * come under our control was reporting elsewhere until now.
     */
    fun silentSince(machine: MachineId): Micros =
        maxOf(views[machine]?.heardUs ?: 0, controlledSince[machine]?.sinceUs ?: context.now, processPausedUs)

    /** Ours since a moment ago, and not yet in touch with us or not yet fully known from the records. */
    fun isSettling(machine: MachineId): Boolean {
        val claim = shardClaims.control(machine) ?: return false
        if (context.now - (controlledSince[machine]?.sinceUs ?: context.now) > SETTLING) return false
        return cache.revision < claim.version || (views[machine]?.token ?: 0) < claim.version
    }

    /** The machine's worker has surely killed its tasks: nobody can have renewed its lease. */
    fun hasLapsed(view: MachineView): Boolean {
        val tenure = controlledSince[view.id] ?: return false
        if (!shardClaims.controls(view.id) ||
            !view.hasLapsed(context.now, tenure.sinceUs, tenure.token, context.settings.leaseUs)
        ) {
            return false
        }
        // Somebody in its zone may have answered it for us.
        val answerOnBehalf = health.answeredOnBehalfUntil(cache.machines[view.id]?.record?.zone) ?: return false
        return MachineView.isLeaseOver(context.now, answerOnBehalf, context.settings.leaseUs)
    }

    /**
     * Whose machines are whose changes with few records, and every such change is looked at, before anybody is judged:
     * a machine that had just come back to us was once given up for calls that had failed before we lost it.
     */
    fun watchControl() {
        if (cache.controlEpoch == epochSeen && stateStore.lease == leaseSeen) return
        epochSeen = cache.controlEpoch
        leaseSeen = stateStore.lease
        for (known in cache.machines.values) {
            val claim = shardClaims.control(known.id)
            if (!shardClaims.isMine(claim)) {
                controlledSince.remove(known.id)
            } else if (known.id !in controlledSince) {
                controlledSince[known.id] = ControlPeriod(context.now, claim?.version ?: 0)
                // What failed while it was another's says nothing of now.
                failures.remove(known.id)
            }
        }
        controlledSince.keys.retainAll(cache.machines.keys)
        failures.keys.retainAll(cache.machines.keys)
    }

    private var leaseSeen: Long? = null

    /** Sends [touched] machines what changed for them, confirms machines that came under our control, and raises the token where a start was lost. */
    fun tick(touched: Collection<MachineId>) {
        watchCutOff()
        if (!health.healthy()) return
        touched.forEach { if (it in controlledSince) push(it) }
        if (context.now < nextTickUs) return
        nextTickUs = context.now + TICK
        commandPlanner.clean()
        if (isCutOff) probeLost()
        // Hundreds at once would keep users waiting: most confirm themselves with their next reports.
        var confirmations = 0
        for (id in controlledSince.keys) {
            val view = views[id]
            val claim = shardClaims.control(id) ?: continue
            if (view != null && view.needsHigherToken && context.now - view.heardUs < RECENT) shardClaims.raise(id, "lost-start")
            val unconfirmed = view?.latest == null || view.token < claim.version
            if (unconfirmed && context.now >= (confirmAfter[id] ?: 0) && confirmations < MAX_CONFIRMATIONS) {
                confirmations++
                confirmAfter[id] = context.now + CONFIRM_EVERY
                push(id)
            } else if (isUnreachable(id)) {
                probe(id)
            }
        }
    }

    /**
     * Asks a machine that others command. With nothing left to command, nobody else would show us that the way to the
     * workers is open again, and we would take part in nothing for ever.
     */
    private fun probeLost() {
        val lost = cache.machines.keys.filter { it !in controlledSince }
        if (lost.isEmpty()) return
        val machine = lost[context.random.nextInt(lost.size)]
        views.getOrPut(machine) { MachineView(machine, context.now) }
        probe(machine)
    }

    companion object {
        private val LOG = LoggerFactory.getLogger(AgentRegistry::class.java)
        private const val OK = 200
        private const val MISDIRECTED = 421
        private const val UNAVAILABLE = 503
        private const val LATE: Micros = 600 * MILLI
        private const val FRESH_MARGIN: Micros = 2 * SECOND
        private const val SETTLING: Micros = 2 * SECOND
        private const val TICK: Micros = 200 * MILLI
        private const val MAX_CONFIRMATIONS = 10
        private const val CONFIRM_EVERY: Micros = SECOND
        private const val RETRY_LEAST: Micros = SECOND / 2
        private const val RETRY_MOST: Micros = 3 * SECOND
        private const val MAX_SUSPECT_CALLS = 32
        private const val CUT_OFF = 3
        private const val NONE_REACHED: Micros = 4 * SECOND
        private const val MAX_CALLS_BEYOND = 4
        private const val RECENT: Micros = 5 * SECOND
        private const val REDIRECTS = 2
        private const val REDIRECT_SPAN: Micros = 3 * SECOND
        private const val REDIRECT_MEMORY: Micros = 15 * SECOND
        private const val UNSERVED_MEMORY: Micros = 8 * SECOND

        /** From so many machines of a shard on, its whole shard is what its controller does not serve. */
        private const val WHOLE_SHARD = 3
    }
}
