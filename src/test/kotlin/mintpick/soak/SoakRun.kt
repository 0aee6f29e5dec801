package mintpick.soak

import mintpick.core.Micros
import mintpick.core.SECOND
import mintpick.store.Keys
import mintpick.testing.RuleChecker
import mintpick.testing.SampleJobs
import mintpick.testing.SimulatedAgent
import mintpick.testing.SimulatedStateStore
import mintpick.testing.TaskWatcher
import mintpick.wire.JobSpec
import java.nio.file.Files
import java.util.SplittableRandom
import java.util.concurrent.CopyOnWriteArrayList
import java.util.concurrent.Executors

/** Size of a soak run. */
internal class SoakSize(
    val controllers: Int = 3,
    val machines: Int = 24,
    val jobs: Int = 24,
    val faults: Int = 6,
    val faultSpanUs: Micros = 30 * SECOND,
    /** By how much more tasks each job has than in an ordinary run. */
    val taskFactor: Int = 1,
    val settings: SoakSettings = SoakSettings(),
    /** Services that fill a machine with each of their tasks, so that all [machines] are rented; 0: none. */
    val fillingServices: Int = 0,
    /** How long the run goes on after the last fault, even if every job was answered. */
    val observedUs: Micros = 0,
)

/** Outcome of a soak run. */
internal class SoakResult(
    val seed: Long,
    val schedule: List<ScheduledFault>,
    val breaches: List<String>,
    val unanswered: List<String>,
    val starts: Int,
    val machines: Int,
    val answers: Map<String, Int>,
    val quietForUs: Micros,
    val longestUnansweredUs: Micros,
    val mostSockets: Int,
    val removals: Map<String, Int>,
    val repeatedRequests: Int,
    val logs: String,
) {
    val hasFailed: Boolean get() = breaches.isNotEmpty() || unanswered.isNotEmpty() || starts == 0

    override fun toString() =
        "seed $seed: breaches $breaches, unanswered ${unanswered.take(3)}, $starts starts on $machines machines, answers $answers, " +
            "longest ${longestUnansweredUs / SECOND} s without an answer, over ${quietForUs / SECOND} s after the last fault, " +
            "at most $mostSockets sockets, removals by the load balancer $removals, " +
            "$repeatedRequests requests executed again, logs in $logs, faults:\n  ${schedule.joinToString(
                "\n  ",
            )}"
}

/**
 * One run of controllers as real processes over loopback, against stand-ins for all other parties.
 *
 * @param faultsOf the faults of the run; by default they are drawn from [seed]
 */
