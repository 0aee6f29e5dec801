package mintpick.soak

import mintpick.core.Micros
import mintpick.core.SECOND
import mintpick.store.Keys
import mintpick.store.RecordCodec
import mintpick.testing.MACHINE_TYPES
import mintpick.testing.SampleJobs
import mintpick.testing.SimulatedStateStore
import mintpick.wire.Change
import mintpick.wire.JobSpec
import mintpick.wire.MAX_BODY_BYTES
import mintpick.wire.RentalRequest
import mintpick.wire.StoredStage
import mintpick.wire.Transaction
import mintpick.wire.WireJson
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import java.nio.file.Files
import java.util.SplittableRandom
import java.util.concurrent.CompletableFuture
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.Executors
import java.util.concurrent.Semaphore
import java.util.concurrent.TimeUnit
import java.util.concurrent.atomic.AtomicInteger

/** Controllers as real processes with the heap of deploy/service.toml, and users who submit the largest jobs that they may. */
class OpenJobMemoryTest {
    private val seed = java.lang.Long.getLong("mintpick.first", 1)
    private val random = SplittableRandom(seed)
    private val startNs = System.nanoTime()
    private val lock = Any()
    private val timer = Executors.newScheduledThreadPool(TIMER_THREADS) { Thread(it, "memory").apply { isDaemon = true } }
    private val sockets = SocketClient(timer) { true }
    private val store = SimulatedStateStore()
    private val directory = Files.createTempDirectory("mintpick-memory-$seed-")
    private val controllers = ArrayList<ControllerProcess>()
    private val doneIds = List(DONE_JOBS) { "req-%017d".format(random.nextLong(100_000_000_000_000_000)) }
    private val accepted = ConcurrentHashMap.newKeySet<String>()
    private val refusals = ConcurrentHashMap<String, AtomicInteger>()
    private val answeredUs = ConcurrentHashMap<String, Micros>()

    @Volatile private var longestUnansweredUs: Micros = 0
    private var jobs = 0

    private fun nowUs(): Micros = (System.nanoTime() - startNs) / NANOS_PER_MICRO

    private object NoMachines : MachineHost {
        override fun boot(
            id: String,
            request: RentalRequest,
        ) = error("no machine is rented")

        override fun remove(id: String) = Unit
    }

    /** Jobs that named thousands of others filled the heap of every controller, which then answered nothing, ended, and ended again. */
    @Test
    fun `controllers answer polls when users submit all the largest jobs that are accepted, and after a restart of all`() {
        val repeats = RepeatedExecutions(timer, random.split())
        val state = StandInStateStore(store, lock, timer, random.split(), ::nowUs, repeats) { controllers[it].faults }
        val cloud = StandInCloud(0, NoMachines, timer, random.split(), ::nowUs, repeats)
        val endAll = Thread { controllers.forEach { it.kill() } }
        Runtime.getRuntime().addShutdownHook(endAll)
        try {
            storeDoneJobs()
            start(state, cloud)
            fillMemory()
            assertTrue((refusals["too many open jobs"]?.get() ?: 0) >= REFUSALS, "too few refusals: $refusals, ${accepted.size} accepted")
            controllers.forEach { it.kill() }
            controllers.forEach { it.start() }
            observeAfterRestart()
        } finally {
            timer.shutdownNow()
            endAll.run()
            Runtime.getRuntime().removeShutdownHook(endAll)
            cloud.close()
            state.close()
            sockets.close()
        }
    }

    private fun storeDoneJobs() =
        doneIds.chunked(CHANGES).forEach { ids ->
            val changes = ids.map { Change(put = Keys.job(it), value = RecordCodec.finalJson(StoredStage.DONE, 1)) }
            store.transact(Transaction(emptyList(), changes))
        }

