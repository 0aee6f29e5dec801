package mintpick.cli

import mintpick.config.Address
import mintpick.config.Operators
import mintpick.config.Settings
import mintpick.core.SECOND
import mintpick.net.Call
import mintpick.net.HttpCaller
import mintpick.net.Target
import java.util.SplittableRandom
import java.util.concurrent.CountDownLatch
import java.util.concurrent.TimeUnit

/**
 * Runs the service against itself for a moment while it is built, so that a class-data archive made of the run holds what a
 * real start loads. A third of a core makes loading classes the longest part of a cold start.
 *
 * It ends by itself: the run takes a fixed time, every wait has a bound and all its threads are daemons. It never fails the
 * build: an exception ends the process with exit code 1, which the build accepts (pom.xml), and without an archive the service
 * starts all the same, only later.
 */
object ClassDataTraining {
    private const val LOCALHOST = "127.0.0.1"
    private const val ROUNDS = 4
    private const val ROUND_INTERVAL_MS = 625L
    private const val EVENT_LOOP_STOP_TIMEOUT_MS = 1_000L
    private val LIMITS = ServiceLimits(apiThreads = 4, peerApiThreads = 2, maxPendingUserRequests = 8)

    /**
     * Runs for about three seconds on the calling thread and some of its own.
     *
     * @throws java.io.IOException if a local port can't be bound
     * @throws InterruptedException if the calling thread is interrupted; everything is closed then
     */
    fun run() {
        val ports = TrainingPorts.free()
        val settings = Settings.parse(trainingSettings(ports))
        FakeServices(Address(LOCALHOST, ports.services)).use { services ->
            services.start()
            Service(settings, Operators(), SplittableRandom(1), LIMITS).use { service ->
                service.start()
                whileRunning(service) { sendRequests(Target.Peer("$LOCALHOST:${ports.api}")) }
            }
        }
    }

    private fun whileRunning(
        service: Service,
        action: () -> Unit,
    ) {
        val eventLoop = Thread(service::run, "event-loop").apply { isDaemon = true }
        eventLoop.start()
        try {
            action()
        } finally {
            eventLoop.interrupt()
            eventLoop.join(EVENT_LOOP_STOP_TIMEOUT_MS)
        }
    }

    /** Several rounds: at first the service has not yet loaded its state, and refuses. */
    private fun sendRequests(target: Target) {
        val unanswered = CountDownLatch(ROUNDS * TrainingRequest.ALL.size)
        val client = HttpCaller { _, _ -> unanswered.countDown() }
        try {
            repeat(ROUNDS) {
                Thread.sleep(ROUND_INTERVAL_MS)
                TrainingRequest.ALL.forEach { client.start(0, callOf(target, it)) }
            }
            // The last round's answers; what does not come in time is not needed.
            unanswered.await(ROUND_INTERVAL_MS, TimeUnit.MILLISECONDS)
        } finally {
            client.stop()
        }
    }

    private fun callOf(
        target: Target,
        request: TrainingRequest,
    ) = Call(target, request.method, request.path, request.body?.encodeToByteArray(), SECOND)
}