internal class SoakRun(
    private val seed: Long,
    private val size: SoakSize,
    private val faultsOf: (SoakTargets, SplittableRandom) -> List<ScheduledFault> = { targets, random ->
        SoakFaults(targets, random).draw(size.faults, size.faultSpanUs)
    },
) : TaskWatcher {
    private val startNs = System.nanoTime()
    private val lock = Any()
    private val random = SplittableRandom(seed)
    private val timer = Executors.newScheduledThreadPool(TIMER_THREADS) { Thread(it, "soak").apply { isDaemon = true } }
    private val directory = Files.createTempDirectory("mintpick-soak-$seed-")
    private val store = SimulatedStateStore()
    private val rules = RuleChecker(size.settings.cancelUs, mapOf("red" to SoakSettings.RED_CPUS_MAX))
    private val controllers = CopyOnWriteArrayList<ControllerProcess>()
    private val sockets = SocketClient(timer) { address -> controllers.none { it.apiAddress == address && !it.hasFreeSocket } }
    private val repeats = RepeatedExecutions(timer, random.split())
    private var longestUnansweredUs: Micros = 0
    private var mostSockets = 0

    private fun nowUs(): Micros = (System.nanoTime() - startNs) / NANOS_PER_MICRO

    /** Plays the run and ends all its processes. */
    fun play(): SoakResult {
        val agents = StandInAgents(controllers, sockets, size.settings, lock, timer, random.split(), ::nowUs, this, repeats)
        val cloud = StandInCloud(size.machines, agents, timer, random.split(), ::nowUs, repeats)
        val state = StandInStateStore(store, lock, timer, random.split(), ::nowUs, repeats) { controllers[it].faults }
        val endAll = Thread { controllers.forEach { it.kill() } }
        Runtime.getRuntime().addShutdownHook(endAll)
        try {
            createControllers(state, cloud)
            return play(agents, cloud)
        } finally {
            timer.shutdownNow()
            endAll.run()
            Runtime.getRuntime().removeShutdownHook(endAll)
            agents.close()
            cloud.close()
            state.close()
            sockets.close()
        }
    }

    private fun createControllers(
        state: StandInStateStore,
        cloud: StandInCloud,
    ) {
        store.limits = SimulatedStateStore.StateLimits(VALUE_BYTES, TRANSACTION_CHANGES, CHANGES_PER_SECOND)
        store.retainedChanges = RETAINED_CHANGES
        val addresses =
            List(size.controllers) { SoakSettings.Addresses(ControllerPorts.take(), ControllerPorts.take(), state.addressFor(it)) }
        for (i in 0 until size.controllers) {
            controllers +=
                ControllerProcess(i, directory, addresses[i], size.settings.toml(i, addresses, cloud.address), size.settings.maxSockets)
        }
        controllers.forEach { it.start() }
    }

    private fun play(
        agents: StandInAgents,
        cloud: StandInCloud,
    ): SoakResult {
        val loadBalancer = StandInLoadBalancer(controllers, sockets, timer, ::nowUs)
        val users = SoakUsers(controllers, sockets, loadBalancer, rules, lock, timer, random.split(), ::nowUs)
        loadBalancer.start()
        checkRules()
        val socketCounter = Thread(::countSockets, "soak-count").apply { isDaemon = true }
        socketCounter.start()
        submitJobs(users)
        awaitFirstStarts(agents)
        val targets = SoakTargets(controllers, agents, cloud, timer, repeats) { synchronized(lock) { store.unavailable = it } }
        val schedule = faultsOf(targets, random.split())
        for (fault in schedule) {
            timer.after(fault.atUs) { fault.begin() }
            timer.after(fault.atUs + fault.durationUs) { fault.end() }
        }
        Thread.sleep((size.faultSpanUs + SECOND) / MICROS_PER_MILLI)
        endFaults(targets)
        val quietSinceUs = nowUs()
        synchronized(lock) { rules.faultsOverAtUs = quietSinceUs }
        awaitAnswers(users, quietSinceUs)
        return synchronized(lock) {
            val breaches =
                rules.breaches
                    .distinct()
                    .take(5)
                    .map { it + historyOf(it, agents) }
            val unanswered = users.unansweredSince(quietSinceUs)
            val quietForUs = nowUs() - quietSinceUs
            SoakResult(
                seed,
                schedule,
                breaches,
                unanswered,
                rules.starts,
                agents.size,
                users.answers.toSortedMap(),
                quietForUs,
                longestUnansweredUs,
                mostSockets,
                loadBalancer.removals,
                repeats.count,
                "$directory",
            )
        }
    }

    /** What agents received about the task that [breach] names, if it names one. */
    private fun historyOf(
        breach: String,
        agents: StandInAgents,
    ): String {
        val task = Regex("""req-\d{6}/\d+""").find(breach)?.value ?: return ""
        return agents.historyOf(task).joinToString("") { "\n    $it" }
    }

    private fun checkRules() {
        synchronized(lock) {
            rules.tick(nowUs())
            longestUnansweredUs = maxOf(longestUnansweredUs, rules.longestUnansweredUs(nowUs()))
        }
        timer.after(SECOND / 5) { checkRules() }
    }

    /** Counts the controllers' sockets until the run is over. */
    private fun countSockets() {
        while (!timer.isShutdown) {
            controllers.forEach { it.countSockets() }
            mostSockets = maxOf(mostSockets, controllers.maxOf { it.openSockets })
            Thread.sleep(COUNT_MS)
        }
    }

    private fun submitJobs(users: SoakUsers) {
        for (n in 1..size.jobs) {
            val cancelAfterUs = if (n % 4 == 0) random.seconds(5, 50) else null
            timer.after(random.seconds(1, 40)) { users.add(jobOf(n), cancelAfterUs) }
            timer.after(random.seconds(1, 40)) { users.pollUnknown("req-%06d".format(UNKNOWN_JOBS + n)) }
        }
        for (n in 1..size.fillingServices) {
            val tasks = size.machines / size.fillingServices + 1
            val service = SampleJobs.service(FILLING_JOBS + n, team = "blue", tasks = tasks, cpus = FILLING_CPUS)
            timer.after(random.seconds(1, 10)) { users.add(service, null) }
        }
    }

    private fun jobOf(n: Int): JobSpec {
        val id = "req-%06d".format(n)
        return when (n % 3) {
            0 -> SampleJobs.service(n, team = "blue", tasks = 2 * size.taskFactor, spread = n % 2 == 0)
            1 -> SampleJobs.spec(id, team = "red", tasks = 6, cpus = 1.0, estimateS = 4.0)
            else -> SampleJobs.spec(id, team = "blue", tasks = 4 * size.taskFactor, cpus = 2.0, estimateS = 8.0, oneZone = n % 2 == 0)
        }
    }

    /** Waits until tasks run, and until all machines are up if there is work for all of them. */
    private fun awaitFirstStarts(agents: StandInAgents) {
        val deadlineUs = nowUs() + START_TIMEOUT
        val awaited = if (size.fillingServices > 0) size.machines else 0
        while ((synchronized(lock) { rules.starts } == 0 || agents.size < awaited) && nowUs() < deadlineUs) Thread.sleep(POLL_MS)
    }

    private fun endFaults(targets: SoakTargets) {
        targets.controllers.forEach {
            it.faults.clear()
            it.resume()
            it.start()
        }
        targets.agents.lateCopies = 0
        targets.repeats.rate = 0
        targets.cloud.isUnavailable = false
        targets.setStateUnavailable(false)
    }

    /** Waits until every accepted job was answered since [quietSinceUs], for as long as the rule allows. */
    private fun awaitAnswers(
        users: SoakUsers,
        quietSinceUs: Micros,
    ) {
        val deadlineUs = quietSinceUs + ANSWER_BOUND
        val observedUntilUs = quietSinceUs + size.observedUs
        while (users.unansweredSince(quietSinceUs).isNotEmpty() && nowUs() < deadlineUs || nowUs() < observedUntilUs) Thread.sleep(POLL_MS)
    }

    override fun started(
        machine: SimulatedAgent,
        task: String,
        now: Micros,
    ) = synchronized(lock) { rules.started(task, RuleChecker.TaskPlace(machine.id, machine.zone, machine.spot), now) }

    override fun ended(
        machine: SimulatedAgent,
        task: String,
        completed: Boolean,
        now: Micros,
    ) = synchronized(lock) { rules.ended(task, completed, now) }

    override fun tokenRaised(
        machine: SimulatedAgent,
        token: Long,
    ) = synchronized(lock) { rules.tokenRaised(machine.id, token, store.version(Keys.borrow(machine.id))) }

    override fun removedTooEarly(
        machine: SimulatedAgent,
        task: String,
    ) = synchronized(lock) { rules.removedTooEarly(machine.id, task, nowUs()) }

    override fun refusedAsBusy(
        machine: SimulatedAgent,
        task: String,
    ) = synchronized(lock) { rules.refusedAsBusy(machine.id, task, nowUs()) }

    override fun runTimeUs(task: String): Micros? {
        val spec = synchronized(lock) { rules.spec(task.substringBeforeLast('/')) } ?: return null
        return if (spec.estimateS == 0.0) null else (spec.estimateS * SECOND).toLong()
    }

    override fun fails(
        machine: SimulatedAgent,
        task: String,
    ): Boolean = false

    private companion object {
        const val TIMER_THREADS = 24
        const val NANOS_PER_MICRO = 1_000L
        const val MICROS_PER_MILLI = 1_000L
        const val POLL_MS = 100L
        const val COUNT_MS = 20L
        const val UNKNOWN_JOBS = 500_000
        const val FILLING_JOBS = 400_000

        /** More than a small machine has, and more than half of a large one. */
        const val FILLING_CPUS = 12.0
        const val VALUE_BYTES = 16 * 1024
        const val TRANSACTION_CHANGES = 16
        const val CHANGES_PER_SECOND = 40.0
        const val RETAINED_CHANGES = 10_000
        const val START_TIMEOUT: Micros = 60 * SECOND

        /** The rule's bound on the time without an answer after the last fault. */
        const val ANSWER_BOUND: Micros = 75 * SECOND
    }
}