    private fun start(
        state: StandInStateStore,
        cloud: StandInCloud,
    ) {
        store.limits = SimulatedStateStore.StateLimits(VALUE_BYTES, CHANGES, WRITES_PER_SECOND)
        val addresses = List(CONTROLLERS) { SoakSettings.Addresses(ControllerPorts.take(), ControllerPorts.take(), state.addressFor(it)) }
        val settings = SoakSettings()
        for (i in 0 until CONTROLLERS) {
            val toml = settings.toml(i, addresses, cloud.address).replace("write_rps = 40.0", "write_rps = $WRITES_PER_SECOND")
            controllers += ControllerProcess(i, directory, addresses[i], toml, settings.maxSockets)
        }
        controllers.forEach { it.start() }
        val deadlineUs = nowUs() + START_TIMEOUT
        while (nowUs() < deadlineUs && controllers.any { send(it, SoakRequest("GET", "/up"))?.status != OK }) Thread.sleep(POLL_MS)
        val first = SampleJobs.spec("req-000001", "blue")
        // A controller that does not know the machine types yet answers 503.
        while (nowUs() < deadlineUs && submit(controllers[0], first)?.status != CREATED) Thread.sleep(POLL_MS)
        assertEquals(setOf(first.id), accepted.toSet())
        answeredUs[first.id] = nowUs()
    }

    private fun send(
        controller: ControllerProcess,
        request: SoakRequest,
        timeoutUs: Micros = 2 * SECOND,
    ): SoakAnswer? {
        val answer = CompletableFuture<SoakAnswer?>()
        sockets.sendOnce(controller.apiAddress, request, timeoutUs) { answer.complete(it) }
        return answer.get(timeoutUs + SECOND, TimeUnit.MICROSECONDS)
    }

    private fun submit(
        controller: ControllerProcess,
        spec: JobSpec,
    ): SoakAnswer? {
        val body = WireJson.encodeToString(JobSpec.serializer(), spec)
        assertTrue(body.encodeToByteArray().size <= MAX_BODY_BYTES, "${body.length} characters")
        val answer = send(controller, SoakRequest("POST", "/api/jobs", body), 5 * SECOND)
        if (answer?.status == CREATED || answer?.status == OK) accepted += spec.id
        if (answer != null && answer.status >= BAD_REQUEST) {
            refusals.computeIfAbsent(answer.body.substringAfter(":\"").substringBefore('"')) { AtomicInteger() }.incrementAndGet()
        }
        return answer
    }

    /** Submits jobs of all kinds, many at once, until enough were refused for lack of memory; asks about the first job meanwhile. */
    private fun fillMemory() {
        val slots = Semaphore(PARALLEL_SUBMISSIONS)
        val submitters = Executors.newFixedThreadPool(PARALLEL_SUBMISSIONS) { Thread(it, "submit").apply { isDaemon = true } }
        val untilUs = nowUs() + FILL_TIMEOUT
        var nextPollUs = nowUs()
        while (nowUs() < untilUs && (refusals["too many open jobs"]?.get() ?: 0) < REFUSALS) {
            if (nowUs() >= nextPollUs) {
                nextPollUs = nowUs() + SECOND
                controllers.forEach { pollFirstJob(it) }
            }
            val spec = nextJob()
            val controller = controllers[random.nextInt(CONTROLLERS)]
            if (!slots.tryAcquire(POLL_MS, TimeUnit.MILLISECONDS)) continue
            submitters.execute {
                try {
                    submit(controller, spec)
                } finally {
                    slots.release()
                }
            }
        }
        submitters.shutdown()
        assertTrue(submitters.awaitTermination(10, TimeUnit.SECONDS))
    }

    private fun nextJob(): JobSpec {
        val spec = SampleJobs.spec("req-%06d".format(++jobs + 1), "blue", tasks = 1)
        // First enough small jobs, which later ones wait for.
        if (jobs < SMALL_JOBS) return spec
        return when (random.nextInt(4)) {
            0 -> spec.copy(predecessors = doneIds.shuffled(java.util.Random(random.nextLong())).take(NAMES))
            1 -> spec.copy(predecessors = accepted.toList().take(MOST_DEPENDENCIES))
            2 -> spec.copy(types = listOf(MACHINE_TYPES.first().name) + List(SHORT_NAMES) { "t$it" })
            else -> spec.copy(types = listOf(MACHINE_TYPES.first().name) + List(LONG_NAMES) { "\u4e00".repeat(190) + it })
        }
    }

