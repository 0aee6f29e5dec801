package mintpick.cli

import mintpick.config.Address
import mintpick.config.Operators
import mintpick.config.Settings
import mintpick.config.SocketBudget
import mintpick.core.MemoryBudget
import mintpick.core.SECOND
import mintpick.net.Call
import mintpick.net.CallLimits
import mintpick.net.HttpCaller
import mintpick.net.Target
import java.util.SplittableRandom
import java.util.concurrent.CountDownLatch
import java.util.concurrent.TimeUnit

/**
 * Training run for the class-data archive, made during the build. Runs the service against [FakeServices], so that the archive
 * contains the classes that a real start loads. On a third of a core, loading classes is the longest part of a cold start.
 *
 * The run always ends: it takes a fixed time, every wait has a time-out and all its threads are daemons. It never fails the build:
 * an exception ends the process with exit code 1, which the build accepts (pom.xml). Without an archive the service starts more
 * slowly, but works the same.
 */
object ClassDataTraining {
    private const val LOCALHOST = "127.0.0.1"
    private const val ROUNDS = 4
    private const val ROUND_INTERVAL_MS = 625L
    private const val EVENT_LOOP_STOP_TIMEOUT_MS = 1_000L
    private val CALLS = CallLimits(agentCalls = 2, suspectAgentCalls = 2, keptConnections = 8, MemoryBudget().answerBytes)
    private val LIMITS =
        ServiceLimits(apiThreads = 4, peerApiThreads = 2, SocketBudget(SocketBudget.MIN_SOCKETS, peers = 0), idleS = 15, MemoryBudget())

    /**
     * Runs for about three seconds on the calling thread and on threads of its own.
     *
     * @throws java.io.IOException if a local port cannot be bound
     * @throws InterruptedException if the calling thread is interrupted; servers and connections are closed first
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

    /** Sends all requests in several rounds, because the service refuses them until it has loaded its state. */
    private fun sendRequests(target: Target) {
        val unanswered = CountDownLatch(ROUNDS * TrainingRequest.ALL.size)
        val client = HttpCaller(CALLS) { _, _ -> unanswered.countDown() }
        try {
            repeat(ROUNDS) {
                Thread.sleep(ROUND_INTERVAL_MS)
                TrainingRequest.ALL.forEach { client.start(0, callOf(target, it)) }
            }
            // Waits for the answers of the last round. Later answers are not needed.
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