    private fun pollFirstJob(controller: ControllerProcess) {
        assertTrue(controller.isRunning, "${controller.node} has ended by itself, logs in $directory")
        val id = answeredUs.keys.first()
        if (send(controller, SoakRequest("GET", "/api/jobs/$id"))?.status == OK) answeredUs[id] = nowUs()
        longestUnansweredUs = maxOf(longestUnansweredUs, nowUs() - answeredUs.getValue(id))
        assertTrue(longestUnansweredUs < MAX_UNANSWERED, "no answer for ${longestUnansweredUs / SECOND} s, logs in $directory")
    }

    /** Every accepted job is answered by each controller, and none of them ends. */
    private fun observeAfterRestart() {
        val restartedUs = nowUs()
        for (controller in controllers) {
            while (send(controller, SoakRequest("GET", "/up"))?.status != OK) {
                assertTrue(nowUs() - restartedUs < MAX_UNANSWERED, "${controller.node} is not up, logs in $directory")
                Thread.sleep(POLL_MS)
            }
            pollAll(controller, accepted.toList(), restartedUs)
        }
        controllers.forEach { pollFirstJob(it) }
        println("memory: ${accepted.size} jobs accepted, refusals $refusals, longest ${longestUnansweredUs / SECOND} s without an answer")
    }

    /** Asks [controller] about all of [ids] at the same time, again until each is answered. */
    private fun pollAll(
        controller: ControllerProcess,
        ids: List<String>,
        restartedUs: Micros,
    ) {
        var unanswered = ids
        while (unanswered.isNotEmpty()) {
            assertTrue(nowUs() - restartedUs < MAX_UNANSWERED, "no answer about $unanswered, logs in $directory")
            val statuses = ConcurrentHashMap<String, Int>()
            for (part in unanswered.chunked(PARALLEL_POLLS)) {
                part.map { id -> poll(controller, id, statuses) }.forEach { it.get(10, TimeUnit.SECONDS) }
            }
            assertEquals(emptyList<String>(), ids.filter { statuses[it] == NOT_FOUND }, "jobs forgotten, logs in $directory")
            unanswered = unanswered.filter { statuses[it] != OK }
        }
    }

    private fun poll(
        controller: ControllerProcess,
        id: String,
        statuses: MutableMap<String, Int>,
    ): CompletableFuture<Unit> {
        val done = CompletableFuture<Unit>()
        sockets.sendOnce(controller.apiAddress, SoakRequest("GET", "/api/jobs/$id"), 2 * SECOND) { answer ->
            answer?.let { statuses[id] = it.status }
            done.complete(Unit)
        }
        return done
    }

    private companion object {
        const val CONTROLLERS = 3
        const val TIMER_THREADS = 8
        const val NANOS_PER_MICRO = 1_000L
        const val POLL_MS = 50L
        const val OK = 200
        const val CREATED = 201
        const val BAD_REQUEST = 400
        const val NOT_FOUND = 404
        const val VALUE_BYTES = 32 * 1024
        const val CHANGES = 16
        const val WRITES_PER_SECOND = 200.0
        const val DONE_JOBS = 3_000
        const val SMALL_JOBS = 300
        const val PARALLEL_SUBMISSIONS = 24
        const val PARALLEL_POLLS = 60

        /** Numbers of names that fit in a body of 64 KiB. */
        const val NAMES = 2_600
        const val MOST_DEPENDENCIES = 2_600
        const val SHORT_NAMES = 7_500
        const val LONG_NAMES = 110
        const val REFUSALS = 30
        const val START_TIMEOUT: Micros = 30 * SECOND
        const val FILL_TIMEOUT: Micros = 60 * SECOND

        /** The rule's bound on the time without an answer. */
        const val MAX_UNANSWERED: Micros = 75 * SECOND
    }
}
